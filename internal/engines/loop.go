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
	// maxReads bounds the state reads of one round and with them the processor time of the
	// sender: a pool of 120 engines is read in 6 s.
	maxReads = 20
)

// Knowledge is what the agent knows at one moment.
type Knowledge struct {
	// Pools is the table in force, nil before the first.
	Pools *table.Pools
	// Revision is the revision of Pools.
	Revision uint64
	// Reachable names the VMs that can be reached, this one included.
	Reachable []string
	// Confirmed says whether the table is known to be current.
	Confirmed bool
}

// Loop reads engine states and sends the orders of its planner.
type Loop struct {
	client    *Client
	planner   *orders.Planner
	knowledge func() Knowledge
	logger    *zap.Logger
	// next is the position in the list of engines from which the next round reads.
	next int
}

// NewLoop returns a loop for the VM that asks knowledge before every round.
func NewLoop(vm string, knowledge func() Knowledge, logger *zap.Logger) *Loop {
	return &Loop{
		client:    NewClient(),
		planner:   orders.NewPlanner(orders.DefaultOptions(vm)),
		knowledge: knowledge,
		logger:    logger,
	}
}

// Run works until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.round()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) round() {
	known := l.knowledge()
	if known.Pools == nil {
		return
	}
	l.planner.SetPools(bootclock.Now(), known.Pools, known.Revision)
	l.planner.SetMembers(known.Reachable)
	l.planner.SetConfirmed(known.Confirmed)
	l.observe(known.Pools)
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

// observe reads the state of the next engines for whose pools this VM sends the orders.
func (l *Loop) observe(pools *table.Pools) {
	type reading struct {
		upstream string
		state    orders.EngineState
	}
	var (
		reads    sync.WaitGroup
		mu       sync.Mutex
		readings []reading
	)
	for _, upstream := range l.due(pools) {
		reads.Go(func() {
			state, err := l.client.State(upstream.Address, bootclock.Now())
			if err != nil {
				l.logger.Debug("engine state could not be read", zap.String("upstream", upstream.Name), zap.Error(err))
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

// due returns the engines to read in this round, in turn.
func (l *Loop) due(pools *table.Pools) []table.Upstream {
	var all []table.Upstream
	for i := range pools.Pools {
		if l.planner.SendsOrders(&pools.Pools[i]) {
			all = append(all, pools.Pools[i].Upstreams...)
		}
	}
	due := make([]table.Upstream, 0, maxReads)
	for range min(maxReads, len(all)) {
		l.next = (l.next + 1) % len(all)
		due = append(due, all[l.next])
	}
	return due
}
