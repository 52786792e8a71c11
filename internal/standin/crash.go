package standin

import (
	"bytes"
	"net"
	"time"
)

// crashListener resets new connections while its upstream is crashed.
type crashListener struct {
	net.Listener
	upstream *Upstream
}

// Accept implements net.Listener.
func (l *crashListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.upstream.acceptConn(conn) {
			return &trackedConn{Conn: conn, upstream: l.upstream}, nil
		}
		resetConn(conn)
	}
}

// trackedConn removes itself from its upstream when it is closed.
type trackedConn struct {
	net.Conn
	upstream *Upstream
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.upstream.mu.Lock()
	delete(c.upstream.conns, c.Conn)
	c.upstream.mu.Unlock()
	return c.Conn.Close()
}

// acceptConn registers a connection, or returns false while the upstream is crashed.
func (u *Upstream) acceptConn(conn net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.crashedAt.IsZero() {
		if time.Now().Before(u.crashedAt.Add(time.Duration(u.behaviour.CrashFor))) {
			return false
		}
		u.crashedAt = time.Time{}
	}
	u.conns[conn] = u.generation
	return true
}

// isSilent reports whether the connection was open when the upstream became silent.
func (u *Upstream) isSilent(conn net.Conn) bool {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour.Silent && u.conns[tracked.Conn] < u.generation
}

// crash resets all connections and refuses new ones for CrashFor. Afterwards the upstream
// is cold if ColdCapacity is set.
func (u *Upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashLocked()
}

// crashLocked is crash for callers that hold the mutex.
func (u *Upstream) crashLocked() {
	u.stats.Crashes++
	u.crashedAt = time.Now()
	u.successes = 0
	u.behaviour.Cold = u.behaviour.ColdCapacity > 0
	for conn := range u.conns {
		resetConn(conn)
	}
	u.conns = map[net.Conn]int{}
	for _, cancelled := range u.running {
		close(cancelled)
	}
	u.running = map[string]chan struct{}{}
}

// resetConn closes a connection with RST, as the kernel does for a crashed process.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func containsText(body []byte, text string) bool { return bytes.Contains(body, []byte(text)) }
