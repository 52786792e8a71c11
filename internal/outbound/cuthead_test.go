package outbound

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestHeadIsCut guards against a response that counts as whole, or as one of a request that was not sent,
// although the connection ended or was reset inside its head: on a new connection, and after a whole response.
func TestHeadIsCut(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nSeal: a b\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\nSeal: s\n\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, isReset := range []bool{false, true} {
			for _, isKept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%.40q reset %v kept %v", head, isReset, isKept), func(t *testing.T) {
					t.Parallel()
					for n := 1; n < len(head); n++ {
						var served atomic.Int64
						s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
							if n := served.Add(1); isKept && n == 1 {
								writeString(t, conn, okResponse)
								return
							}
							writeString(t, conn, head[:n])
							if isReset {
								_ = conn.(*net.TCPConn).SetLinger(0) // Fails only if the connection is closed already.
							}
							_ = conn.Close()
						})
						c := NewClient("")
						if isKept {
							if response, err := s.call(c); err != nil || response.Status != http.StatusOK {
								t.Fatalf("the first response: %v, error %v", response, err)
							}
						}
						if response, err := s.call(c); err == nil || errors.Is(err, ErrNotSent) {
							t.Errorf("%q: response %v, error %v; expected an error of a request that was sent", head[:n], response, err)
						}
					}
				})
			}
		}
	}
}
