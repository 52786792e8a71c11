package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// uploadBytes is more than the socket buffers of a connection hold.
const uploadBytes = 64 << 20

// TestResetDuringUpload guards against a part of a response that counts as a whole one, since the
// connection was reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	address := rawserver.Start(t, resetEarly)
	for _, stream := range []bool{false, true} {
		for range 20 {
			call := &Call{
				Address: address, Path: "/", Deadline: time.Now().Add(30 * time.Second), Body: make([]byte, uploadBytes), Stream: stream,
				OnEvent: func([]byte, bool) {},
			}
			if result := NewClient(testOptions()).Do(&CancelHandle{}, call); result.Outcome == dispatch.OutcomeSuccess {
				t.Errorf("stream %v: the part %q counts as complete", stream, result.Body)
			}
		}
	}
}

// resetEarly answers a request of which it has read the head alone, and resets the connection.
func resetEarly(conn *net.TCPConn, _ *bufio.Reader) {
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\ndata: [DONE]\n\n")
	<-time.After(20 * time.Millisecond)
	rawserver.ResetOnClose(conn)
}
