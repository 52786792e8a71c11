package dispatch

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestStallsAreNotServiceTime guards against a stall of this process that counts as service
// time of every upstream, whether the late tick is recorded before or after the calls end.
func TestStallsAreNotServiceTime(t *testing.T) {
	const interval = 10 * time.Millisecond
	start := clock.Instant(time.Hour)
	core := New(Options{TickInterval: interval})
	core.Tick(start)
	a := &attempt{stallsAtStart: core.stalls.totalAt(start)}
	late := start.Add(interval + 200*time.Millisecond)
	if got := core.serviceTime(late, a, 210*time.Millisecond); got != interval {
		t.Errorf("service time %v before the late tick, want %v", got, interval)
	}
	core.Tick(late)
	if got := core.serviceTime(late, a, 210*time.Millisecond); got != interval {
		t.Errorf("service time %v after the late tick, want %v", got, interval)
	}
	next := &attempt{stallsAtStart: core.stalls.totalAt(late)}
	if got := core.serviceTime(late.Add(interval), next, interval); got != interval {
		t.Errorf("service time %v of a call after the stall, want %v", got, interval)
	}
}

// TestPauseRestartsRamps guards against a process that resumes after a pause and sends its whole
// share to an upstream that turned cold meanwhile (guarantee G2).
func TestPauseRestartsRamps(t *testing.T) {
	f := newWarmUpFixture(t)
	for range 200 {
		f.serve(t, Outcome{Kind: OutcomeSuccess, Elapsed: time.Millisecond})
	}
	limit := func() int { return f.core.Status(f.now)[0].Limit }
	f.now = f.now.Add(pauseThreshold)
	f.core.Tick(f.now)
	if got := limit(); got != 1 {
		t.Errorf("limit %d after a pause, want 1", got)
	}
}
