package httpclient

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
)

// TestHeadIsCut guards against a response that counts as whole although the connection ended or was reset
// inside its head.
func TestHeadIsCut(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a b\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, isReset := range []bool{false, true} {
			var size atomic.Int64
			address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, head[:size.Load()]) // The client reports a connection that it has lost.
				if isReset {
					rawserver.ResetOnClose(conn)
				}
			})
			for ; size.Load() < int64(len(head)); size.Add(1) {
				if status, body, err := get(New(maxBodyBytes), "http://"+address); err == nil {
					t.Errorf("%q, reset %v: status %d, body %q", head[:size.Load()], isReset, status, body)
				}
			}
		}
	}
}
