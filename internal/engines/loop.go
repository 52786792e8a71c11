package engines

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/orders"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// pollInterval is the time between two rounds of state reads.
	pollInterval = time.Second
	// maxReadsPerRound limits the state reads of one round and so the CPU time of the VM
	// that sends a pool's orders: reading a pool of 120 engines takes 6 s.
	maxReadsPerRound = 20
)

// AgentState is the agent's state at the start of a round.
type AgentState struct {
	// Pools is the table in force, nil before the first.
	Pools *table.Pools
	// Revision is the revision of the table in Pools.
	Revision uint64
	// Reachable lists the names of the reachable VMs, including this one.
	Reachable []string
	// Confirmed is set if the table is known to be current.
	Confirmed bool
}

// Loop reads engine states and sends the orders of its planner.
type Loop struct {
	client     *Client
	planner    *orders.Planner
	agentState func() AgentState
	logger     *zap.Logger
	// readCursor is the index of the engine that was read last.
	readCursor int
}

// NewLoop returns a loop for the VM that calls agentState at the start of every round.
func NewLoop(vm string, agentState func() AgentState, logger *zap.Logger) *Loop {
	return &Loop{
		client:     NewClient(),
		planner:    orders.NewPlanner(orders.DefaultOptions(vm)),
		agentState: agentState,
		logger:     logger,
	}
}

// Run runs a round in every interval until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.runRound()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) runRound() {
	state := l.agentState()
	if state.Pools == nil {
		return
	}
	l.planner.SetPools(bootclock.Now(), state.Pools, state.Revision)
	l.planner.SetReachable(state.Reachable)
	l.planner.SetConfirmed(state.Confirmed)
	l.readStates(state.Pools)
	for _, order := range l.planner.Tick(bootclock.Now()) {
		l.send(order)
	}
}

func (l *Loop) send(order orders.Order) {
	kind := l.client.Send(order)
	l.planner.HandleResult(bootclock.Now(), orders.Result{Upstream: order.Upstream, Fencing: order.Fencing, Kind: kind})
	l.logger.Info("order sent to engine",
		zap.String("upstream", order.Upstream), zap.String("model", order.Model.Name),
		zap.String("version", order.Model.Version), zap.Uint64("fencing", order.Fencing),
		zap.Stringer("result", kind))
}

// readStates reads the states of the engines that are next in turn and passes them to the
// planner.
func (l *Loop) readStates(pools *table.Pools) {
	type reading struct {
		upstream string
		state    orders.EngineState
	}
	var (
		reads    sync.WaitGroup
		mu       sync.Mutex
		readings []reading
	)
	for _, upstream := range l.nextEngines(pools) {
		reads.Go(func() {
			state, err := l.client.State(upstream.Address, bootclock.Now())
			if err != nil {
				l.logger.Debug("reading engine state failed", zap.String("upstream", upstream.Name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			readings = append(readings, reading{upstream.Name, state})
		})
	}
	reads.Wait()
	for _, reading := range readings {
		l.planner.Observe(reading.upstream, reading.state)
	}
}

// nextEngines returns the engines to read in this round. It cycles through all engines of
// the pools whose orders this VM sends.
func (l *Loop) nextEngines(pools *table.Pools) []table.Upstream {
	var all []table.Upstream
	for i := range pools.Pools {
		if l.planner.SendsOrders(&pools.Pools[i]) {
			all = append(all, pools.Pools[i].Upstreams...)
		}
	}
	engines := make([]table.Upstream, 0, maxReadsPerRound)
	for range min(maxReadsPerRound, len(all)) {
		l.readCursor = (l.readCursor + 1) % len(all)
		engines = append(engines, all[l.readCursor])
	}
	return engines
}
