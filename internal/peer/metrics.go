package peer

import (
	"context"
	"net"
	"path"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/stats"
)

// Label values of the direction of a message.
const (
	directionIn  = "in"
	directionOut = "out"
)

// Metrics counts messages and bytes between processes. A nil Metrics counts nothing.
type Metrics struct {
	messages        *prometheus.CounterVec
	messageBytes    *prometheus.CounterVec
	transportBytes  *prometheus.CounterVec
	refusedMessages prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_messages_total", Help: "Messages between processes by kind.",
		}, []string{"kind", "direction"}),
		messageBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_message_bytes_total", Help: "Bytes of messages between processes by kind, without headers.",
		}, []string{"kind", "direction"}),
		transportBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_transport_bytes_total", Help: "Bytes on connections between processes, with headers.",
		}, []string{"direction"}),
		refusedMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hoist_refused_messages_total", Help: "Messages without proof of the shared key.",
		}),
	}
	registry.MustRegister(m.messages, m.messageBytes, m.transportBytes, m.refusedMessages)
	return m
}

func (m *Metrics) countRefused() {
	if m != nil {
		m.refusedMessages.Inc()
	}
}

// noConnStats implements the part of stats.Handler that concerns connections, and does nothing.
type noConnStats struct{}

// TagConn implements stats.Handler.
func (noConnStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (noConnStats) HandleConn(context.Context, stats.ConnStats) {}

// statsHandler counts the payloads of RPCs at the client or the server.
type statsHandler struct {
	noConnStats
	metrics *Metrics
}

type methodKey struct{}

// TagRPC stores the method name in the context.
func (h *statsHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, path.Base(info.FullMethodName))
}

// HandleRPC counts payloads.
func (h *statsHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch event := event.(type) {
	case *stats.InPayload:
		h.metrics.messages.WithLabelValues(method, directionIn).Inc()
		h.metrics.messageBytes.WithLabelValues(method, directionIn).Add(float64(event.WireLength))
	case *stats.OutPayload:
		h.metrics.messages.WithLabelValues(method, directionOut).Inc()
		h.metrics.messageBytes.WithLabelValues(method, directionOut).Add(float64(event.WireLength))
	}
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	in, out prometheus.Counter
}

func (m *Metrics) countBytes(conn net.Conn) net.Conn {
	if m == nil {
		return conn
	}
	return &countingConn{
		Conn: conn,
		in:   m.transportBytes.WithLabelValues(directionIn),
		out:  m.transportBytes.WithLabelValues(directionOut),
	}
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(float64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(float64(n))
	return n, err
}
