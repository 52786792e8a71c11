package gossip_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/gossip"
)

// A later report that an upstream is cold replaces earlier successes.
func ExampleStore() {
	now := clock.Instant(time.Hour)
	store := gossip.NewStore()
	store.MergeWarmth(now, []gossip.Warmth{{Upstream: "engine-1", Reporter: "vm-1", Sequence: 1, Successes: 9, Age: 5 * time.Second}}, 0)
	store.MergeWarmth(now, []gossip.Warmth{{Upstream: "engine-1", Reporter: "vm-2", Sequence: 1, Cold: true, Age: time.Second}}, 0)
	for _, warmth := range store.Warmth(now) {
		fmt.Println(warmth.Upstream, warmth.Reporter, "cold:", warmth.Cold)
	}
	// Output: engine-1 vm-2 cold: true
}
