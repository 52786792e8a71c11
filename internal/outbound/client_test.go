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

// server runs one handler a connection and counts the connections.
type server struct {
	address string
	accepts atomic.Int64
}

// serve starts a server; answer gets the reader after one request head was read.
func serve(t *testing.T, answer func(conn net.Conn, reader *bufio.Reader)) *server {
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
			s.accepts.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body) // The answer does not depend on it.
					answer(conn, reader)
				}
			}()
		}
	}()
	return s
}

func write(t *testing.T, conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		t.Log("write:", err)
	}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get() *Request {
	return &Request{Method: http.MethodGet, Target: "/x?y=1", Host: "h", Header: http.Header{}}
}

func (s *server) call(c *Client) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.Whole(ctx, s.address, get(), 1<<10)
}

// TestConnectionIsUsedAgain guards against a new connection for each request.
func TestConnectionIsUsedAgain(t *testing.T) {
	s := serve(t, func(conn net.Conn, _ *bufio.Reader) { write(t, conn, whole) })
	c := NewClient("")
	for range 3 {
		if answer, err := s.call(c); err != nil || string(answer.Body) != "ok" {
			t.Fatalf("answer %v, error %v", answer, err)
		}
	}
	if n := s.accepts.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestConnectionIsDropped guards against an answer that is taken for that of the next
// request, and against a cut answer that passes for a whole one.
func TestConnectionIsDropped(t *testing.T) {
	for name, check := range map[string]struct {
		answer string
		close  bool
		fails  bool
	}{
		"bytes after the answer": {answer: whole + whole},
		"announced close":        {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", close: true},
		"no length":              {answer: "HTTP/1.1 200 OK\r\n\r\nok", close: true},
		"cut body":               {answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", close: true, fails: true},
		"cut chunk":              {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", close: true, fails: true},
		"no answer at all":       {answer: "garbage\r\n\r\n", close: true, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, _ *bufio.Reader) {
				write(t, conn, check.answer)
				if check.close {
					_ = conn.Close()
				}
			})
			c := NewClient("")
			for range 2 {
				answer, err := s.call(c)
				if (err != nil) != check.fails {
					t.Fatalf("answer %v, error %v", answer, err)
				}
				if err == nil && string(answer.Body) != "ok" {
					t.Fatalf("body %q", answer.Body)
				}
				if errors.Is(err, ErrNotSent) {
					t.Error("the request counts as not sent")
				}
			}
			if n := s.accepts.Load(); n != 2 {
				t.Errorf("%d connections for two requests", n)
			}
		})
	}
}

// TestNotSent guards against a request that counts as possibly run although no connection
// was made.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = NewClient("").Whole(context.Background(), address, get(), 1)
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
}

// TestContextEndsTheExchange guards against an upstream that goes on with a request whose
// caller has left.
func TestContextEndsTheExchange(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		close(began)
		_, _ = reader.ReadByte() // Returns when the other end closes.
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	if _, err := NewClient("").Whole(ctx, s.address, get(), 1); err == nil {
		t.Error("the exchange did not end with its context")
	}
	<-ended
}

// TestEarlyAnswer guards against a connection that is used again while the rest of a long
// body is still due on it.
func TestEarlyAnswer(t *testing.T) {
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
		write(t, conn, whole)
		rest, _ := io.ReadAll(request.Body) // A short body fails the test below.
		received <- string(rest)
	}()
	c := NewClient("")
	request := get()
	request.Method, request.Body = http.MethodPost, []byte(body)
	answer, err := c.Whole(context.Background(), listener.Addr().String(), request, 1<<10)
	if err != nil || string(answer.Body) != "ok" {
		t.Fatalf("answer %v, error %v", answer, err)
	}
	if got := <-received; got != body {
		t.Errorf("the upstream got %d of %d bytes, or others", len(got), len(body))
	}
}

// TestIdleTime guards against requests on a connection that its upstream is about to close.
func TestIdleTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": defaultIdle, "timeout=5, max=100": 4 * time.Second, "timeout=1": 500 * time.Millisecond, "timeout=x": defaultIdle,
	} {
		if got := idleTime(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %v, expected %v", text, got, want)
		}
	}
}
