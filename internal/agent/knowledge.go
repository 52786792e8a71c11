package agent

import (
	"sync"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/engines"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// poolsCache holds the decoded pools table of one revision.
type poolsCache struct {
	mu       sync.Mutex
	revision uint64
	pools    *table.Pools
}

// Knowledge returns what orders to engines depend on. It is unconfirmed while the
// agent is catching up.
func (a *Agent) Knowledge() engines.AgentState {
	a.mu.Lock()
	now := bootclock.Now()
	snapshot := a.core.Snapshot(now)
	confirmed := a.core.MayDecide(now)
	a.mu.Unlock()
	known := engines.AgentState{
		Pools:     a.decodedPools(snapshot.Pools.Revision, snapshot.Pools.Data),
		Revision:  snapshot.Pools.Revision,
		Reachable: []string{a.options.Settings.VM},
		Confirmed: confirmed,
	}
	for _, state := range snapshot.Members {
		if state.Status != membership.Unreachable {
			known.Reachable = append(known.Reachable, state.Name)
		}
	}
	return known
}

func (a *Agent) decodedPools(revision uint64, data []byte) *table.Pools {
	if revision == 0 {
		return nil
	}
	c := &a.poolsCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != revision {
		pools, err := table.DecodePools("pools", data)
		if err != nil {
			// Values in force have passed validation.
			a.logger.Error("pools table in force cannot be decoded", zap.Error(err))
			return nil
		}
		c.revision, c.pools = revision, pools
	}
	return c.pools
}
