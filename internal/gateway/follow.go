package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// watchRetryInterval is the delay before another attempt when no agent could be reached.
	watchRetryInterval = 200 * time.Millisecond
	// snapshotTimeout is the longest time without a snapshot before the agent counts as
	// unreachable. Agents send one at least every second; a paused agent process
	// sends none but keeps its connection open.
	snapshotTimeout = 3 * time.Second
	// peerWatchDuration is how long the agent of another VM is followed before the local
	// agent is tried again. Each new watch transfers both tables.
	peerWatchDuration = 15 * time.Second
)

// AgentDialer connects to the agent at IP:port; the returned function closes the connection.
type AgentDialer func(address string) (hoistv1.AgentClient, func(), error)

// Follow applies the local agent's snapshots until ctx ends. While the local agent cannot
// be reached it follows agents of other VMs, so that table changes also reach a gateway
// whose agent has crashed or is paused. If no agent can be reached, the last snapshot
// stays in use.
func (g *Gateway) Follow(ctx context.Context, local hoistv1.AgentClient, dial AgentDialer) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := g.watch(ctx, local)
		if ctx.Err() != nil {
			return
		}
		g.options.Logger.Warn("agent is not reachable", zap.Error(err))
		if !g.followPeer(ctx, dial, attempt) {
			sleep(ctx, watchRetryInterval)
		}
	}
}

// watch applies the snapshots of one agent until the stream ends or a snapshot is overdue.
func (g *Gateway) watch(ctx context.Context, agent hoistv1.AgentClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(snapshotTimeout, cancel)
	defer timeout.Stop()
	stream, err := agent.Watch(ctx, &hoistv1.WatchRequest{Gateway: g.options.VM, OmitUnchanged: true})
	if err != nil {
		return err
	}
	var routes, pools tableData
	for {
		snapshot, err := stream.Recv()
		if err != nil {
			return err
		}
		timeout.Reset(snapshotTimeout)
		routes.restoreOmitted(snapshot.GetRoutes())
		pools.restoreOmitted(snapshot.GetPools())
		g.applySnapshot(snapshot)
	}
}

// tableData is the last version of a table received on a stream.
type tableData struct {
	revision uint64
	data     []byte
}

// restoreOmitted fills in the data that the agent omitted because it has not changed.
func (t *tableData) restoreOmitted(message *hoistv1.Table) {
	if message == nil {
		return
	}
	if len(message.GetData()) == 0 && message.GetRevision() == t.revision {
		message.Data = t.data
	}
	t.revision, t.data = message.GetRevision(), message.GetData()
}

// followPeer follows the agent of another VM for a limited time. It returns false if the
// caller should wait before the next attempt.
func (g *Gateway) followPeer(ctx context.Context, dial AgentDialer, attempt int) bool {
	address := g.peerAgentAddress(attempt)
	if address == "" || dial == nil {
		return false
	}
	agent, closeConnection, err := dial(address)
	if err != nil {
		g.options.Logger.Warn("agent of another VM is not reachable", zap.String("address", address), zap.Error(err))
		return false
	}
	defer closeConnection()
	ctx, cancel := context.WithTimeout(ctx, peerWatchDuration)
	defer cancel()
	started := time.Now()
	err = g.watch(ctx, agent)
	if ctx.Err() == nil {
		g.options.Logger.Warn("agent of another VM is not reachable", zap.String("address", address), zap.Error(err))
	}
	// A peer that fails immediately must not cause a busy loop.
	return time.Since(started) > watchRetryInterval
}

// peerAgentAddress chooses the agent of another VM, a different one on each attempt. The
// ranking spreads the gateways whose local agent is unreachable over all agents; those in
// the same zone come first.
func (g *Gateway) peerAgentAddress(attempt int) string {
	current := g.config.Load()
	if current == nil {
		return ""
	}
	addresses := map[string]string{}
	var sameZone, otherZones []string
	for i := range current.vms {
		vm := &current.vms[i]
		addresses[vm.Name] = vm.AgentAddress
		switch {
		case vm.Name == g.options.VM:
		case vm.Zone == g.options.Zone:
			sameZone = append(sameZone, vm.Name)
		default:
			otherZones = append(otherZones, vm.Name)
		}
	}
	key := "agent/" + g.options.VM
	ranked := append(rendezvous.Rank(key, sameZone), rendezvous.Rank(key, otherZones)...)
	if len(ranked) == 0 {
		return ""
	}
	return addresses[ranked[attempt%len(ranked)]]
}
