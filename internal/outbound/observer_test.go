package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// recorder records what an Observer learns.
type recorder struct {
	mu     sync.Mutex
	events []string
}

func (r *recorder) add(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *recorder) Connected(string)     { r.add("connected") }
func (r *recorder) Failed(string, error) { r.add("failed") }

// TestObserver guards against evidence on the network that is missing, or that is no evidence: responses on
// connections from before, and requests that their sender gave up.
func TestObserver(t *testing.T) {
	answering := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, okResponse) })
	closing := newServer(t, func(conn net.Conn, _ *bufio.Reader) { _ = conn.Close() })
	hang := make(chan struct{})
	defer close(hang)
	hanging := newServer(t, func(net.Conn, *bufio.Reader) { <-hang })
	refusing, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close()
	for name, test := range map[string]struct {
		address  string
		requests int
		before   func() error
		// timeout 0 cancels the request after it was sent.
		timeout  time.Duration
		expected []string
	}{
		"reused":    {address: answering.address, requests: 2, timeout: time.Minute, expected: []string{"connected"}},
		"closed":    {address: closing.address, requests: 1, timeout: time.Minute, expected: []string{"failed"}},
		"refused":   {address: refusing.Addr().String(), requests: 1, timeout: time.Minute, expected: []string{"failed"}},
		"hanging":   {address: hanging.address, requests: 1, timeout: 50 * time.Millisecond, expected: []string{"failed"}},
		"withheld":  {address: answering.address, requests: 1, timeout: time.Minute, before: func() error { return errors.New("withheld") }},
		"too late":  {address: answering.address, requests: 1, timeout: -time.Second},
		"cancelled": {address: hanging.address, requests: 1},
	} {
		t.Run(name, func(t *testing.T) {
			var seen recorder
			c := NewClient("")
			c.Observer = &seen
			for range test.requests {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				if test.timeout == 0 {
					ctx, cancel = context.WithCancel(t.Context())
				}
				request := newGetRequest()
				request.BeforeSend = test.before
				if test.timeout == 0 {
					request.BeforeSend = func() error { time.AfterFunc(10*time.Millisecond, cancel); return nil }
				}
				_, _ = c.Do(ctx, test.address, request, 1<<10) // The observer tells how it ended.
				cancel()
			}
			if !slices.Equal(seen.events, test.expected) {
				t.Errorf("the observer learned %v, expected %v", seen.events, test.expected)
			}
		})
	}
}

// TestTraffic guards against a request whose response is awaited for ever, and against bytes of other
// addresses that count.
func TestTraffic(t *testing.T) {
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) { writeString(t, conn, okResponse) })
	c := NewClient("")
	all := func(string) bool { return true }
	exchange, err := c.Start(t.Context(), s.address, newGetRequest())
	if err != nil {
		t.Fatal(err)
	}
	if received, awaited := c.Traffic(all); received != uint64(len(okResponse)) || awaited != 1 {
		t.Errorf("%d bytes, %d awaited during the exchange", received, awaited)
	}
	if received, awaited := c.Traffic(func(string) bool { return false }); received != 0 || awaited != 0 {
		t.Errorf("%d bytes, %d awaited of no address", received, awaited)
	}
	exchange.Close()
	if _, awaited := c.Traffic(all); awaited != 0 {
		t.Errorf("%d awaited after the exchange", awaited)
	}
	if _, err := s.call(c); err != nil {
		t.Fatal(err)
	}
	c.CloseIdle()
	if n := len(c.idleConns); n != 0 {
		t.Errorf("idle connections to %d addresses", n)
	}
	c.CloseExpired()
	if received, _ := c.Traffic(all); received != 0 {
		t.Errorf("%d bytes of an address without connections", received)
	}
}

// TestCloseSilent guards against hung exchanges that are not ended, and against ones that are ended although bytes
// come.
func TestCloseSilent(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	s := newServer(t, func(conn net.Conn, _ *bufio.Reader) {
		writeString(t, conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
		<-hang
	})
	c := NewClient("")
	all := func(string) bool { return true }
	exchange, err := c.Start(t.Context(), s.address, newGetRequest())
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	if n := c.CloseSilent(time.Minute, all); n != 0 {
		t.Errorf("%d exchanges ended although a byte came", n)
	}
	if n := c.CloseSilent(0, func(string) bool { return false }); n != 0 {
		t.Errorf("%d exchanges ended with addresses that do not count", n)
	}
	if n := c.CloseSilent(0, all); n != 1 {
		t.Errorf("%d exchanges ended, expected 1", n)
	}
	if _, err := io.ReadAll(exchange.Body); err == nil {
		t.Error("the body has no error")
	}
}
