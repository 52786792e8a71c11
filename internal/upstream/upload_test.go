package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// uploadBytes is more than the socket buffers of a connection hold.
const uploadBytes = 64 << 20

// TestResetDuringUpload guards against a part of a response that counts as a whole one, since the
// connection was reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go resetEarly(conn)
		}
	}()
	for _, stream := range []bool{false, true} {
		for range 20 {
			s := &server{Listener: listener}
			call := s.call("a")
			call.Body, call.Stream, call.EchoesIdentity = make([]byte, uploadBytes), stream, false
			call.OnEvent = func([]byte, bool) {}
			if result := NewClient(testOptions()).Do(&CancelHandle{}, call); result.Outcome == dispatch.OutcomeSuccess {
				t.Errorf("stream %v: the part %q counts as complete", stream, result.Body)
			}
		}
	}
}

// resetEarly answers a request of which it has read the head alone, and resets the connection.
func resetEarly(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\ndata: [DONE]\n\n")
	<-time.After(20 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0) // Fails only if the connection is closed already.
}
