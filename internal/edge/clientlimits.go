package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	guard "github.com/hornbeamhoist/hornbeamhoist/internal/ingress"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/ingress"
)

const (
	// reservedDescriptors is the part of the descriptors of a VM that is not for connections from
	// outside: listeners, the store, logs and connections to upstreams in a fleet without load.
	reservedDescriptors = 200
	// defaultDescriptors stands for the descriptors of a VM whose settings do not state them.
	defaultDescriptors = 8192
	// Fractions of the other descriptors: callers take up to half, since each running request needs
	// another one for its upstream, and other VMs up to a quarter. The minima let a VM with few
	// descriptors serve and the fleet find it.
	callerDescriptorsDivisor = 2
	peerDescriptorsDivisor   = 4
	minCallerConnections     = 16
	minPeerConnections       = 64
	// A load balancer and a scraper keep few connections open.
	readinessConnections = 32
	metricsConnections   = 16
	// Fractions of a VM's memory that callers hold before their requests are admitted, including
	// bodies, and that other VMs hold with calls that are not complete.
	callerMemoryDivisor = 4
	peerMemoryDivisor   = 8
	// minIngressBytes lets a few heads and calls of the largest size through on the smallest VM.
	minIngressBytes = 4 << 20
	// auxiliaryBytes bounds the memory of the clients of the readiness and metrics ports, and
	// auxiliaryHeadBytes one head there.
	auxiliaryBytes     = 1 << 20
	auxiliaryHeadBytes = 8 << 10
	// auxiliaryWriteTimeout bounds how long a client of these ports may take to read a response.
	auxiliaryWriteTimeout = 10 * time.Second
	// headBytesMargin is what the HTTP server may read with a head beyond its end, which is one buffer.
	headBytesMargin = 4 << 10
	// maxConfiguredHeadBytes bounds header_bytes of the configuration.
	maxConfiguredHeadBytes = 1 << 20
	// peerHandshakeTimeout bounds the start of a connection of another VM, and peerHeadTimeout the
	// time until its first call. VMs connect when they have a call to make.
	peerHandshakeTimeout = 10 * time.Second
	peerHeadTimeout      = 30 * time.Second
	// maxPeerHeaderBytes bounds the header of a call, which carries no more than names of methods
	// and deadlines. The default of grpc-go is 16 MB.
	maxPeerHeaderBytes = 16 << 10
	// maxPeerCalls bounds the calls at a time on a connection of one VM, which run stages there.
	maxPeerCalls = 1000
	// bodyMemoryWait is how long a request waits for the memory of bodies whose connections were
	// closed for it.
	bodyMemoryWait = 250 * time.Millisecond
)

// guards apply the limits of the ports of a VM.
type guards struct {
	callers, readiness, metrics, peers *guard.Guard
}

func newGuards(s *Server) *guards {
	fixed := func(limits ingress.Limits) func() ingress.Limits { return func() ingress.Limits { return limits } }
	g := &guards{
		callers: guard.New("callers", s.now, func() ingress.Limits {
			var configured catalog.Limits
			if view := s.view.Load(); view != nil && view.Catalog != nil {
				configured = view.Catalog.Limits
			}
			return callerLimits(&s.settings, &configured)
		}),
		readiness: guard.New("readiness", s.now, fixed(auxiliaryLimits(readinessConnections))),
		metrics:   guard.New("metrics", s.now, fixed(auxiliaryLimits(metricsConnections))),
		peers:     guard.New("peers", s.now, func() ingress.Limits { return peerLimits(&s.settings) }),
	}
	for _, collector := range g.all() {
		s.registry.MustRegister(collector)
	}
	return g
}

func (g *guards) all() []*guard.Guard {
	return []*guard.Guard{g.callers, g.readiness, g.metrics, g.peers}
}

// run applies the time limits until the context ends.
func (g *guards) run(ctx context.Context) {
	for _, one := range g.all() {
		go one.Run(ctx)
	}
}

var _ prometheus.Collector = (*guard.Guard)(nil)

// memoryBytes returns the memory of the VM.
func (s *Settings) memoryBytes() int64 {
	if s.MemoryBytes <= 0 {
		return defaultMemoryBytes
	}
	return s.MemoryBytes
}

// sharedDescriptors returns the descriptors that are not reserved.
func (s *Settings) sharedDescriptors() int {
	descriptors := s.MaxDescriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	return max(descriptors-reservedDescriptors, 0)
}

