package poison

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Block refuses the requests whose prompts have all of its parts.
type Block struct {
	// Parts are in ascending order. There are several as long as they only came together, since any of
	// them may be the one that crashes upstreams.
	Parts []Part
	// FirstCrash is when the first of the upstreams crashed for which the parts are blocked. The VM that
	// decided on the block knew of no answer since then.
	FirstCrash clock.Instant
	// Until is when the block ends.
	Until clock.Instant
	// Blocks is how often the parts were blocked in succession.
	Blocks int
	// Upstreams are the upstreams that crashed; empty if another VM decided on the block.
	Upstreams []string
}

// matches reports whether a prompt has all parts of the block.
func (b *Block) matches(prompt []Part) bool { return containsAll(prompt, b.Parts) }

// remove removes a part and reports whether it was there.
func (b *Block) remove(part Part) bool {
	i := slices.Index(b.Parts, part)
	if i < 0 {
		return false
	}
	// The list may be shared with a copy of the block.
	b.Parts = slices.Concat(b.Parts[:i], b.Parts[i+1:])
	return true
}

// blockTime returns how long parts are blocked for the nth time in succession, counted from 1.
func blockTime(n int) time.Duration {
	return min(firstBlockTime<<min(n-1, maxBlockDoublings), maxBlockTime)
}
