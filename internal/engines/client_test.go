package engines

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/internal/rawserver"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/orders"
)

const okHead = "HTTP/1.1 200 OK\r\n"

// maxEndlessBytes is what an engine may write before the client has closed the connection: the limit of a
// response, and the socket buffers of both ends.
const maxEndlessBytes = 16 << 20

// TestResponseWithoutEnd guards against an engine whose response takes memory until the call times out.
func TestResponseWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 16<<10)
	for name, test := range map[string]struct{ start, unit string }{
		"body without length": {okHead + "\r\n", block},
		"body with a length":  {okHead + "Content-Length: 1000000000000\r\n\r\n", block},
		"body in chunks":      {okHead + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n"},
		"field":               {okHead + "X: ", block},
		"fields":              {okHead, "X: " + block + "\r\n"},
		"no head":             {"", block},
		"interim responses":   {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
				rawserver.WriteUntilClosed(conn, test.start, test.unit, &written)
			})
			if state, err := NewClient().State(address, 0); err == nil {
				t.Errorf("state %+v", state)
			}
			if result := NewClient().Send(orders.Order{Address: address}); result != orders.ResultFailed {
				t.Errorf("the order has the result %d", result)
			}
			if n := written.Load(); n > 2*maxEndlessBytes {
				t.Errorf("%d bytes were accepted in two calls, expected at most %d", n, 2*maxEndlessBytes)
			}
		})
	}
}

// TestMalformedHead guards against a state that is used, or an order that counts as accepted, although the
// head of the response is malformed.
func TestMalformedHead(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX y: z\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n z: z\r\n"} {
		address := rawserver.Start(t, func(conn *net.TCPConn, _ *bufio.Reader) {
			if _, err := io.WriteString(conn, head+"Content-Length: 17\r\n\r\n{\"in_flight\":123}"); err != nil {
				t.Error(err)
			}
		})
		if state, err := NewClient().State(address, 0); err == nil {
			t.Errorf("%q: state %+v", head, state)
		}
		if result := NewClient().Send(orders.Order{Address: address}); result != orders.ResultFailed {
			t.Errorf("%q: the order has the result %d", head, result)
		}
	}
}
