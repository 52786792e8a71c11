package edge

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// minStreamPatience, objectivePatience and gapPatience give how long a caller waits for the
	// next event of a stream: the longest of a fixed time, a multiple of the objective and a
	// multiple of the objective for gaps.
	minStreamPatience = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// patienceMargin is added before a silent stream is ended, so that a caller that waits as long as
	// expected disconnects before its stream is ended here.
	patienceMargin = 250 * time.Millisecond
	// resumePatienceDivisor sets when a silent stream moves to another upstream: after a
	// fraction of the caller's patience, which leaves time for the first event there.
	resumePatienceDivisor = 2
	// suspectSilence is how long an upstream in a zone that is probably cut off may be silent before
	// another one takes over, and suspectCheckInterval how often this is checked.
	suspectSilence       = 500 * time.Millisecond
	suspectCheckInterval = 200 * time.Millisecond
)

// streamPatience returns how long callers of a stream wait for its next event.
func streamPatience(route *catalog.Route) time.Duration {
	return max(minStreamPatience, objectivePatience*route.Objective, gapPatience*route.EventGapObjective)
}

// progressTimer ends an attempt whose upstream makes no progress: one that is silent, or that
// sends bytes which never make up a whole event or response.
type progressTimer struct {
	timer *time.Timer
	// last is when progress was last made, in nanoseconds of the clock of now.
	last atomic.Int64
	now  func() clock.Instant
}

// newProgressTimer returns a timer that calls cancel after the time, unless it is reset or
// stopped before.
func newProgressTimer(now func() clock.Instant, d time.Duration, cancel func()) *progressTimer {
	p := &progressTimer{now: now, timer: time.AfterFunc(d, cancel)}
	p.last.Store(int64(now()))
	return p
}

// reset starts the time anew after progress.
func (p *progressTimer) reset(d time.Duration) {
	p.last.Store(int64(p.now()))
	p.timer.Reset(d)
}

func (p *progressTimer) stop() { p.timer.Stop() }

// silence returns the time since the last progress.
func (p *progressTimer) silence() time.Duration { return p.now().Sub(clock.Instant(p.last.Load())) }

// leaveSuspectZone ends an attempt which another upstream can take over as soon as it is silent and
// the zone of its upstream is probably cut off, long before the caller's patience ends. The function
// that it returns must be called at the end of the attempt.
func (t *transaction) leaveSuspectZone(zone string, progress *progressTimer, cancel func()) (stop func()) {
	if zone == t.s.settings.Zone || !t.canMove() {
		return func() {}
	}
	ticker := time.NewTicker(suspectCheckInterval)
	done := make(chan struct{})
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				if t.s.isZoneSuspect(zone) && progress.silence() >= suspectSilence {
					cancel()
					return
				}
			}
		}
	}()
	return func() { close(done) }
}
