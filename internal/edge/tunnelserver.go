package edge

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/internal/tunnel"
)

const (
	// maxTunnels bounds the connections that a VM carries for others, and tunnelDescriptorsDivisor and
	// tunnelMemoryDivisor the fractions of its shared descriptors and of its memory that they take. The
	// minimum lets a small VM carry those of another one.
	maxTunnels               = 512
	minTunnels               = 16
	tunnelDescriptorsDivisor = 8
	tunnelMemoryDivisor      = 8
	// tunnelBytes is what a connection holds at most: the data in both directions, two buffers and the
	// stacks of three goroutines.
	tunnelBytes = 2*tunnel.WindowBytes + 64<<10
)

// errUpstreamID reports a request for a connection whose upstream has no plausible ID.
var errUpstreamID = status.Errorf(codes.InvalidArgument, "the ID of the upstream has more than %d bytes", maxUpstreamIDBytes)

// tunnelLimit returns how many connections the VM carries for others.
func (s *Settings) tunnelLimit() int64 {
	byMemory := s.memoryBytes() / tunnelMemoryDivisor / tunnelBytes
	byDescriptors := int64(s.sharedDescriptors() / tunnelDescriptorsDivisor)
	return max(min(maxTunnels, byMemory, byDescriptors), minTunnels)
}

// tunnelServer carries connections to upstreams for other VMs.
type tunnelServer struct {
	s     *Server
	limit int64
	open  atomic.Int64
}

func newTunnelServer(s *Server) *tunnelServer {
	return &tunnelServer{s: s, limit: s.settings.tunnelLimit()}
}

// Tunnel carries a connection to an upstream for a VM that is partitioned from all upstreams.
func (f fleetServer) Tunnel(stream hoistv1.Fleet_TunnelServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if len(first.GetUpstream()) > maxUpstreamIDBytes {
		return errUpstreamID
	}
	return f.s.tunnels.carry(stream, first.GetUpstream(), first.GetAddress())
}

// carry opens the connection and copies between it and the stream.
func (t *tunnelServer) carry(stream hoistv1.Fleet_TunnelServer, upstream, address string) error {
	t.s.path.metrics.carried.Set(float64(t.open.Add(1)))
	defer func() { t.s.path.metrics.carried.Set(float64(t.open.Add(-1))) }()
	conn, refusal, err := t.dial(stream.Context(), upstream, address)
	if refusal != tunnel.Opened {
		t.s.path.metrics.refused.WithLabelValues(refusal.String()).Inc()
		t.s.logger.Info("tunnel refused", zap.String("upstream", upstream), zap.Stringer("reason", refusal), zap.Int64("tunnels", t.open.Load()), obs.ErrorField(err))
	}
	if err := stream.Send(&hoistv1.TunnelResponse{Refusal: uint32(refusal)}); err != nil {
		if conn != nil {
			_ = conn.Close()
		}
		return err
	}
	if refusal != tunnel.Opened {
		return nil
	}
	bytes := t.s.path.metrics.bytes
	return tunnel.Carry(stream, conn, tunnel.Counters{ToUpstream: bytes.WithLabelValues("to_upstream"), FromUpstream: bytes.WithLabelValues("from_upstream")})
}

// dial connects to an upstream. The connection is always direct: a VM that is partitioned itself refuses,
// so that no connection passes through several VMs.
func (t *tunnelServer) dial(ctx context.Context, upstream, address string) (net.Conn, tunnel.Refusal, error) {
	view := t.s.view.Load()
	switch {
	case t.s.stop.isStopping() || t.s.path.partition.isPartitioned() || t.open.Load() > t.limit:
		return nil, tunnel.Busy, nil
	case view == nil || view.ByID[upstream] == nil || view.ByID[upstream].Address != address:
		// Other addresses than those of upstreams are not reached through this VM.
		return nil, tunnel.UnknownUpstream, nil
	}
	ctx, cancel := context.WithTimeout(ctx, carriedDialTimeout)
	defer cancel()
	conn, err := t.s.client.DialDirect(ctx, address)
	switch {
	case err == nil:
		return conn, tunnel.Opened, nil
	case outbound.IsRefused(err):
		return nil, tunnel.ConnRefused, err
	case outbound.IsTimeout(err) || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, tunnel.TimedOut, err
	default:
		return nil, tunnel.Failed, err
	}
}
