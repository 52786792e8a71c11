package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

const (
	// pingInterval is the time between two checks of a peer with pending calls.
	pingInterval = 150 * time.Millisecond
	// pingTimeout is the silence after which the pending calls to a peer are given up. A
	// call can then still be made elsewhere within a response-time objective.
	pingTimeout = 450 * time.Millisecond
)

// errPeerSilent reports that a peer with pending calls stopped answering.
var errPeerSilent = errors.New("the peer does not answer")

// peers holds the connections to other VMs.
type peers struct {
	transport peer.Transport

	mu    sync.Mutex
	conns map[string]*peerConn
}

func newPeers(transport peer.Transport) *peers {
	return &peers{transport: transport, conns: map[string]*peerConn{}}
}

// peerConn is the connection to one address.
type peerConn struct {
	conn   *grpc.ClientConn
	client hoistv1.FleetClient

	mu      sync.Mutex
	pending int
	// epoch ends when the peer is found silent.
	epoch     context.Context
	endEpoch  context.CancelCauseFunc
	isPinging bool
}

func (p *peers) get(entry fleet.Entry) (*peerConn, error) {
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
	c.epoch, c.endEpoch = context.WithCancelCause(context.Background())
	p.conns[entry.Address] = c
	return c, nil
}

// drop closes the connection to an address, whose other end may have lost track of it.
func (p *peers) drop(address string, c *peerConn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = c.conn.Close()
}

// call runs a call to a peer that is given up when the peer stops answering.
func (p *peers) call(ctx context.Context, entry fleet.Entry, run func(context.Context, hoistv1.FleetClient) error) error {
	c, err := p.get(entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(c.begin(), func() { cancel(errPeerSilent) })
	defer stop()
	defer c.finish()
	err = run(ctx, c.client)
	if err != nil && errors.Is(context.Cause(ctx), errPeerSilent) {
		p.drop(entry.Address, c)
		return errors.Wrapf(errPeerSilent, "%s", entry.Name)
	}
	return errors.Wrapf(err, "%s", entry.Name)
}

// callUnwatched runs a call to a peer that is bounded by its context alone. It suits calls
// that the peer holds, for which a check several times a second would cost too much.
func (p *peers) callUnwatched(ctx context.Context, entry fleet.Entry, run func(context.Context, hoistv1.FleetClient) error) error {
	c, err := p.get(entry)
	if err != nil {
		return err
	}
	err = run(ctx, c.client)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The connection may have gone silent, in which case only a new one helps.
		p.drop(entry.Address, c)
	}
	return errors.Wrapf(err, "%s", entry.Name)
}

// begin counts a pending call and returns the epoch that ends with the peer's silence.
func (c *peerConn) begin() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
	if !c.isPinging {
		c.isPinging = true
		go c.ping()
	}
	return c.epoch
}

func (c *peerConn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// ping checks the peer while calls are pending.
func (c *peerConn) ping() {
	for {
		pause(context.Background(), pingInterval)
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
		if err != nil && c.giveUp() {
			return
		}
	}
}

// giveUp ends the pending calls after a failed check and reports whether there were any.
func (c *peerConn) giveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		return false
	}
	c.endEpoch(errPeerSilent)
	return true
}
