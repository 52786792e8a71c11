package outbound

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestUnframedResponseIsReset guards against a response without a length or chunks that counts as
// complete although its connection was reset.
func TestUnframedResponseIsReset(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.1 503 x\r\n\r\n",
	} {
		for _, body := range []string{"", "ok"} {
			s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
				writeString(t, conn, head+body)
				if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
					t.Error(err)
				}
				_ = conn.Close()
			})
			if response, err := s.call(NewClient("")); err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("%q: response %v, error %v; expected an error of a request that was sent", head+body, response, err)
			}
		}
	}
}

// TestUnframedResponseEndsItsConnection guards against sending a request on a connection that its
// server has closed for writing, and against keeping such a connection open.
func TestUnframedResponseEndsItsConnection(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\n\r\n",
	} {
		ended := make(chan error, 2)
		s := newServer(t, func(conn net.Conn, reader *bufio.Reader) {
			writeString(t, conn, head+"ok")
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Error(err)
			}
			_, err := reader.ReadByte() // Returns when the client closes the connection.
			ended <- err
		})
		c := NewClient("")
		for range 2 {
			if response, err := s.call(c); err != nil || string(response.Body) != "ok" {
				t.Fatalf("%q: response %v, error %v", head, response, err)
			}
			if err := <-ended; !errors.Is(err, io.EOF) {
				t.Errorf("%q: the server reads another request or the error %v", head, err)
			}
		}
		if n := s.acceptedConns.Load(); n != 2 {
			t.Errorf("%q: %d connections for two requests, expected 2", head, n)
		}
	}
}

// TestChunksInOldResponse guards against taking the sizes of chunks for bytes of the body: HTTP/1.0
// has no chunks, so net/http ignores the header and reads the body up to the end of the connection.
func TestChunksInOldResponse(t *testing.T) {
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
		writeString(t, conn, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		_ = conn.Close()
	})
	if response, err := s.call(NewClient("")); err == nil {
		t.Errorf("the body %q counts as complete", response.Body)
	}
}
