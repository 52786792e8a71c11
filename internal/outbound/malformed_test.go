package outbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// maxEndlessBytes is what a server may write before the client has closed the connection: the
// limit of a response head or body, and the socket buffers of both ends.
const maxEndlessBytes = 16 << 20

// newEndlessServer starts a server that answers each request with start and then repeats unit
// until the connection is closed. written counts the bytes of all connections.
func newEndlessServer(t *testing.T, start, unit string) (s *server, written *atomic.Int64) {
	written = &atomic.Int64{}
	block := strings.Repeat(unit, max(1, (16<<10)/len(unit)))
	s = newServer(t, func(conn net.Conn, _ *bufio.Reader) {
		writeString(t, conn, start)
		for {
			n, err := io.WriteString(conn, block)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	return s, written
}

// TestResponseWithoutEnd guards against a response that takes memory without bound: a head or a
// body that goes on until the client closes the connection.
func TestResponseWithoutEnd(t *testing.T) {
	for name, test := range map[string]struct{ start, unit string }{
		"status line":              {"HTTP/1.1 200 ", "x"},
		"bytes that are no head":   {"", "\x00\xff"},
		"one header":               {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"many headers":             {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continued header":         {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"interim responses":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without length":      {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"body in chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk header":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"body longer than a limit": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, written := newEndlessServer(t, test.start, test.unit)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := NewClient("").Do(ctx, s.address, newGetRequest(), 1<<10)
			if err == nil {
				t.Error("the response counts as complete")
			}
			if ctx.Err() != nil {
				t.Error("the response was read until the deadline")
			}
			if errors.Is(err, ErrNotSent) {
				t.Error("the error is marked ErrNotSent although the request was sent")
			}
			if n := written.Load(); n > maxEndlessBytes {
				t.Errorf("%d bytes were accepted, expected at most %d", n, maxEndlessBytes)
			}
		})
	}
}

// TestResponseThatIsNone guards against taking a response with contradictory framing or a
// status that answers no request for the response of the server.
func TestResponseThatIsNone(t *testing.T) {
	for name, response := range map[string]string{
		"length and chunks":   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks and length":   "HTTP/1.1 200 OK\r\ntransfer-encoding:chunked\r\ncontent-length:2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"two lengths":         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"negative length":     "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
		"switching protocols": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nok",
		"another protocol":    "SSH-2.0-x\r\n\r\n",
		"status of one digit": "HTTP/1.1 2 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, response) })
			if response, err := s.call(NewClient("")); err == nil {
				t.Errorf("the response %v counts as complete", response)
			}
		})
	}
}

// TestStatusThatIsNone guards against a response whose status is outside of the range of HTTP: its first
// digit tells no outcome, and one below 100 cannot be written to a caller.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{
		"000", "001", "020", "099", "600", "999", "+00", "+20", "-00", "-20", "0 0", "2 0", "2OO", "0x1", "", "20", "2000", "00200", "000200",
	} {
		for _, line := range []string{
			"HTTP/1.1 " + status + " OK", "HTTP/1.1 " + status, "HTTP/1.0 " + status + " OK",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " OK",
		} {
			s := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, line+"\r\nContent-Length: 2\r\n\r\nok") })
			if response, err := s.call(NewClient("")); err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("%q: response %v, error %v; expected an error of a request that was sent", line, response, err)
			}
		}
	}
}

// TestRareStatus guards against refusing a status that HTTP allows.
func TestRareStatus(t *testing.T) {
	for _, status := range []int{200, 207, 299, 300, 418, 499, 500, 599} {
		s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
			writeString(t, conn, fmt.Sprintf("HTTP/1.1 %d \r\nContent-Length: 2\r\n\r\nok", status))
		})
		if response, err := s.call(NewClient("")); err != nil || response.Status != status || string(response.Body) != "ok" {
			t.Errorf("status %d: response %v, error %v", status, response, err)
		}
	}
}

// TestInterimResponses guards against taking an interim response for the final one, and against
// refusing a server that sends a few of them.
func TestInterimResponses(t *testing.T) {
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
		writeString(t, conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 3)+okResponse)
	})
	if response, err := s.call(NewClient("")); err != nil || response.Status != http.StatusOK || string(response.Body) != "ok" {
		t.Errorf("response %v, error %v", response, err)
	}
}

// TestSecondCopyOfResponse guards against taking a second copy of a response, which arrives while
// the connection serves the next request, for the response to that request, and against using the
// connection for a further one.
func TestSecondCopyOfResponse(t *testing.T) {
	// The second request is answered with a copy of the first response.
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, okResponse) })
	c := NewClient("")
	seen := false
	errForeign := errors.New("response to another request")
	verify := func(*Response) error {
		if seen {
			return errForeign
		}
		seen = true
		return nil
	}
	for i, want := range []error{nil, errForeign} {
		request := newGetRequest()
		request.Verify = verify
		if _, err := c.Do(context.Background(), s.address, request, 1<<10); !errors.Is(err, want) {
			t.Fatalf("request %d: error %v, expected %v", i, err, want)
		}
	}
	if n := s.acceptedConns.Load(); n != 1 {
		t.Fatalf("%d connections, expected that the second request reuses the first", n)
	}
	if _, err := s.call(c); err != nil {
		t.Fatal(err)
	}
	if n := s.acceptedConns.Load(); n != 2 {
		t.Errorf("%d connections, expected a new one after the foreign response", n)
	}
}

// TestSingleUseConnection guards against keeping a connection on which a late second copy of the
// response may arrive, if the caller cannot tell whose response it is.
func TestSingleUseConnection(t *testing.T) {
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, okResponse) })
	c := NewClient("")
	for range 2 {
		request := newGetRequest()
		request.SingleUse = true
		if _, err := c.Do(context.Background(), s.address, request, 1<<10); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.acceptedConns.Load(); n != 2 {
		t.Errorf("%d connections for two requests, expected 2", n)
	}
}

// TestCloseConnAfterAcceptedResponse guards against using a connection again after a response that was
// accepted although a second copy of it could not be told from the next response.
func TestCloseConnAfterAcceptedResponse(t *testing.T) {
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, okResponse) })
	c := NewClient("")
	for range 2 {
		request := newGetRequest()
		request.Verify = func(response *Response) error {
			response.CloseConn = true
			return nil
		}
		if response, err := c.Do(context.Background(), s.address, request, 1<<10); err != nil || string(response.Body) != "ok" {
			t.Fatalf("response %v, error %v", response, err)
		}
	}
	if n := s.acceptedConns.Load(); n != 2 {
		t.Errorf("%d connections for two requests, expected 2", n)
	}
}
