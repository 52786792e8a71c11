package outbound

import (
	"context"
	"net"
)

// Dialer opens connections that take another path than a direct one. It must be safe for concurrent use.
type Dialer interface {
	// IsDirect reports whether connections to the IP:port are opened directly at present. Idle connections
	// that were opened in the other way are not reused. It must not call the Client.
	IsDirect(address string) bool
	// Dial opens a connection to an address that is not direct. A connection that is neither a TCP
	// connection nor an IdleConn is not reused. Errors of Dial and of the connection that are not those of the
	// server are marked with ErrPathFailed.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// IdleConn is a connection that knows whether it may be reused.
type IdleConn interface {
	// IsIdle reports whether the connection is open, may serve another request and has no unread bytes.
	IsIdle() bool
}

func (c *Client) isDirect(address string) bool { return c.Dialer == nil || c.Dialer.IsDirect(address) }

// dial opens a connection on the path that the address has at present.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	direct, dial := c.isDirect(address), c.DialDirect
	if !direct {
		dial = c.Dialer.Dial
	}
	c.Stats.Dials.Add(1)
	raw, err := dial(ctx, address)
	if err != nil {
		if direct {
			c.observeFailure(ctx, address, err)
		}
		return nil, err
	}
	cn := newConn(raw, direct)
	if direct {
		c.observeFirstByte(address, cn)
	}
	return cn, nil
}

// DialDirect opens a TCP connection to an IP:port with the local address and the timeouts of the client.
func (c *Client) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout, LocalAddr: c.localAddr, Control: setTCPUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

// hasEnded reports whether an idle connection that is not a TCP connection cannot be reused any more. The
// kernel holds what it has to know of a TCP connection, which is checked before it is reused.
func (cn *conn) hasEnded() bool { return cn.idleConn != nil && !cn.idleConn.IsIdle() }
