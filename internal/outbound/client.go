// Package outbound sends HTTP/1.1 requests over its own pool of connections.
//
// It is used instead of net/http's transport, which retries some requests on its own and
// does not report whether a request was sent. This client writes a request at most once,
// to one connection; an error tells whether any byte of the request may have been sent;
// and a connection is reused only after a complete response, a completely written request
// and no further bytes from the server.
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
	// dialTimeout bounds opening a connection; network round trips take milliseconds.
	dialTimeout = 250 * time.Millisecond
	// tcpUserTimeout closes a connection whose sent data stays unacknowledged.
	tcpUserTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive, which
	// detects dead connections that have no data in flight.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection may be reused if the server
	// announces no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the server announces, since a
	// request that is sent while the server closes the connection is lost.
	idleTimeoutMargin = time.Second
	// bodyWriteTimeout bounds writing the rest of a request body after the response ended.
	bodyWriteTimeout = 500 * time.Millisecond
	// resetDelay is how long after the end of a response a reset may follow that shows that the server
	// died, if the request is still being written.
	resetDelay = 250 * time.Millisecond
	// maxInlineBodyBytes is the largest body that is written before the response is read.
	maxInlineBodyBytes = 8 << 10
	writeBufferBytes   = 8 << 10
	// maxHeadBytes bounds the head of a response. It is also the size of the read buffer, since
	// a head is parsed only once it is complete.
	maxHeadBytes = 16 << 10
)

// ErrNotSent marks the error of a request of which no byte was sent.
var ErrNotSent = errors.New("the request was not sent")

// ErrPathFailed marks the error of a connection that failed on its way, which says nothing about the server at its
// end. Only a Dialer opens such connections.
var ErrPathFailed = errors.New("the path to the server failed")

// IsTimeout reports whether the error is a timeout of the network, such as an address that does not
// respond at all.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// IsRefused reports whether the error is a refused connection: no process listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Stats counts events of a Client.
type Stats struct {
	Dials  atomic.Int64
	Reuses atomic.Int64
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	Stats Stats
	// Observer, if not nil, learns of new direct connections. It is set before the first request.
	Observer Observer
	// Dialer, if not nil, opens the connections that are not direct. It is set before the first request.
	Dialer    Dialer
	localAddr net.Addr

	mu        sync.Mutex
	idleConns map[string][]*conn
	traffic   map[string]*traffic
}

// NewClient returns a client that connects from the given local IP address, or from any
// address if ip is empty.
func NewClient(ip string) *Client {
	c := &Client{idleConns: map[string][]*conn{}, traffic: map[string]*traffic{}}
	if parsed := net.ParseIP(ip); parsed != nil {
		c.localAddr = &net.TCPAddr{IP: parsed}
	}
	return c
}

// Request is a request with a buffered body.
type Request struct {
	Method string
	// Target is the request target: the encoded path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxConnIdle limits how long a reused connection may have been idle; 0 means the default.
	MaxConnIdle time.Duration
	// SingleUse sends the request on a new connection that is closed afterwards. It is for
	// responses that do not say which request they belong to.
	SingleUse bool
	// BeforeSend, if not nil, is called once there is a connection, just before the request is
	// written. If it returns an error, nothing is written, and the error is marked with ErrNotSent.
	BeforeSend func() error
	// Verify, if not nil, checks in Do that a complete response belongs to the request. If it
	// returns an error, the connection is closed, since it may hold further foreign responses.
	Verify func(*Response) error
}

// Response is a response with a buffered body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// CloseConn is set by Request.Verify to close the connection after a response that is accepted, if
	// a late second copy of it could not be told from the response to the next request.
	CloseConn bool
}

