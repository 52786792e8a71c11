package tunnel

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
)

// Conn is a connection to an upstream through another VM. Reads and writes may run concurrently with each
// other and with Close.
//
// Read returns io.EOF only after an orderly end of the connection to the upstream. All other ends are
// reported as syscall.ECONNRESET. Errors of Read and Write are marked with outbound.ErrPathFailed if the connection
// to the carrying VM was lost, not that to the upstream.
type Conn struct {
	stream  hoistv1.Fleet_TunnelClient
	cancel  context.CancelFunc
	address net.Addr

	mu sync.Mutex
	// changed is signaled when a field below changes.
	changed *sync.Cond
	// unread is received data that was not read yet. While it is full no further message is received.
	unread []byte
	// endErr is why nothing more is received; nil while the stream is open.
	endErr error
	closed bool
	// interrupted is set if the deadline of a write ended the stream.
	interrupted bool
	read        deadline
	write       deadline
	// writing is set while a message is sent.
	writing bool
}

// deadline is the deadline of one direction.
type deadline struct {
	timer  *time.Timer
	passed bool
}

// Open opens a connection to the upstream, which must be registered at the IP:port, on a connection to the
// VM that carries it. The context applies to the whole life of the connection. The caller must run Receive
// if there is no error. A *RefusedError reports that the VM did not connect.
func Open(ctx context.Context, client hoistv1.FleetClient, upstream, address string) (*Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "address of the upstream")
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := client.Tunnel(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := awaitOpened(stream, &hoistv1.TunnelRequest{Upstream: upstream, Address: address}); err != nil {
		cancel()
		return nil, err
	}
	c := &Conn{stream: stream, cancel: cancel, address: remote}
	c.changed = sync.NewCond(&c.mu)
	return c, nil
}

// awaitOpened sends the first message and waits for the answer to it.
func awaitOpened(stream hoistv1.Fleet_TunnelClient, request *hoistv1.TunnelRequest) error {
	// The status of the stream, which Recv returns, says more than an error of Send.
	if err := stream.Send(request); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	response, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return errors.New("the VM ended the stream without an answer")
	}
	if err != nil {
		return err
	}
	if refusal := Refusal(response.GetRefusal()); refusal != Opened {
		return &RefusedError{Refusal: min(refusal, Failed)}
	}
	return nil
}

// Receive receives data until the connection ends. It returns nil if the upstream ended it in an orderly
// way, or if this side did.
func (c *Conn) Receive() error {
	defer c.cancel()
	for {
		response, err := c.stream.Recv()
		if !c.deliver(response.GetData(), err) {
			return c.receiveErr(err)
		}
	}
}

func (c *Conn) receiveErr(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.interrupted || errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// deliver hands data to Read and waits while too much is unread, so that flow control slows down the sender. It
// does not wait for the rest, so that IsIdle learns of bytes after a response. It returns false if nothing more
// is to be received.
func (c *Conn) deliver(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.changed.Broadcast()
	if err != nil {
		c.endErr = connErr(err)
		return false
	}
	c.unread = append(c.unread, data...)
	c.changed.Broadcast()
	for c.isFull() && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// isFull reports whether nothing is received until more was read. The caller holds the lock.
func (c *Conn) isFull() bool { return len(c.unread) > maxChunkBytes }

// connErr returns the error of the connection for the end of its stream.
func connErr(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	reset := errors.Wrapf(syscall.ECONNRESET, "tunnel: %v", err)
	if !IsUpstreamEnd(err) {
		return errors.Mark(reset, outbound.ErrPathFailed)
	}
	return reset
}

// IsUpstreamEnd reports whether an error of Receive says that the connection to the upstream broke. Otherwise the
// carrying VM, or the connection to it, was lost.
func IsUpstreamEnd(err error) bool { return status.Code(err) == codes.Aborted }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unread) == 0 && c.endErr == nil && !c.closed && !c.read.passed {
		c.changed.Wait()
	}
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.read.passed:
		return 0, os.ErrDeadlineExceeded
	case len(c.unread) == 0:
		return 0, c.endErr
	}
	n := copy(p, c.unread)
	if c.unread = c.unread[n:]; len(c.unread) == 0 {
		c.unread = nil
	}
	c.changed.Broadcast()
	return n, nil
}

// Write implements net.Conn. Like a write to a TCP connection it does not wait until the data arrives. The
// number of bytes that it returns with an error is that of the bytes that may have left this VM. A write
// that its deadline interrupts ends the connection.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+maxChunkBytes, len(p))]
		if err := c.send(chunk); err != nil {
			return written, err
		}
		written += len(chunk)
	}
	return written, nil
}

// send sends one message. grpc-go sends nothing of a message for which it returns an error.
func (c *Conn) send(chunk []byte) error {
	if err := c.beginSend(); err != nil {
		return err
	}
	err := c.stream.Send(&hoistv1.TunnelRequest{Data: chunk})
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, io.EOF) {
		c.awaitEnd()
	}
	c.writing = false
	switch {
	case err == nil:
		return nil
	case c.write.passed:
		return os.ErrDeadlineExceeded
	case c.closed:
		return net.ErrClosed
	}
	return c.writeErr(err)
}

// awaitEnd waits after a failed send until Receive has the status of the stream, which Send does not return. It
// does not wait for data to be read. The caller holds the lock.
func (c *Conn) awaitEnd() {
	for c.endErr == nil && !c.closed && !c.isFull() {
		c.changed.Wait()
	}
}

// writeErr returns the error of a write to a connection that has ended. The caller holds the lock.
func (c *Conn) writeErr(err error) error {
	broken := errors.Wrapf(syscall.EPIPE, "tunnel: %v", err)
	if errors.Is(c.endErr, outbound.ErrPathFailed) {
		return errors.Mark(broken, outbound.ErrPathFailed)
	}
	return broken
}

// beginSend returns an error if nothing can be sent any more.
func (c *Conn) beginSend() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.write.passed:
		return os.ErrDeadlineExceeded
	case c.endErr != nil:
		return c.writeErr(c.endErr)
	}
	c.writing = true
	return nil
}

// Close implements net.Conn. The VM that carries the connection closes that to the upstream at once.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true // Before the stream ends, so that its end does not count as a failure of the VM.
	c.cancel()
	c.read.stop()
	c.write.stop()
	c.changed.Broadcast()
	return nil
}

// IsIdle reports whether the connection is open and has no unread data. It may miss data that arrives at that moment.
func (c *Conn) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.endErr == nil && len(c.unread) == 0
}

// LocalAddr implements net.Conn. The address of the connection to the upstream is that of the carrying
// VM, which is not known here.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.address }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(&c.read, t, c.changed.Broadcast)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(&c.write, t, func() {
		if c.writing {
			c.interrupted = true
			c.cancel()
		}
	})
}

// setDeadline replaces a deadline. onPassed is called with the mutex held.
func (c *Conn) setDeadline(d *deadline, t time.Time, onPassed func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	d.stop()
	d.passed = false
	if t.IsZero() {
		return nil
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Until(t), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if d.timer == timer {
			d.passed = true
			onPassed()
		}
	})
	d.timer = timer
	return nil
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}
