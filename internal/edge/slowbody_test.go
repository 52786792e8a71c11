package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestSlowBodyIsAnswered guards against a request whose body does not arrive in time and which ends
// with a closed connection, as if its caller had disconnected.
func TestSlowBodyIsAnswered(t *testing.T) {
	f := startFleet(t, 1, nil)
	u := newTestUpstream(t, "u", nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
		testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = 300 * time.Millisecond }),
	}}, catalogUpstreams("p", u)...)
	conn, err := net.Dial("tcp", f.servers[0].settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: a.example\r\nRequest: r\r\nContent-Length: 4\r\n\r\nb"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d, expected 504", response.StatusCode)
	}
}

// TestRefusalDoesNotWaitForBody guards against a refused request that is answered only after its
// body, and against a caller that holds its connection for ever by sending none.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	f := startFleet(t, 1, nil)
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}})
	conn := dialCaller(t, f.servers[0])
	if _, err := io.WriteString(conn, "POST /unknown/ HTTP/1.1\r\nHost: a.example\r\nRequest: r\r\nContent-Length: 4\r\n\r\nb"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(10 * refusedBodyTimeout)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("status %d, expected 404", response.StatusCode)
	}
	if _, err := io.ReadAll(reader); err != nil {
		t.Errorf("the connection stays open: %v", err)
	}
}