// Do sends a request and reads the whole response. A body of more than limit bytes is an
// error.
func (c *Client) Do(ctx context.Context, address string, request *Request, limit int64) (*Response, error) {
	exchange, err := c.Start(ctx, address, request)
	if err != nil {
		return nil, err
	}
	defer exchange.Close()
	if exchange.ContentLength > limit {
		return nil, errors.Newf("response body of %d bytes exceeds %d", exchange.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(exchange.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if int64(len(body)) > limit {
		return nil, errors.Newf("response body exceeds %d bytes", limit)
	}
	response := &Response{Status: exchange.Status, Header: exchange.Header, Body: body}
	if response.Status != http.StatusOK {
		// A refusal does not say which request it belongs to, so a late second copy could not
		// be told from the refusal of the next request.
		exchange.Discard()
	}
	if request.Verify != nil {
		if err := request.Verify(response); err != nil {
			exchange.Discard()
			return nil, err
		}
	}
	if response.CloseConn {
		exchange.Discard()
	}
	return response, nil
}

// Start sends a request and reads the status line and headers of the response. The caller
// must close the exchange. The connection is closed when the context ends.
func (c *Client) Start(ctx context.Context, address string, request *Request) (*Exchange, error) {
	cn, err := c.connFor(ctx, address, request)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	c.startTraffic(address, cn)
	x := &Exchange{client: c, conn: cn, address: address, singleUse: request.SingleUse}
	x.stopCancelWatch = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := x.send(request); err != nil {
		x.observeFailure(ctx, err)
		x.Close()
		if cn.bytesSent.Load() == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Wrapf(err, "send to %s", address)
	}
	if err := x.readHead(request.Method); err != nil {
		x.observeFailure(ctx, err)
		x.Close()
		return nil, errors.Wrapf(err, "answer of %s", address)
	}
	return x, nil
}

// connFor returns the connection for a request. It returns an error if the context has ended, since a
// small request would be written before the connection closes.
func (c *Client) connFor(ctx context.Context, address string, request *Request) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if request.SingleUse {
		return c.dial(ctx, address)
	}
	return c.acquireConn(ctx, address, request.MaxConnIdle)
}

// acquireConn returns the most recently used idle connection, or dials a new one.
func (c *Client) acquireConn(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	now, direct := time.Now(), c.isDirect(address)
	c.mu.Lock()
	for conns := c.idleConns[address]; len(conns) > 0; conns = c.idleConns[address] {
		cn := conns[len(conns)-1]
		c.idleConns[address] = conns[:len(conns)-1]
		fresh := maxIdle == 0 || now.Sub(cn.idleSince) < maxIdle
		if fresh && now.Before(cn.reuseUntil) && cn.direct == direct && cn.isUsable() {
			c.mu.Unlock()
			c.Stats.Reuses.Add(1)
			cn.bytesSent.Store(0)
			return cn, nil
		}
		_ = cn.Close()
	}
	delete(c.idleConns, address)
	c.mu.Unlock()
	return c.dial(ctx, address)
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockoptErr)
}

func (c *Client) putIdle(address string, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleConns[address] = append(c.idleConns[address], cn)
}

// CloseExpired closes the idle connections that cannot be reused: their idle timeout has passed, or
// connections to their addresses take another path now.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.idleConns {
		kept, direct := conns[:0], c.isDirect(address)
		for _, cn := range conns {
			if now.Before(cn.reuseUntil) && cn.direct == direct && !cn.hasEnded() {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		c.idleConns[address] = kept
		if len(kept) == 0 {
			delete(c.idleConns, address)
		}
	}
	c.forgetTraffic()
}

// conn is a connection that counts the bytes sent for its current request.
type conn struct {
	net.Conn
	// direct is set if the connection was opened without the Dialer.
	direct     bool
	rawConn    syscall.RawConn
	idleConn   IdleConn
	reader     *bufio.Reader
	bytesSent  atomic.Int64
	idleSince  time.Time
	reuseUntil time.Time
	// onFirstByte is called with the first byte on a new connection, and nil afterwards.
	onFirstByte func()
	// traffic counts the bytes of the current exchange, and receivedAt is the Unix time in nanoseconds at which it
	// received its latest byte; 0 if it received none.
	traffic    *traffic
	receivedAt atomic.Int64
}

func newConn(raw net.Conn, direct bool) *conn {
	cn := &conn{Conn: raw, direct: direct}
	if tcp, ok := raw.(*net.TCPConn); ok {
		// Without the raw connection, isUsable returns false and the connection is not reused.
		cn.rawConn, _ = tcp.SyscallConn()
	}
	cn.idleConn, _ = raw.(IdleConn)
	cn.reader = bufio.NewReaderSize(cn, maxHeadBytes)
	return cn
}

// Write implements io.Writer and counts the bytes passed to the kernel.
func (cn *conn) Write(p []byte) (int, error) {
	n, err := cn.Conn.Write(p)
	cn.bytesSent.Add(int64(n))
	return n, err
}

// isUsable reports whether the connection is open and has no unread bytes. Bytes received
// before a request is sent would be taken for its response.
func (cn *conn) isUsable() bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	if cn.idleConn != nil {
		return cn.idleConn.IsIdle()
	}
	if cn.rawConn == nil {
		return false
	}
	usable := false
	err := cn.rawConn.Control(func(fd uintptr) {
		pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		ready, err := unix.Poll(pollFDs, 0)
		for errors.Is(err, unix.EINTR) {
			// A signal for preemption, as the Go runtime sends them, says nothing about the connection.
			ready, err = unix.Poll(pollFDs, 0)
		}
		usable = err == nil && ready == 0
	})
	return err == nil && usable
}
