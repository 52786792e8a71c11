package ctl

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
)

// TestMalformedHead guards against figures that are shown although the head of the response is malformed.
func TestMalformedHead(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\n":                  "figures",
		"HTTP/1.1 000 OK\r\n":                  "",
		"HTTP/1.1 200 OK\r\nX y: z\r\n":        "",
		"HTTP/1.1 200 OK\r\nX: y\r\n z: z\r\n": "",
		"HTTP/1.1 200 OK\r\nX\x01: z\r\n":      "",
		"HTTP/1.1 503 Service Unavailable\r\n": "",
	} {
		address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
			if _, err := io.WriteString(conn, head+"Content-Length: 7\r\n\r\nfigures"); err != nil {
				t.Error(err)
			}
		})
		body, err := newAdminClient(5*time.Second).get(address, "/metrics", nil)
		if (err == nil) != (want != "") || string(body) != want {
			t.Errorf("%q: body %q, error %v", head, body, err)
		}
	}
}
