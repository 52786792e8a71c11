package upstream

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// maxCut is more than the heads of this test have bytes.
const maxCut = 1000

// TestHeadIsCut guards against a call that counts as a success, or a stream of which an event is passed on,
// although the connection ended or was reset inside the head of the response.
func TestHeadIsCut(t *testing.T) {
	for _, start := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
		for _, framing := range []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""} {
			for _, isReset := range []bool{false, true} {
				for _, isStream := range []bool{false, true} {
					t.Run(fmt.Sprintf("%q after %.20q reset %v stream %v", framing, start, isReset, isStream), func(t *testing.T) {
						t.Parallel()
						var cut atomic.Int64
						var isWhole atomic.Bool
						s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
							head := start + fmt.Sprintf("HTTP/1.1 200 OK\r\nHoist-Request: %s\r\nHoist-Stage: %s\r\nHoist-Attempt: %s\r\n%s\r\n",
								r.Header.Get(HeaderRequest), r.Header.Get(HeaderStage), r.Header.Get(HeaderAttempt), framing)
							if isWhole.Store(int(cut.Load()) == len(head)); isWhole.Load() {
								return false
							}
							fmt.Fprint(c, head[:cut.Load()])
							if isReset {
								rawserver.ResetOnClose(c.(*net.TCPConn))
							}
							return false
						})
						client := NewClient(testOptions())
						for !isWhole.Load() && cut.Load() < maxCut {
							call := s.call("a")
							call.Stream, call.OnEvent = isStream, func(data []byte, _ bool) { t.Errorf("event %q", data) }
							if result := client.Do(&CancelHandle{}, call); result.Outcome == dispatch.OutcomeSuccess || len(result.Body) > 0 {
								t.Errorf("cut after %d bytes: result %+v", cut.Load(), result)
							}
							cut.Add(1)
						}
						if !isWhole.Load() {
							t.Error("the server did not get the calls")
						}
					})
				}
			}
		}
	}
}
