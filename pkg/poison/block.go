package poison

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// BlockedPart is a part of prompts with which requests are refused.
type BlockedPart struct {
	Part Part
	// Since is when it was blocked, and Until when the block ends.
	Since clock.Instant
	Until clock.Instant
	// Blocks is how often it was blocked in succession.
	Blocks int
	// Upstreams are the upstreams that crashed; empty if another VM blocked the part.
	Upstreams []string
}

// blockTime returns how long a part is blocked for the nth time in succession, counted from 1.
func blockTime(n int) time.Duration {
	return min(firstBlockTime<<min(n-1, maxBlockDoublings), maxBlockTime)
}
