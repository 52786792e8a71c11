package outbound

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// maxFirstByteTime is the time from the opening of a connection within which the first byte of a response shows
// that new connections succeed now. Later ones may show that they did when it was opened.
const maxFirstByteTime = 300 * time.Millisecond

// Observer learns of new connections. It must not block.
type Observer interface {
	// Connected reports that the first byte of a response came on a connection that was opened a short time
	// before.
	Connected(address string)
	// Failed reports that opening a connection failed, or that a new one broke or timed out before the first
	// byte of a response. Requests that their sender cancelled or withheld are not reported.
	Failed(address string, err error)
}

// observeFirstByte makes the observer learn of the first byte on a new connection.
func (c *Client) observeFirstByte(address string, cn *conn) {
	if c.Observer == nil {
		return
	}
	opened := time.Now()
	cn.onFirstByte = func() {
		if time.Since(opened) <= maxFirstByteTime {
			c.Observer.Connected(address)
		}
	}
}

// observeFailure tells the observer of a failure to open a connection, or of one before the first byte.
func (c *Client) observeFailure(ctx context.Context, address string, err error) {
	if c.Observer != nil && !errors.Is(ctx.Err(), context.Canceled) {
		c.Observer.Failed(address, err)
	}
}

// observeFailure tells the observer of a request that was sent on a new connection on which nothing came back.
func (x *Exchange) observeFailure(ctx context.Context, err error) {
	if x.conn.onFirstByte != nil && x.conn.bytesSent.Load() > 0 {
		x.client.observeFailure(ctx, x.address, err)
	}
}

// Read implements io.Reader and reports the first byte of a new connection.
func (cn *conn) Read(p []byte) (int, error) {
	n, err := cn.Conn.Read(p)
	if n > 0 {
		cn.record(n)
		if cn.onFirstByte != nil {
			cn.onFirstByte()
			cn.onFirstByte = nil
		}
	}
	return n, err
}
