package ctl

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestMalformedHead guards against figures that are shown although the head of the response is none.
func TestMalformedHead(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\n":                  "figures",
		"HTTP/1.1 000 OK\r\n":                  "",
		"HTTP/1.1 200 OK\r\nX y: z\r\n":        "",
		"HTTP/1.1 200 OK\r\nX: y\r\n z: z\r\n": "",
		"HTTP/1.1 200 OK\r\nX\x01: z\r\n":      "",
		"HTTP/1.1 503 Service Unavailable\r\n": "",
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, head+"Content-Length: 7\r\n\r\nfigures"); err != nil {
				t.Error(err)
			}
		}))
		body, err := newAdminClient(5*time.Second).get(server.Listener.Addr().String(), "/metrics", nil)
		if (err == nil) != (want != "") || string(body) != want {
			t.Errorf("%q: body %q, error %v", head, body, err)
		}
		server.Close()
	}
}
