package stagepool

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// SpreadSlack returns for each level when its stages should be done, so that the last level, which
// is level 1, is done at due. expectedEnds holds the expected end of each level; index 0 is not
// used. The time left beyond the expected ends is divided evenly: if the first stages used all of
// it, each later one would be late after the first short wait.
func SpreadSlack(expectedEnds []clock.Instant, due clock.Instant) []clock.Instant {
	levels := len(expectedEnds) - 1
	dues := slices.Clone(expectedEnds)
	for level := 1; level <= levels; level++ {
		slack := due.Sub(expectedEnds[1]) * time.Duration(levels-level+1) / time.Duration(levels)
		dues[level] = expectedEnds[level].Add(slack)
	}
	return dues
}
