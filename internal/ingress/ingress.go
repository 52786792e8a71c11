// Package ingress applies the limits of pkg/ingress to the connections of a listener.
package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/ingress"
)

const (
	// tickInterval is the time between two checks of the time limits, which also takes over changed
	// limits.
	tickInterval = 250 * time.Millisecond
	// maxReadDelay bounds the delay of a read for the memory of closed connections.
	maxReadDelay = 500 * time.Millisecond
	// refusalTimeout bounds the write of a refusal, since the client may not read.
	refusalTimeout = time.Second
)

// Refusals that are written without the HTTP server, which has not read a request then.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	allRunning   = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// Guard applies limits to the connections of one port.
type Guard struct {
	port   string
	now    func() clock.Instant
	limits func() ingress.Limits

	mu      sync.Mutex
	account *ingress.Account
	// uncrowded is closed and replaced when reads that wait for memory may go on, and waiting is their
	// number.
	uncrowded chan struct{}
	waiting   int
}

// New returns a guard. The port names it in metrics. The limits are read at intervals.
func New(port string, now func() clock.Instant, limits func() ingress.Limits) *Guard {
	return &Guard{port: port, now: now, limits: limits, account: ingress.New(limits()), uncrowded: make(chan struct{})}
}

// Run checks the time limits and takes over changed limits until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			limits := g.limits()
			g.mu.Lock()
			g.account.SetLimits(limits)
			closing := owners(g.account.Tick(g.now()))
			g.mu.Unlock()
			closeAll(closing)
		}
	}
}

// Listener returns a listener whose connections the guard keeps within the limits. A new connection
// is always accepted, and pushes out another one where necessary.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.accept(inner); conn != nil {
			return conn, nil
		}
		// Nothing was written yet, so that this does not block.
		_, _ = io.WriteString(inner, allRunning) // The connection is closed in any case.
		_ = inner.Close()
	}
}

// accept takes a connection into the account. It returns nil if it must be refused.
func (g *Guard) accept(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, guard: g}
	g.mu.Lock()
	entry, decided := g.account.Accept(g.now(), c)
	c.entry = entry
	closing := owners(decided)
	g.mu.Unlock()
	closeAll(closing)
	if entry == nil {
		return nil
	}
	return c
}

// owners returns the connections that must be closed, and ends their waits for memory. The guard's mutex
// must be held.
func owners(closing []ingress.Closing) []*Conn {
	if len(closing) == 0 {
		return nil
	}
	out := make([]*Conn, 0, len(closing))
	for _, c := range closing {
		conn := c.Conn.Owner.(*Conn)
		if conn.wake != nil {
			close(conn.wake)
			conn.wake = nil
		}
		out = append(out, conn)
	}
	return out
}

// closeAll closes connections at once: what their clients have sent is dropped.
func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.SetLinger(0) // Fails only on a closed connection.
		_ = c.Conn.Close() // As above.
	}
}

// Conn is a connection of a guarded listener.
type Conn struct {
	net.Conn
	guard *Guard
	entry *ingress.Conn
	// calls is the number of calls on a multiplexed connection. The guard's mutex protects it.
	calls int
	// wake ends a wait for memory when the connection is closed for a limit. It is nil if there is no
	// wait. The guard's mutex protects it.
	wake chan struct{}
}

// Read reads from the connection and records what has arrived.
func (c *Conn) Read(p []byte) (int, error) {
	g := c.guard
	c.awaitRoom(c.entry.IsReading)
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	lines := bytes.Count(p[:n], []byte{'\n'})
	g.mu.Lock()
	decided := g.account.Received(g.now(), c.entry, n, lines)
	// A head that is too large closes no other connection.
	tooLarge := len(decided) > 0 && decided[0].Reason == ingress.HeadTooLarge
	closing := owners(decided)
	g.mu.Unlock()
	if tooLarge {
		c.refuse()
		return 0, io.EOF
	}
	closeAll(closing)
	return n, err
}

// refuse answers a head that is too large. The server ends the connection when it reads the end.
func (c *Conn) refuse() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // Fails only on a closed connection.
	_, _ = io.WriteString(c.Conn, headTooLarge)            // As above.
	_ = c.CloseWrite()
}

// Close closes the connection.
func (c *Conn) Close() error {
	g := c.guard
	g.mu.Lock()
	g.account.Remove(c.entry)
	if g.waiting > 0 && !g.account.Crowded() {
		close(g.uncrowded)
		g.uncrowded, g.waiting = make(chan struct{}), 0
	}
	g.mu.Unlock()
	return c.Conn.Close()
}

// awaitRoom delays the read of a head, or the use of more memory for a body, until the servers of closed
// connections have released their memory. On a busy VM the heads of many connections would otherwise be
// in memory at a time, although most of the connections are closed.
func (c *Conn) awaitRoom(applies func() bool) {
	g := c.guard
	g.mu.Lock()
	if !applies() || !g.account.Crowded() {
		g.mu.Unlock()
		return
	}
	g.waiting++
	uncrowded, wake := g.uncrowded, make(chan struct{})
	c.wake = wake
	g.mu.Unlock()
	timeout := time.NewTimer(maxReadDelay)
	defer timeout.Stop()
	select {
	case <-uncrowded:
	case <-wake:
	case <-timeout.C:
	}
	g.mu.Lock()
	c.wake = nil
	g.mu.Unlock()
}

