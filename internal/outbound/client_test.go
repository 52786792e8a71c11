package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// server handles each connection in its own goroutine and counts the connections.
type server struct {
	address       string
	acceptedConns atomic.Int64
}

// newServer starts a server that calls respond after each request was read.
func newServer(t *testing.T, respond func(conn net.Conn, reader *bufio.Reader)) *server {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.acceptedConns.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body) // The response does not depend on the body.
					respond(conn, reader)
				}
			}()
		}
	}()
	return s
}

func writeString(t *testing.T, conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		t.Log("write:", err)
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newGetRequest() *Request {
	return &Request{Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{}}
}

func (s *server) call(c *Client) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Do(ctx, s.address, newGetRequest(), 1<<10)
}

// TestBeforeSend guards against a request that is written although its last check fails, or whose
// check comes before the connection is opened.
func TestBeforeSend(t *testing.T) {
	var received atomic.Int64
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
		received.Add(1)
		writeString(t, conn, okResponse)
	})
	c := NewClient("")
	errCheck := errors.New("not any more")
	for range 2 { // On a new connection, and on an idle one.
		request := newGetRequest()
		request.BeforeSend = func() error {
			if c.Stats.Dials.Load()+c.Stats.Reuses.Load() == 0 {
				t.Error("the check came before the connection")
			}
			return errCheck
		}
		before := received.Load()
		if _, err := c.Do(context.Background(), s.address, request, 1<<10); !errors.Is(err, errCheck) || !errors.Is(err, ErrNotSent) {
			t.Errorf("error %v", err)
		}
		if _, err := s.call(c); err != nil || received.Load() != before+1 {
			t.Errorf("%d requests received, expected %d; error %v", received.Load(), before+1, err)
		}
	}
}

// TestConnectionIsReused guards against opening a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, okResponse) })
	c := NewClient("")
	for range 3 {
		if response, err := s.call(c); err != nil || string(response.Body) != "ok" {
			t.Fatalf("response %v, error %v", response, err)
		}
	}
	if n := s.acceptedConns.Load(); n != 1 {
		t.Errorf("%d connections, expected 1", n)
	}
}

// TestConnectionIsNotReused guards against taking leftover bytes for the response to the
// next request, and against accepting a truncated response as complete.
func TestConnectionIsNotReused(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		close    bool
		wantErr  bool
	}{
		"bytes after the response": {response: okResponse + okResponse},
		"Connection: close header": {response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", close: true},
		"no Content-Length":        {response: "HTTP/1.1 200 OK\r\n\r\nok", close: true},
		"truncated body":           {response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", close: true, wantErr: true},
		"truncated chunk":          {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", close: true, wantErr: true},
		"malformed response":       {response: "garbage\r\n\r\n", close: true, wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
				writeString(t, conn, test.response)
				if test.close {
					_ = conn.Close()
				}
			})
			c := NewClient("")
			for range 2 {
				response, err := s.call(c)
				if (err != nil) != test.wantErr {
					t.Fatalf("response %v, error %v", response, err)
				}
				if err == nil && string(response.Body) != "ok" {
					t.Fatalf("body %q", response.Body)
				}
				if errors.Is(err, ErrNotSent) {
					t.Error("error is marked ErrNotSent although the request was sent")
				}
			}
			if n := s.acceptedConns.Load(); n != 2 {
				t.Errorf("%d connections for two requests, expected 2", n)
			}
		})
	}
}

// TestRefusedConnectionIsNotSent guards against treating a request as possibly executed
// although no connection was opened.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = NewClient("").Do(context.Background(), address, newGetRequest(), 1)
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v is not marked ErrNotSent", err)
	}
}

// TestTimeoutIsTold guards against taking a refused connection, as of an upstream that restarts, for
// an address that does not respond, or the reverse.
func TestTimeoutIsTold(t *testing.T) {
	dialer := net.Dialer{Timeout: time.Nanosecond}
	_, err := dialer.Dial("tcp4", "127.0.0.1:1")
	if wrapped := errors.Mark(errors.Wrap(err, "connect"), ErrNotSent); !IsTimeout(wrapped) {
		t.Errorf("error %v is no timeout", wrapped)
	}
	if _, err := NewClient("").Do(context.Background(), "127.0.0.1:1", newGetRequest(), 1); IsTimeout(err) {
		t.Errorf("error %v is a timeout", err)
	}
}

// TestContextCancelClosesConnection guards against an upstream that keeps working on a
// request whose caller has disconnected.
func TestContextCancelClosesConnection(t *testing.T) {
	received, disconnected := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(_ net.Conn, reader *bufio.Reader) {
		close(received)
		_, _ = reader.ReadByte() // Returns when the client closes the connection.
		close(disconnected)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	if _, err := NewClient("").Do(ctx, s.address, newGetRequest(), 1); err == nil {
		t.Error("the request succeeded although its context was cancelled")
	}
	<-disconnected
}

// TestResponseBeforeBodyIsSent guards against reusing a connection on which the rest of a
// large request body is still being written.
func TestResponseBeforeBodyIsSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	body := strings.Repeat("b", 4<<20)
	received := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		writeString(t, conn, okResponse)
		rest, _ := io.ReadAll(request.Body) // A short body fails the comparison below.
		received <- string(rest)
	}()
	c := NewClient("")
	request := newGetRequest()
	request.Method, request.Body = http.MethodPost, []byte(body)
	response, err := c.Do(context.Background(), listener.Addr().String(), request, 1<<10)
	if err != nil || string(response.Body) != "ok" {
		t.Fatalf("response %v, error %v", response, err)
	}
	if got := <-received; got != body {
		t.Errorf("the upstream received %d bytes that differ from the body of %d bytes", len(got), len(body))
	}
}

// TestIdleTimeout guards against sending a request on a connection that the upstream is
// about to close.
func TestIdleTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": defaultIdleTimeout, "timeout=5, max=100": 4 * time.Second, "timeout=1": 500 * time.Millisecond, "timeout=x": defaultIdleTimeout,
	} {
		if got := idleTimeout(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %v, expected %v", text, got, want)
		}
	}
}

// TestNothingIsSentAfterContextEnds guards against an upstream that runs a request whose time was
// already over, and against an error that says the request may have run. The idle connection is
// written to faster than the end of the context closes it.
func TestNothingIsSentAfterContextEnds(t *testing.T) {
	var requests atomic.Int64
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
		requests.Add(1)
		writeString(t, conn, okResponse)
	})
	c := NewClient("")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 20 {
		if _, err := s.call(c); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Start(ctx, s.address, newGetRequest()); !errors.Is(err, ErrNotSent) || !errors.Is(err, context.Canceled) {
			t.Fatalf("call %d: error %v; expected %v because of %v", i, err, ErrNotSent, context.Canceled)
		}
	}
	if n := requests.Load(); n != 20 {
		t.Errorf("%d requests arrived, expected 20", n)
	}
	if n := s.acceptedConns.Load(); n != 1 {
		t.Errorf("%d connections, expected 1", n)
	}
}
