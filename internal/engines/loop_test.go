package engines

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// TestStateReadsAreBoundedAndCoverAllEngines guards against reading a whole large pool in
// every round, and against engines that are never read.
func TestStateReadsAreBoundedAndCoverAllEngines(t *testing.T) {
	const engineCount = 120
	pool := table.Pool{Name: "engines", Kind: table.KindEngine, Model: table.Model{Name: "m"}}
	for i := range engineCount {
		pool.Upstreams = append(pool.Upstreams, table.Upstream{Name: fmt.Sprint("engine-", i)})
	}
	pools := &table.Pools{Pools: []table.Pool{pool}}
	loop := NewLoop("vm", func() AgentState { return AgentState{} }, zap.NewNop())
	loop.planner.SetReachable([]string{"vm"})
	seen := map[string]bool{}
	for range engineCount / maxReadsPerRound {
		round := loop.nextEngines(pools)
		if len(round) != maxReadsPerRound {
			t.Fatalf("a round reads %d engines, want %d", len(round), maxReadsPerRound)
		}
		for _, upstream := range round {
			seen[upstream.Name] = true
		}
	}
	if len(seen) != engineCount {
		t.Errorf("only %d of %d engines were read", len(seen), engineCount)
	}
}