// CloseWrite ends the direction to the client, so that it can read the response before the connection
// closes.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens on Close to data that was not sent yet, as for a net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// RemoteAddr returns the address of the client. A call of a gRPC server refers to its connection only
// by this address.
func (c *Conn) RemoteAddr() net.Addr { return remoteAddr{Addr: c.Conn.RemoteAddr(), conn: c} }

type remoteAddr struct {
	net.Addr
	conn *Conn
}

// Begin records that the head of a request is complete. It returns false if the connection was closed:
// its request must not run. A nil connection is not guarded.
func (c *Conn) Begin() bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.account.Begin(c.guard.now(), c.entry)
}

// Admit records that the request runs from now on, so that its connection is not closed for a limit. It
// returns false if the connection was closed: its request must not run.
func (c *Conn) Admit() bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.account.Admit(c.guard.now(), c.entry)
}

// Reserve takes memory for the body of a request until its response is complete, and reports whether
// there is room.
func (c *Conn) Reserve(n int64) bool {
	if c == nil {
		return true
	}
	c.guard.mu.Lock()
	ok, decided := c.guard.account.Reserve(c.guard.now(), c.entry, n)
	closing := owners(decided)
	c.guard.mu.Unlock()
	closeAll(closing)
	if ok {
		c.awaitRoom(func() bool { return c.entry.Phase() != ingress.Closed })
	}
	return ok
}

// End records that the response is complete.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.account.End(c.guard.now(), c.entry)
}

// ConnState is the hook of an http.Server for the end of a response.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.End()
	}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// WithConn is the hook ConnContext of an http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request, or nil if it is not guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler returns a handler whose requests run at once. It is for servers without bodies.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); !c.Begin() || !c.Admit() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// InterceptCall is an interceptor of a gRPC server. A connection with a call is not closed for a limit,
// and one that has made a call is closed after those that have made none.
func InterceptCall(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	defer countCall(ctx)()
	return handler(ctx, request)
}

// InterceptStream is InterceptCall for streams.
func InterceptStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	defer countCall(stream.Context())()
	return handler(server, stream)
}

// countCall counts a call on its connection until the function that it returns is called.
func countCall(ctx context.Context) (end func()) {
	if p, ok := peer.FromContext(ctx); ok {
		if address, ok := p.Addr.(remoteAddr); ok {
			address.conn.beginCall()
			return address.conn.endCall
		}
	}
	return func() {}
}

func (c *Conn) beginCall() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.calls++
	if c.calls == 1 && c.guard.account.Begin(c.guard.now(), c.entry) {
		c.guard.account.Admit(c.guard.now(), c.entry)
	}
}

func (c *Conn) endCall() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.calls--
	if c.calls == 0 {
		c.guard.account.End(c.guard.now(), c.entry)
	}
}

var (
	connectionsMetric = prometheus.NewDesc("hoist_ingress_connections", "Open connections by port and phase.", []string{"port", "phase"}, nil)
	heldMetric        = prometheus.NewDesc("hoist_ingress_held_bytes", "Memory that the clients of a port hold before their requests are admitted, and until the end of their responses.", []string{"port"}, nil)
	bodyMetric        = prometheus.NewDesc("hoist_ingress_body_bytes", "Part of hoist_ingress_held_bytes for bodies.", []string{"port"}, nil)
	closedMetric      = prometheus.NewDesc("hoist_ingress_closed_total", "Connections closed for a limit by port and reason.", []string{"port", "reason"}, nil)
	refusedMetric     = prometheus.NewDesc("hoist_ingress_refused_total", "Connections refused since there was no room and all others were running a request.", []string{"port"}, nil)
	limitMetric       = prometheus.NewDesc("hoist_ingress_limit", "Limits in force by port: connections, bytes, body_bytes, head_bytes, head_timeout_seconds, idle_timeout_seconds.", []string{"port", "limit"}, nil)
)

// Describe implements prometheus.Collector.
func (g *Guard) Describe(chan<- *prometheus.Desc) {
	// The guards of several ports have the same metrics, which a registry accepts only if they are not
	// described.
}

// Collect implements prometheus.Collector.
func (g *Guard) Collect(out chan<- prometheus.Metric) {
	g.mu.Lock()
	stats := g.account.Stats()
	g.mu.Unlock()
	for phase, n := range stats.Connections {
		out <- prometheus.MustNewConstMetric(connectionsMetric, prometheus.GaugeValue, float64(n), g.port, ingress.Phase(phase).String())
	}
	out <- prometheus.MustNewConstMetric(heldMetric, prometheus.GaugeValue, float64(stats.HeldBytes), g.port)
	out <- prometheus.MustNewConstMetric(bodyMetric, prometheus.GaugeValue, float64(stats.BodyBytes), g.port)
	for reason, n := range stats.Closed {
		out <- prometheus.MustNewConstMetric(closedMetric, prometheus.CounterValue, float64(n), g.port, ingress.Reason(reason).String())
	}
	out <- prometheus.MustNewConstMetric(refusedMetric, prometheus.CounterValue, float64(stats.Refused), g.port)
	for name, value := range map[string]float64{
		"connections": float64(stats.Limits.Connections), "bytes": float64(stats.Limits.Bytes), "body_bytes": float64(stats.Limits.BodyBytes),
		"head_bytes": float64(stats.Limits.HeadBytes), "head_timeout_seconds": stats.Limits.HeadTimeout.Seconds(),
		"idle_timeout_seconds": stats.Limits.IdleTimeout.Seconds(),
	} {
		out <- prometheus.MustNewConstMetric(limitMetric, prometheus.GaugeValue, value, g.port, name)
	}
}
