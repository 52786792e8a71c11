package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/internal/progress"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

const (
	// pingInterval is the time between two pings of a peer with pending calls.
	pingInterval = 120 * time.Millisecond
	// pingTimeout is the timeout of a ping, after which the pending calls to the peer are
	// cancelled. A call can then still be sent to another VM within its objective. An owner that
	// is only slow remains the owner, since the next VM checks it before it takes over.
	pingTimeout = 300 * time.Millisecond
)

// errPeerUnresponsive reports that a peer with pending calls did not answer a ping.
var errPeerUnresponsive = errors.New("the peer does not answer")

// peers holds the gRPC connections to other VMs.
type peers struct {
	transport peer.Transport

	mu    sync.Mutex
	conns map[string]*peerConn
}

func newPeers(transport peer.Transport) *peers {
	return &peers{transport: transport, conns: map[string]*peerConn{}}
}

// peerConn is the connection to one peer address.
type peerConn struct {
	conn   *grpc.ClientConn
	client hoistv1.FleetClient

	// receivedAt is when a part of an answer last arrived.
	receivedAt atomic.Int64

	mu      sync.Mutex
	pending int
	// responsive is cancelled when a ping fails.
	responsive       context.Context
	cancelResponsive context.CancelCauseFunc
	isPinging        bool
}

func (p *peers) conn(entry fleet.Entry) (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[entry.Address]; c != nil {
		return c, nil
	}
	conn, err := p.transport.Dial(entry.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", entry.Name)
	}
	c := &peerConn{conn: conn, client: hoistv1.NewFleetClient(conn)}
	c.responsive, c.cancelResponsive = context.WithCancelCause(context.Background())
	p.conns[entry.Address] = c
	return c, nil
}

// discardConn closes a connection that the peer may have lost, so that the next call opens a
// new one.
func (p *peers) discardConn(address string, c *peerConn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = c.conn.Close()
}

// call runs a call to a peer, and cancels it when the peer does not answer a ping.
func (p *peers) call(ctx context.Context, entry fleet.Entry, run func(context.Context, hoistv1.FleetClient) error) error {
	c, err := p.conn(entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(c.beginCall(), func() { cancel(errPeerUnresponsive) })
	defer stop()
	defer c.finishCall()
	err = run(ctx, c.client)
	if err != nil && errors.Is(context.Cause(ctx), errPeerUnresponsive) {
		p.discardConn(entry.Address, c)
		return errors.Wrapf(errPeerUnresponsive, "%s", entry.Name)
	}
	return errors.Wrapf(err, "%s", entry.Name)
}

// callWithoutPing runs a call to a peer that is bounded only by its context. It is for long
// polls, for which several pings per second would cost too much, and for single messages.
func (p *peers) callWithoutPing(ctx context.Context, entry fleet.Entry, run func(context.Context, hoistv1.FleetClient) error) error {
	c, err := p.conn(entry)
	if err != nil {
		return err
	}
	begin := bootclock.Now()
	err = run(ctx, c.client)
	if err == nil {
		c.receive()
	}
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && !c.hasReceivedSince(begin) {
		// The connection may be broken without an error, which only a new one resolves. If parts of a large value
		// arrive on it, the answer waited behind them.
		p.discardConn(entry.Address, c)
	}
	return errors.Wrapf(err, "%s", entry.Name)
}

// callBounded runs a call that is bounded by its progress (see progress.WithBound). run calls received with each part
// of the answer.
func (p *peers) callBounded(ctx context.Context, entry fleet.Entry, run func(ctx context.Context, client hoistv1.FleetClient, received func()) error) error {
	c, err := p.conn(entry)
	if err != nil {
		return err
	}
	err = run(ctx, c.client, c.receive)
	if err != nil && errors.Is(context.Cause(ctx), progress.ErrStalled) {
		// The connection may be broken without an error, which only a new one resolves.
		p.discardConn(entry.Address, c)
		return errors.Wrapf(progress.ErrStalled, "%s", entry.Name)
	}
	return errors.Wrapf(err, "%s", entry.Name)
}

// callBriefly runs a call whose context ends after a few tens of milliseconds. Unlike callWithoutPing it
// keeps the connection then, since an owner that is only slow would lose all other calls on it.
func (p *peers) callBriefly(ctx context.Context, entry fleet.Entry, run func(context.Context, hoistv1.FleetClient) error) error {
	c, err := p.conn(entry)
	if err != nil {
		return err
	}
	return errors.Wrapf(run(ctx, c.client), "%s", entry.Name)
}

// receive records that a part of an answer has arrived.
func (c *peerConn) receive() { c.receivedAt.Store(int64(bootclock.Now())) }

// hasReceivedSince reports whether a part of an answer has arrived since a time.
func (c *peerConn) hasReceivedSince(begin clock.Instant) bool {
	return clock.Instant(c.receivedAt.Load()) > begin
}

// beginCall counts a pending call, and returns a context that is cancelled when a ping fails.
func (c *peerConn) beginCall() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
	if !c.isPinging {
		c.isPinging = true
		go c.pingWhilePending()
	}
	return c.responsive
}

func (c *peerConn) finishCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// pingWhilePending pings the peer until no calls are pending or a ping fails.
func (c *peerConn) pingWhilePending() {
	for {
		sleep(context.Background(), pingInterval)
		c.mu.Lock()
		if c.pending == 0 {
			c.isPinging = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		_, err := c.client.Ping(ctx, &hoistv1.PingRequest{})
		cancel()
		if err != nil && c.cancelPending() {
			return
		}
	}
}

// cancelPending cancels the pending calls after a failed ping, and reports whether there were
// any.
func (c *peerConn) cancelPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		return false
	}
	c.cancelResponsive(errPeerUnresponsive)
	return true
}
