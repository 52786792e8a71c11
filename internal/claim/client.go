package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	keeperwire "github.com/hornbeamhoist/hornbeamhoist/internal/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Client claims requests and slots for one gateway and serves the results of its
// own requests to others. It implements Claimer.
type Client struct {
	hoistv1.UnimplementedGatewayServer

	options Options
	pool    *peer.Pool
	store   *store
	metrics *metrics
	seeds   atomic.Uint64

	mu        sync.Mutex
	list      keeper.VMList
	addresses map[string]table.VM
	// local holds the running claims of this gateway, so that duplicates join them.
	local  map[keeper.Key]*flight
	leases map[slotID]*lease
	// leaseChanged is closed and replaced after each answer to a lease.
	leaseChanged chan struct{}
}

// flight is a claim at this gateway; the attempt is set when it may run.
type flight struct {
	decided  chan struct{}
	decision Decision
	attempt  *attempt
}

// New returns a client without a list; it refuses claims until ApplyList.
func New(options Options) *Client {
	c := &Client{
		options: options, pool: peer.NewPoolWithLimit(options.Transport, maxConnections),
		store: newStore(&options), addresses: map[string]table.VM{},
		local: map[keeper.Key]*flight{}, leases: map[slotID]*lease{}, leaseChanged: make(chan struct{}),
	}
	c.seeds.Store(options.Seed)
	c.metrics = newMetrics(options.Registry, c)
	return c
}

// Close ends the connections.
func (c *Client) Close() { c.pool.Close() }

// Register adds the Outcome service to a gRPC server.
func (c *Client) Register(registrar grpc.ServiceRegistrar) {
	hoistv1.RegisterGatewayServer(registrar, c)
}

// ApplyList takes over a published list; older ones are ignored.
func (c *Client) ApplyList(revision uint64, vms []table.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.list.Revision {
		return
	}
	c.list = keeper.NewVMList(revision, vms)
	// Addresses of VMs that left stay known: they may hold claims.
	for i := range vms {
		c.addresses[vms[i].Name] = vms[i]
	}
}

func (c *Client) view(shard keeper.Shard) keeper.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list.View(shard)
}

func (c *Client) address(vm string) table.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[vm]
}

// Claim implements Claimer.
func (c *Client) Claim(ctx context.Context, key Key, deadline clock.Instant) Decision {
	started := c.options.Now()
	decision := c.claim(ctx, keeper.ClaimKey(key.Workspace, key.Route, key.IdempotencyKey), deadline)
	c.metrics.claim(decision, c.options.Now().Sub(started))
	return decision
}

func (c *Client) claim(ctx context.Context, key keeper.Key, deadline clock.Instant) Decision {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(c.options.Now())-deadlineMargin)
	defer cancel()
	for {
		f, own := c.join(key)
		if own {
			c.propose(ctx, key, deadline, f)
			return f.decision
		}
		decision, again := c.await(ctx, f)
		if !again {
			return decision
		}
	}
}

// join returns the running claim of the key, or a new one that the caller owns.
func (c *Client) join(key keeper.Key) (*flight, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.local[key]; f != nil {
		return f, false
	}
	f := &flight{decided: make(chan struct{})}
	c.local[key] = f
	return f, true
}

func (c *Client) leave(key keeper.Key, f *flight) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.local[key] == f {
		delete(c.local, key)
	}
}

// await waits for another send at this gateway. It reports true if that one gave
// the key back, so that the caller may claim it.
func (c *Client) await(ctx context.Context, f *flight) (Decision, bool) {
	select {
	case <-f.decided:
	case <-ctx.Done():
		return refusal(errkind.ClaimHeld, "an earlier send is still claiming"), false
	}
	if f.attempt == nil {
		if f.decision.Result != nil {
			return f.decision, false
		}
		// The other send's deadline ended; this one may have more time.
		return f.decision, ctx.Err() == nil
	}
	select {
	case <-f.attempt.done:
	case <-ctx.Done():
	}
	outcome, result := c.store.read(c.options.Now(), f.attempt)
	switch outcome {
	case keeper.OutcomeResult:
		return Decision{Result: result}, false
	case keeper.OutcomeExpired:
		return refusal(errkind.ResultExpired, ""), false
	case keeper.OutcomeNotRun:
		return refusal(errkind.ClaimUnavailable, "the earlier send gave up"), ctx.Err() == nil
	}
	return refusal(errkind.ClaimHeld, "an earlier send has not ended with a result"), false
}

func refusal(kind errkind.Kind, detail string) Decision {
	return Decision{Refusal: errkind.New(kind, detail)}
}

// propose runs the proposer of an own claim.
func (c *Client) propose(ctx context.Context, key keeper.Key, deadline clock.Instant, f *flight) {
	p := &proposal{client: c, key: key, shard: keeper.ClaimShard(key), events: make(chan event, 2*keeper.GroupSize), ended: make(chan struct{})}
	f.decision, f.attempt = p.run(ctx, deadline)
	if f.attempt == nil {
		c.leave(key, f)
	} else {
		f.decision.Run = &run{client: c, proposal: p, attempt: f.attempt, flight: f}
	}
	close(f.decided)
}

// call makes one call to the agent of a VM in the background.
func (c *Client) call(vm string, call func(context.Context, hoistv1.KeeperClient) error, failed func()) {
	c.callAt(c.address(vm).AgentAddress, vm, call, failed)
}

func (c *Client) callAt(address, vm string, call func(context.Context, hoistv1.KeeperClient) error, failed func()) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := c.pool.Do(address, func(conn *grpc.ClientConn) error { return call(ctx, hoistv1.NewKeeperClient(conn)) })
		if err != nil {
			c.metrics.failures.Inc()
			c.options.Logger.Debug("call to a keeper failed", zap.String("vm", vm), zap.Error(err))
			failed()
		}
	}()
}

// finish sends the end of an attempt. A lost message is harmless: the record names
// this process, which is asked for the outcome.
func (c *Client) finish(actions []keeper.Action) {
	for _, action := range actions {
		if action.Kind != keeper.SendFinish {
			continue
		}
		c.call(action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
			_, err := k.Finish(ctx, keeperwire.FromFinishRequest(action.Finish))
			return err
		}, func() {})
	}
}

func (c *Client) seed() uint64 { return c.seeds.Add(1) }

func timer(d time.Duration) *time.Timer { return time.NewTimer(max(d, time.Millisecond)) }
