package edge

import (
	"net"
	"sync"
	"time"
)

// linkBurst is the number of bytes that a slowLink passes at once.
const linkBurst = 4 << 10

// slowLink bounds the bytes that a VM sends to other VMs, all connections together.
type slowLink struct {
	bytesPerSecond float64
	mu             sync.Mutex
	// freeAt is when the bytes sent so far have passed the link.
	freeAt time.Time
}

// listener returns a listener whose connections send over the link.
func (l *slowLink) listener(inner net.Listener) net.Listener {
	return slowListener{Listener: inner, link: l}
}

// pass waits until n bytes have passed the link, behind those of other connections.
func (l *slowLink) pass(n int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	<-time.After(time.Until(until))
}

type slowListener struct {
	net.Listener
	link *slowLink
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, link: l.link}, nil
}

type slowConn struct {
	net.Conn
	link *slowLink
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (n int, err error) {
	for n < len(p) {
		part := p[n:min(n+linkBurst, len(p))]
		c.link.pass(len(part))
		written, err := c.Conn.Write(part)
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
