package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// TestBodies guards against a body that counts as whole although the response ended early, against refusing
// a sound one, and against a connection that is used again in the middle of a response.
func TestBodies(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for name, test := range map[string]struct {
		status, text string
		whole        bool
		connections  int64
	}{
		"length":                {"200 OK", "Content-Length: 2\r\n\r\nok", true, 1},
		"length, cut":           {"200 OK", "Content-Length: 3\r\n\r\nok", false, 2},
		"no length":             {"200 OK", "\r\nok", true, 2},
		"no length, empty":      {"200 OK", "\r\n", false, 2},
		"chunks":                {"200 OK", chunks + "0\r\n\r\n", true, 1},
		"chunks and trailers":   {"200 OK", chunks + "0\r\nX: y\r\nZ: z\r\n\r\n", true, 1},
		"chunks, no last one":   {"200 OK", chunks, false, 2},
		"chunks, no end":        {"200 OK", chunks + "0\r\n", false, 2},
		"chunks, cut trailers":  {"200 OK", chunks + "0\r\nX: y\r\n", false, 2},
		"chunks, long trailers": {"200 OK", chunks + "0\r\n" + strings.Repeat("X: y\r\n", bufferBytes) + "\r\n", false, 2},
		"no content":            {"204 No Content", "\r\n", true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
				fmt.Fprintf(c, "HTTP/1.1 %s\r\nHoist-Request: %s\r\nHoist-Stage: %s\r\nHoist-Attempt: %s\r\n%s", test.status,
					r.Header.Get(HeaderRequest), r.Header.Get(HeaderStage), r.Header.Get(HeaderAttempt), test.text)
				return test.connections == 1
			})
			client := NewClient(testOptions())
			for range 2 {
				result := client.Do(&CancelHandle{}, s.call("a"))
				if got := result.Outcome == dispatch.OutcomeSuccess; got != test.whole {
					t.Errorf("outcome %d, %s; expected a whole body: %v", result.Outcome, result.Detail, test.whole)
				}
				if test.whole && test.status == "200 OK" && string(result.Body) != "ok" {
					t.Errorf("body %q", result.Body)
				}
			}
			if n := s.connections.Load(); n != test.connections {
				t.Errorf("%d connections for two calls, expected %d", n, test.connections)
			}
		})
	}
}
