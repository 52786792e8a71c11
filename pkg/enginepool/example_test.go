package enginepool_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
)

// A request goes to the engine that has read the beginning of its prompt, as long as it does not wait
// there longer than its caller can bear.
func ExamplePool_Place() {
	pool := enginepool.New()
	pool.Configure(enginepool.Limits{Concurrency: 64, CacheTokens: 500_000}, []enginepool.Engine{{ID: "engine-1"}, {ID: "engine-2"}})
	contract := []enginepool.Part{{ID: 1, Tokens: 5000}}
	now := clock.Instant(time.Hour)
	first, _ := pool.Place(now, &enginepool.Request{ID: "r1", Parts: contract, PromptTokens: 6000, Slack: time.Second})
	now = now.Add(time.Second)
	pool.End(now, "r1", enginepool.Outcome{Engine: first.Engine, FirstEvent: 120 * time.Millisecond})
	second, _ := pool.Place(now, &enginepool.Request{ID: "r2", Parts: contract, PromptTokens: 6000, Slack: time.Second})
	fmt.Println(second.Engine == first.Engine, second.CachedTokens)
	// Output: true 5000
}
