package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/internal/tunnel"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/carrier"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

const (
	// tunnelDialTimeout bounds opening a connection to an upstream through other VMs, and carrierTimeout
	// the attempt through one of them, which connects within carriedDialTimeout. A VM that does not answer
	// leaves time for another one.
	tunnelDialTimeout  = 400 * time.Millisecond
	carrierTimeout     = 200 * time.Millisecond
	carriedDialTimeout = 150 * time.Millisecond
	// maxCarrierAttempts bounds the VMs that are asked for one connection. An upstream counts as failed
	// only if none of them reaches it, since a VM may not know yet that it is partitioned itself.
	maxCarrierAttempts = 3
)

// errCarriersInBackoff reports a connection that no VM was asked for, since all have failed a short time before.
var errCarriersInBackoff = errors.Mark(errors.New("all VMs that carry connections are in backoff"), outbound.ErrPathFailed)

// partitionState says whether this VM is partitioned from all upstreams.
type partitionState interface{ isPartitioned() bool }

// notPartitioned is the partitionState of a VM that does not detect partitions.
type notPartitioned struct{}

func (notPartitioned) isPartitioned() bool { return false }

// upstreamPath opens connections to upstreams through other VMs while this VM is partitioned from all
// upstreams. It implements outbound.Dialer and is safe for concurrent use.
type upstreamPath struct {
	s         *Server
	partition partitionState
	// peers has its own connections, whose flow control bounds the memory of a tunnel.
	peers   *peers
	metrics *tunnelMetrics

	mu       sync.Mutex
	selector *carrier.Selector
}

var _ outbound.Dialer = (*upstreamPath)(nil)

func newUpstreamPath(s *Server, transport peer.Transport) *upstreamPath {
	transport.StreamWindowBytes = tunnel.WindowBytes
	return &upstreamPath{
		s: s, partition: notPartitioned{}, peers: newPeers(transport), metrics: newTunnelMetrics(s.registry),
		selector: carrier.New(s.settings.VM, s.settings.Zone),
	}
}

// IsDirect implements outbound.Dialer. Addresses that are not those of registered upstreams, such as the
// store's, are always direct.
func (p *upstreamPath) IsDirect(address string) bool {
	return !p.partition.isPartitioned() || p.upstreamAt(address) == nil
}

// upstreamAt returns the upstream that is registered at the address, or nil.
func (p *upstreamPath) upstreamAt(address string) *registry.Entry {
	view := p.s.view.Load()
	if view == nil {
		return nil
	}
	return view.ByAddress[address]
}

// Dial implements outbound.Dialer. It opens a connection through another VM, or a direct one if no VM in reach
// carries connections. It fails at once while all those that do are in backoff.
func (p *upstreamPath) Dial(ctx context.Context, address string) (net.Conn, error) {
	entry := p.upstreamAt(address)
	if entry == nil {
		return p.s.client.DialDirect(ctx, address)
	}
	dialCtx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	d := &tunnelDial{path: p, entry: entry}
	for len(d.tried) < maxCarrierAttempts && dialCtx.Err() == nil {
		through, ok := p.selectCarrier(d.tried)
		if !ok {
			break
		}
		if conn := d.attempt(dialCtx, through); conn != nil {
			return conn, nil
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, errors.Mark(err, outbound.ErrPathFailed)
	}
	if len(d.tried) > 0 {
		return nil, d.err()
	}
	if p.hasCarrier() {
		p.metrics.opened.WithLabelValues("in_backoff").Inc()
		return nil, errCarriersInBackoff
	}
	p.metrics.opened.WithLabelValues("no_carrier").Inc()
	return p.s.client.DialDirect(ctx, address)
}

// hasCarrier reports whether some VM carries connections, at present or after its backoff.
func (p *upstreamPath) hasCarrier() bool {
	candidates := p.s.gossip.reachable()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selector.HasCarrier(p.s.now(), candidates)
}

// selectCarrier selects a VM and counts a connection through it, which open ends.
func (p *upstreamPath) selectCarrier(tried []string) (fleet.Entry, bool) {
	candidates := p.s.gossip.reachable()
	p.mu.Lock()
	defer p.mu.Unlock()
	through, ok := p.selector.Select(p.s.now(), candidates, tried)
	if ok {
		p.selector.Begin(through.Name)
	}
	return through, ok
}

// update updates the selector.
func (p *upstreamPath) update(change func(*carrier.Selector)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p.selector)
}

// recordFailure records that a VM could not carry a connection.
func (p *upstreamPath) recordFailure(name string) {
	p.update(func(s *carrier.Selector) { s.RecordFailure(p.s.now(), name) })
}

// canCarry reports whether the VM may be used for further requests.
func (p *upstreamPath) canCarry(name string) bool {
	entry, ok := p.s.gossip.entry(name)
	return ok && !entry.Leaving && !entry.Partitioned
}

// open opens a connection through the selected VM. The context applies to the opening alone.
func (p *upstreamPath) open(ctx context.Context, through fleet.Entry, entry *registry.Entry) (net.Conn, error) {
	life, end := context.WithCancel(context.Background())
	opened, failed := make(chan *tunnel.Conn), make(chan error, 1)
	go func() {
		defer end()
		defer p.update(func(s *carrier.Selector) { s.End(through.Name) })
		failed <- p.peers.call(life, through, func(ctx context.Context, client hoistv1.FleetClient) error {
			conn, err := tunnel.Open(ctx, client, entry.ID, entry.Address)
			if err != nil {
				return err
			}
			select {
			case opened <- conn:
			case <-life.Done():
				return errors.CombineErrors(life.Err(), conn.Close())
			}
			err = conn.Receive()
			p.recordEnd(through, entry, err)
			return err
		})
	}()
	select {
	case conn := <-opened:
		return &tunneledConn{Conn: conn, path: p, through: through.Name}, nil
	case err := <-failed:
		return nil, err
	case <-ctx.Done():
		end()
		return nil, errors.Newf("%s did not open the connection in time", through.Name)
	}
}

// recordEnd records why a connection ended.
func (p *upstreamPath) recordEnd(through fleet.Entry, entry *registry.Entry, err error) {
	if err == nil {
		return
	}
	if !tunnel.IsUpstreamEnd(err) {
		p.recordFailure(through.Name)
	}
	p.s.logger.Warn("tunnel broke", zap.String("upstream", entry.ID), zap.String("carrier", through.Name), obs.ErrorField(err))
}

// tunneledConn is a connection through another VM.
type tunneledConn struct {
	*tunnel.Conn
	path    *upstreamPath
	through string
}

// IsIdle implements outbound.IdleConn. A VM that is leaving waits for the end of its tunnels.
func (c *tunneledConn) IsIdle() bool { return c.Conn.IsIdle() && c.path.canCarry(c.through) }
