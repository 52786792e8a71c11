// Package outbound sends HTTP/1.1 requests over its own pool of connections.
//
// net/http's transport repeats some requests by itself, and does not tell whether a
// request was sent. Here a request is written at most once, to one connection; an error
// says whether any byte of it can have left; and a connection is used again only after an
// answer that was complete, in step with its request and followed by nothing.
package outbound

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection; the network answers in milliseconds.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout closes a connection whose data the other end does not acknowledge.
	unackedTimeout = time.Second
	// probeIdle, probeInterval and probeCount find connections that went silent while
	// nothing is under way on them.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// defaultIdle is how long an idle connection is used again if the other end names no
	// time.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from the time that the other end names, since a request that meets
	// the close is lost.
	idleMargin = time.Second
	// bodyGrace is how long the rest of a request's body may take after the answer ended.
	bodyGrace = 500 * time.Millisecond
	// inlineBody is the size up to which a body is written before the answer is read.
	inlineBody  = 8 << 10
	bufferBytes = 8 << 10
)

// ErrNotSent is marked on errors of requests of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// Stats counts events of a Client.
type Stats struct {
	Dials  atomic.Int64
	Reuses atomic.Int64
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	Stats  Stats
	source net.Addr

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client that connects from the IP, or from any if it is empty.
func NewClient(ip string) *Client {
	c := &Client{idle: map[string][]*conn{}}
	if parsed := net.ParseIP(ip); parsed != nil {
		c.source = &net.TCPAddr{IP: parsed}
	}
	return c
}

// Request is a request with a whole body.
type Request struct {
	Method string
	// Target is the path with the query as it goes on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// FreshWithin bounds how long a connection may have been idle; 0 means the default.
	FreshWithin time.Duration
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Whole sends a request and reads its answer up to the limit of bytes.
func (c *Client) Whole(ctx context.Context, address string, request *Request, limit int64) (*Answer, error) {
	exchange, err := c.Start(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer exchange.Close()
	body, err := io.ReadAll(io.LimitReader(exchange.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read an answer")
	}
	if int64(len(body)) > limit {
		return nil, errors.Newf("the answer has over %d bytes", limit)
	}
	return &Answer{Status: exchange.Status, Header: exchange.Header, Body: body}, nil
}

// Start sends a request and reads the head of its answer. The caller must close the
// exchange. The end of the context closes the connection.
func (c *Client) Start(ctx context.Context, address string, request *Request) (*Exchange, error) {
	cn, err := c.connect(ctx, address, request.FreshWithin)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	x := &Exchange{client: c, conn: cn, address: address}
	x.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := x.send(request); err != nil {
		x.Close()
		if cn.sent.Load() == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Wrapf(err, "send to %s", address)
	}
	if err := x.readHead(request.Method); err != nil {
		x.Close()
		return nil, errors.Wrapf(err, "answer of %s", address)
	}
	return x, nil
}

// connect takes an idle connection, the one used last first, or opens one.
func (c *Client) connect(ctx context.Context, address string, freshWithin time.Duration) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	for list := c.idle[address]; len(list) > 0; list = c.idle[address] {
		cn := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		fresh := freshWithin == 0 || now.Sub(cn.used) < freshWithin
		if fresh && now.Before(cn.expires) && cn.isQuiet() {
			c.mu.Unlock()
			c.Stats.Reuses.Add(1)
			cn.sent.Store(0)
			return cn, nil
		}
		_ = cn.Close()
	}
	delete(c.idle, address)
	c.mu.Unlock()
	return c.dial(ctx, address)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout, LocalAddr: c.source, Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	c.Stats.Dials.Add(1)
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

func (c *Client) put(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], cn)
}

// Sweep closes connections that were idle for too long.
func (c *Client) Sweep() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		c.idle[address] = kept
		if len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}

// Drop closes the idle connections to an address, after its process has changed.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		_ = cn.Close()
	}
	delete(c.idle, address)
}

// conn is one connection.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	sent    atomic.Int64
	used    time.Time
	expires time.Time
}

func newConn(raw net.Conn) *conn {
	cn := &conn{Conn: raw}
	if tcp, ok := raw.(*net.TCPConn); ok {
		// Without the raw connection isQuiet is false, and the connection is not used again.
		cn.raw, _ = tcp.SyscallConn()
	}
	cn.reader = bufio.NewReaderSize(raw, bufferBytes)
	return cn
}

// Write counts the bytes handed to the kernel.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	cn.sent.Add(int64(n))
	return n, err
}

// isQuiet reports whether the connection is open and has nothing to read. Bytes before a
// request would be taken for its answer.
func (cn *conn) isQuiet() bool {
	if cn.reader.Buffered() > 0 || cn.raw == nil {
		return false
	}
	quiet := false
	err := cn.raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		ready, err := unix.Poll(polled, 0)
		quiet = err == nil && ready == 0
	})
	return err == nil && quiet
}