// callerLimits returns the limits for callers. Those of the configuration have a margin, so that
// callers within them never reach these; the constants apply where it sets none. Callers stop reusing a
// connection at four fifths of the idle timeout, which is a sufficient margin.
func callerLimits(s *Settings, configured *catalog.Limits) ingress.Limits {
	limits := ingress.Limits{
		Connections: max(s.sharedDescriptors()/callerDescriptorsDivisor, minCallerConnections),
		Bytes:       max(s.memoryBytes()/callerMemoryDivisor, minIngressBytes),
		BodyBytes:   s.memoryBytes() / bodiesMemoryDivisor,
		HeadBytes:   maxHeaderBytes + headBytesMargin, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	if n := min(configured.HeaderBytes, maxConfiguredHeadBytes); n > 0 {
		limits.HeadBytes = int64(n) + int64(n)/4 + headBytesMargin
	}
	if configured.HeaderTimeout > 0 {
		limits.HeadTimeout = configured.HeaderTimeout + configured.HeaderTimeout/4
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// peerLimits returns the limits for other VMs. Connections that have made a call stay until the gRPC
// server closes them.
func peerLimits(s *Settings) ingress.Limits {
	return ingress.Limits{
		Connections: max(s.sharedDescriptors()/peerDescriptorsDivisor, minPeerConnections),
		Bytes:       max(s.memoryBytes()/peerMemoryDivisor, minIngressBytes),
		HeadTimeout: peerHeadTimeout, Multiplexed: true,
	}
}

func auxiliaryLimits(connections int) ingress.Limits {
	return ingress.Limits{
		Connections: connections, Bytes: auxiliaryBytes, HeadBytes: auxiliaryHeadBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
}

// newAuxiliaryServer returns a server for the readiness or the metrics port.
func newAuxiliaryServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: guard.Handler(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: auxiliaryWriteTimeout, MaxHeaderBytes: auxiliaryHeadBytes, ConnContext: guard.WithConn, ConnState: guard.ConnState,
	}
}

// listenGuarded opens a listener behind a guard.
func listenGuarded(address string, g *guard.Guard) (net.Listener, error) {
	inner, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return g.Listener(inner), nil
}

// acquireBodyMemory is the acquireFunc of the bodies of requests. Connections whose bodies make no
// progress are closed to make room; their memory is free once their handlers have noticed.
func (t *transaction) acquireBodyMemory(n int64) error {
	if !guard.FromContext(t.r.Context()).Reserve(n) {
		return errNoBodyMemory
	}
	if t.s.requestMemory.tryMemory(n) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(t.r.Context(), bodyMemoryWait)
	defer cancel()
	if err := t.s.requestMemory.free.Acquire(ctx, n); err != nil {
		return errNoBodyMemory
	}
	return nil
}

// newRequestMemory returns the memory for the bodies of requests. A single body may take all of it, so
// that a request within the limits of the configuration is served in calm conditions.
func newRequestMemory(vmBytes int64) *bodyMemory {
	m := newBodyMemory(vmBytes)
	m.limit = min(m.total, maxBodyBytes)
	return m
}

// readRequest reads the body of a request as read does. It takes the memory for a long body only after
// part of it has arrived, since an announcement costs a client nothing.
func (m *bodyMemory) readRequest(reader io.Reader, length, limit int64, acquire acquireFunc) (*body, error) {
	limit = min(limit, m.limit)
	if length <= ingress.ProbeBytes || length > limit {
		return m.read(reader, length, limit, acquire)
	}
	b := &body{memory: m}
	if err := acquire(ingress.ProbeBytes); err != nil {
		return b, err
	}
	b.taken = ingress.ProbeBytes
	probe := make([]byte, ingress.ProbeBytes)
	if _, err := io.ReadFull(reader, probe); err != nil {
		return b, err
	}
	// The byte beyond the body finds its end.
	if err := acquire(length + 1 - ingress.ProbeBytes); err != nil {
		return b, err
	}
	b.taken = length + 1
	whole := make([]byte, length+1)
	copy(whole, probe)
	n, err := readPart(reader, whole[ingress.ProbeBytes:])
	b.parts = [][]byte{whole[:ingress.ProbeBytes+n]}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b, err
}

// join makes the body one part. The copy takes memory as well, until the parts are released.
func (b *body) join(acquire acquireFunc) error {
	if len(b.parts) < 2 {
		return nil
	}
	size := b.size()
	if err := acquire(size); err != nil {
		return err
	}
	joined := b.bytes()
	b.memory.free.Release(b.taken)
	b.taken, b.parts = size, [][]byte{joined}
	return nil
}
