package upstream

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// malformedHeads returns the heads, each made from a sound one, that are malformed.
func malformedHeads() map[string]func(head string) string {
	heads := map[string]func(string) string{}
	for _, status := range []string{"000", "099", "600", "999"} {
		heads["status "+status] = func(head string) string { return strings.Replace(head, "200 OK", status+" OK", 1) }
		heads["status "+status+" after an interim response"] = func(head string) string {
			return "HTTP/1.1 100 Continue\r\n\r\n" + strings.Replace(head, "200 OK", status+" OK", 1)
		}
	}
	for _, line := range []string{"X y: z", "X : z", "X: y\r\n z: z", "X\x01: z", "X\r: z", "Content-Length : 5", "Transfer-Encoding : chunked"} {
		heads[fmt.Sprintf("field %q", line)] = func(head string) string { return strings.Replace(head, "\r\n", "\r\n"+line+"\r\n", 1) }
	}
	for _, name := range []string{"Content-Length", "Transfer-Encoding"} {
		heads[name+" with a blank"] = func(head string) string {
			return regexp.MustCompile("Content-Length: [0-9]+").ReplaceAllString(head, name+" : 5")
		}
	}
	return heads
}

// TestMalformedHead guards against a response that counts as a success, or whose body is passed on,
// although its head is malformed.
func TestMalformedHead(t *testing.T) {
	for name, malform := range malformedHeads() {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " stream ", stream), func(t *testing.T) {
				t.Parallel()
				s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
					body := "data: x\n\ndata: [DONE]\n\n"
					head := fmt.Sprintf("HTTP/1.1 200 OK\r\nHoist-Request: %s\r\nHoist-Stage: %s\r\nHoist-Attempt: %s\r\nContent-Length: %d\r\n\r\n",
						r.Header.Get(HeaderRequest), r.Header.Get(HeaderStage), r.Header.Get(HeaderAttempt), len(body))
					fmt.Fprint(c, malform(head), body)
					return false
				})
				call := s.call("a")
				call.Stream = stream
				call.OnEvent = func(data []byte, _ bool) { t.Errorf("event %q", data) }
				result := NewClient(testOptions()).Do(&CancelHandle{}, call)
				expectOutcome(t, result, dispatch.OutcomeFailed)
				if result.Permanent || len(result.Body) > 0 {
					t.Errorf("result %+v", result)
				}
			})
		}
	}
}

// TestInterimResponses guards against taking an interim response for the final one.
func TestInterimResponses(t *testing.T) {
	for _, stream := range []bool{false, true} {
		s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
			fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
			reply(c, r, http.StatusOK, "data: x\n\n")
			return true
		})
		call := s.call("a")
		call.Stream = stream
		call.OnEvent = func([]byte, bool) {}
		expectOutcome(t, NewClient(testOptions()).Do(&CancelHandle{}, call), dispatch.OutcomeSuccess)
	}
}
