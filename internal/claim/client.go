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

// Client claims requests, leases upstream slots for one gateway and serves the results
// of its own requests to other gateways. It implements Claimer.
type Client struct {
	hoistv1.UnimplementedGatewayServer

	options     Options
	pool        *peer.Pool
	attempts    *attemptStore
	metrics     *metrics
	seedCounter atomic.Uint64

	mu       sync.Mutex
	vmList   keeper.VMList
	knownVMs map[string]table.VM
	// localClaims holds the ongoing claims of this gateway. Duplicate sends wait for them.
	localClaims map[keeper.Key]*localClaim
	leases      map[slotID]*lease
	// leasesChanged is closed and replaced after each response to a lease request.
	leasesChanged chan struct{}
}

// localClaim is an ongoing claim of this gateway. The attempt is set if the request may
// run here.
type localClaim struct {
	decided  chan struct{}
	decision Decision
	attempt  *attempt
}

// New returns a client without a VM list; it refuses claims until ApplyList is called.
func New(options Options) *Client {
	c := &Client{
		options: options, pool: peer.NewPoolWithLimit(options.Transport, maxConnections),
		attempts: newAttemptStore(&options), knownVMs: map[string]table.VM{},
		localClaims: map[keeper.Key]*localClaim{}, leases: map[slotID]*lease{}, leasesChanged: make(chan struct{}),
	}
	c.seedCounter.Store(options.Seed)
	c.metrics = newMetrics(options.Registry, c)
	return c
}

// Close closes the connections.
func (c *Client) Close() { c.pool.Close() }

// Register registers the Gateway service on a gRPC server.
func (c *Client) Register(registrar grpc.ServiceRegistrar) {
	hoistv1.RegisterGatewayServer(registrar, c)
}

// ApplyList applies a published list of VMs. A list that is not newer is ignored.
func (c *Client) ApplyList(revision uint64, vms []table.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.vmList.Revision {
		return
	}
	c.vmList = keeper.NewVMList(revision, vms)
	// Addresses of removed VMs are kept: they may still hold claims.
	for i := range vms {
		c.knownVMs[vms[i].Name] = vms[i]
	}
}

func (c *Client) view(shard keeper.Shard) keeper.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vmList.View(shard)
}

func (c *Client) knownVM(vm string) table.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownVMs[vm]
}

// Claim implements Claimer.
func (c *Client) Claim(ctx context.Context, key Key, deadline clock.Instant) Decision {
	started := c.options.Now()
	decision := c.claim(ctx, keeper.ClaimKey(key.Workspace, key.Route, key.IdempotencyKey), deadline)
	c.metrics.observeClaim(decision, c.options.Now().Sub(started))
	return decision
}

func (c *Client) claim(ctx context.Context, key keeper.Key, deadline clock.Instant) Decision {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(c.options.Now())-deadlineMargin)
	defer cancel()
	for {
		local, added := c.findOrAddClaim(key)
		if added {
			c.propose(ctx, key, deadline, local)
			return local.decision
		}
		decision, retry := c.awaitClaim(ctx, local)
		if !retry {
			return decision
		}
	}
}

// findOrAddClaim returns the ongoing claim of the key, or adds one and returns true; the
// caller must then decide it.
func (c *Client) findOrAddClaim(key keeper.Key) (*localClaim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if local := c.localClaims[key]; local != nil {
		return local, false
	}
	local := &localClaim{decided: make(chan struct{})}
	c.localClaims[key] = local
	return local, true
}

func (c *Client) removeClaim(key keeper.Key, local *localClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.localClaims[key] == local {
		delete(c.localClaims, key)
	}
}

// awaitClaim waits for another send at this gateway. It returns true if the caller should
// claim the key itself, because that send ended without running the request.
func (c *Client) awaitClaim(ctx context.Context, local *localClaim) (Decision, bool) {
	select {
	case <-local.decided:
	case <-ctx.Done():
		return refusal(errkind.ClaimHeld, "an earlier send is still claiming"), false
	}
	if local.attempt == nil {
		if local.decision.Result != nil {
			return local.decision, false
		}
		// The other send may have reached its deadline; this one may have a later deadline.
		return local.decision, ctx.Err() == nil
	}
	select {
	case <-local.attempt.done:
	case <-ctx.Done():
	}
	outcome, result := c.attempts.outcome(c.options.Now(), local.attempt)
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

// propose decides a claim that this call has added.
func (c *Client) propose(ctx context.Context, key keeper.Key, deadline clock.Instant, local *localClaim) {
	p := &proposal{client: c, key: key, shard: keeper.ClaimShard(key), responses: make(chan responseHandler, 2*keeper.GroupSize), done: make(chan struct{})}
	local.decision, local.attempt = p.run(ctx, deadline)
	if local.attempt == nil {
		c.removeClaim(key, local)
	} else {
		local.decision.Run = &grantedRun{client: c, proposal: p, attempt: local.attempt, localClaim: local}
	}
	close(local.decided)
}

// callKeeper calls the keeper of a VM in the background. It calls failed on an error.
func (c *Client) callKeeper(vm string, call func(context.Context, hoistv1.KeeperClient) error, failed func()) {
	c.callKeeperAt(c.knownVM(vm).AgentAddress, vm, call, failed)
}

func (c *Client) callKeeperAt(address, vm string, call func(context.Context, hoistv1.KeeperClient) error, failed func()) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := c.pool.Do(address, func(conn *grpc.ClientConn) error { return call(ctx, hoistv1.NewKeeperClient(conn)) })
		if err != nil {
			c.metrics.failedCalls.Inc()
			c.options.Logger.Debug("keeper call failed", zap.String("vm", vm), zap.Error(err))
			failed()
		}
	}()
}

// sendFinishes reports the end of an attempt to the keepers. A lost message is harmless:
// the record names this process as holder, so others ask it for the outcome.
func (c *Client) sendFinishes(actions []keeper.Action) {
	for _, action := range actions {
		if action.Kind != keeper.SendFinish {
			continue
		}
		c.callKeeper(action.To, func(ctx context.Context, k hoistv1.KeeperClient) error {
			_, err := k.Finish(ctx, keeperwire.FromFinishRequest(action.Finish))
			return err
		}, func() {})
	}
}

func (c *Client) nextSeed() uint64 { return c.seedCounter.Add(1) }

func newTimer(d time.Duration) *time.Timer { return time.NewTimer(max(d, time.Millisecond)) }
