package edge

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

const (
	// minStreamPatience, objectivePatience and gapPatience give how long a caller waits for the
	// next event of a stream: the longest of a fixed time, a multiple of the objective and a
	// multiple of the objective for gaps.
	minStreamPatience = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// patienceMargin is added before a silent stream is ended, so that a caller that is as
	// patient as it should be decides itself when to leave.
	patienceMargin = 250 * time.Millisecond
	// resumePatienceDivisor sets when a silent stream moves to another upstream: after a
	// fraction of the caller's patience, which leaves time for the first event there.
	resumePatienceDivisor = 2
)

// streamPatience returns how long callers of a stream wait for its next event.
func streamPatience(route *catalog.Route) time.Duration {
	return max(minStreamPatience, objectivePatience*route.Objective, gapPatience*route.EventGapObjective)
}

// progressTimer ends an attempt whose upstream makes no progress: one that is silent, or that
// sends bytes which never make up a whole event or response.
type progressTimer struct {
	timer   *time.Timer
	expired atomic.Bool
}

// newProgressTimer returns a timer that calls cancel after the time, unless it is reset or
// stopped before.
func newProgressTimer(d time.Duration, cancel func()) *progressTimer {
	p := &progressTimer{}
	p.timer = time.AfterFunc(d, func() {
		p.expired.Store(true)
		cancel()
	})
	return p
}

// reset starts the time anew after progress.
func (p *progressTimer) reset(d time.Duration) { p.timer.Reset(d) }

func (p *progressTimer) stop() { p.timer.Stop() }
