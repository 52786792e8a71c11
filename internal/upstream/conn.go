package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Read errors that the transport does not report by itself.
var (
	errCancelled   = errors.New("cancelled")
	errTimeout     = errors.New("no complete answer before the attempt's deadline")
	errSilent      = errors.New("the connection made no progress while a new one works")
	errUnreachable = errors.New("the connection made no progress and a new one is refused")
)

const (
	bufferBytes = 8 << 10
	// finalReadTimeout bounds one more read from a silent connection, in case the response
	// arrived during the probe.
	finalReadTimeout = 5 * time.Millisecond
)

// conn is a connection that serves one call at a time.
type conn struct {
	net.Conn
	host    *host
	rawConn syscall.RawConn
	// pollFunc is the method poll; pollFDs and noPendingData are its argument and result.
	// They are fields to avoid an allocation for each call.
	pollFunc      func(fd uintptr)
	pollFDs       [1]unix.PollFd
	noPendingData bool
	reader        *bufio.Reader
	writer        *bufio.Writer

	// lastProgress is when the last bytes were received.
	lastProgress time.Time
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time

	// State of the current call.
	cancelHandle  *CancelHandle
	deadline      time.Time
	startedAt     time.Time
	firstByteAt   time.Time
	nonIdempotent bool
	bytesSent     int
	// readErr is the last read error, kept because fasthttp's parser reports some errors as
	// io.EOF.
	readErr error
}

func newConn(raw net.Conn, h *host) *conn {
	c := &conn{Conn: raw, host: h, lastProgress: time.Now()}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
		c.rawConn, _ = tcp.SyscallConn()
	}
	c.pollFunc = c.poll
	c.reader = bufio.NewReaderSize(connReader{c}, bufferBytes)
	c.writer = bufio.NewWriterSize(countingWriter{c}, bufferBytes)
	return c
}

// startCall prepares the connection for a call. It returns false if the call was
// cancelled.
func (c *conn) startCall(handle *CancelHandle, call *Call) bool {
	c.cancelHandle, c.deadline, c.nonIdempotent = handle, call.Deadline, call.NonIdempotent
	c.startedAt, c.firstByteAt, c.bytesSent, c.readErr = time.Now(), time.Time{}, 0, nil
	return handle.setConn(c.Conn) && handle.setDeadline(c.Conn.SetWriteDeadline, call.Deadline)
}

// isUsable reports whether an idle connection is open and has no unread bytes. Bytes
// received before a request is sent would be taken for its response.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 || c.rawConn == nil {
		return false
	}
	c.noPendingData = false
	return c.rawConn.Control(c.pollFunc) == nil && c.noPendingData
}

// poll sets noPendingData to whether the descriptor has neither data nor end of file to
// read.
func (c *conn) poll(fd uintptr) {
	c.pollFDs[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
	ready, err := unix.Poll(c.pollFDs[:], 0)
	c.noPendingData = err == nil && ready == 0
}

// countingWriter writes to the connection and counts the bytes passed to the kernel.
type countingWriter struct{ c *conn }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.bytesSent += n
	return n, err
}

// connReader reads from the connection with silence detection and records the read error.
type connReader struct{ c *conn }

// Read implements io.Reader. It returns errCancelled, errTimeout, errSilent or
// errUnreachable if the call is cancelled, times out or makes no progress.
func (r connReader) Read(p []byte) (int, error) {
	n, err := r.c.read(p)
	if err != nil {
		r.c.readErr = err
	}
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	silenceTimeout := c.host.silenceTimeout()
	for {
		readDeadline := c.deadline
		if silenceDeadline := time.Now().Add(silenceTimeout); !c.nonIdempotent && silenceDeadline.Before(readDeadline) {
			readDeadline = silenceDeadline
		}
		n, err := c.readUntil(p, readDeadline)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.cancelHandle.Cancelled() {
			return 0, errCancelled
		}
		if !time.Now().Before(c.deadline) {
			return 0, errTimeout
		}
		switch c.host.probe() {
		case probeResponded:
			if n, err = c.readUntil(p, time.Now().Add(finalReadTimeout)); n > 0 {
				return n, err
			}
			return 0, errSilent
		case probeRefused:
			return 0, errUnreachable
		}
		// The upstream does not respond on a new connection either, so wait until the deadline.
		silenceTimeout = time.Until(c.deadline)
	}
}

func (c *conn) readUntil(p []byte, deadline time.Time) (int, error) {
	if !c.cancelHandle.setDeadline(c.Conn.SetReadDeadline, deadline) {
		return 0, errCancelled
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastProgress = time.Now()
		if c.firstByteAt.IsZero() {
			c.firstByteAt = c.lastProgress
		}
	}
	return n, err
}
