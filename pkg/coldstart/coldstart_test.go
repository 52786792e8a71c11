package coldstart

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const start = clock.Instant(time.Hour)

func newWarmTracker() *WarmthTracker {
	tracker := &WarmthTracker{WarmAfter: 3}
	for i := range 3 {
		tracker.RecordSuccess(start.Add(time.Duration(i)), start-1, time.Millisecond, false)
	}
	return tracker
}

// TestColdSignsEndWarmth guards against an upstream that keeps its warm limit after a cold
// sign, or after its warmth expired (guarantee G2).
func TestColdSignsEndWarmth(t *testing.T) {
	later := start.Add(time.Second)
	signs := map[string]func(*WarmthTracker) clock.Instant{
		"cold sign":  func(tracker *WarmthTracker) clock.Instant { tracker.MarkCold(later); return later },
		"no success": func(*WarmthTracker) clock.Instant { return start.Add(WarmthLifetime + 2) },
		"peer report": func(tracker *WarmthTracker) clock.Instant {
			tracker.Merge(later, &Report{Reporter: "b", Sequence: 1, Cold: true, Observed: later})
			return later
		},
		"service time": func(tracker *WarmthTracker) clock.Instant {
			for range minSamples {
				tracker.RecordSuccess(later, later, time.Millisecond, false)
			}
			for range slowWindowThreshold {
				tracker.RecordSuccess(later, later, 2*time.Millisecond+slowMinExcess, false)
			}
			return later
		},
	}
	for name, sign := range signs {
		tracker := newWarmTracker()
		if warm, _ := tracker.Warm(start.Add(3)); !warm {
			t.Fatal("not warm after the successes")
		}
		if warm, _ := tracker.Warm(sign(tracker)); warm {
			t.Errorf("%s: still warm", name)
		}
	}
}

// TestShortPauseKeepsWarmth guards against a short pause of the gateway's own process that
// delays the calls to all upstreams at once, so that all of them count as cold.
func TestShortPauseKeepsWarmth(t *testing.T) {
	tracker := newWarmTracker()
	for range minSamples {
		tracker.RecordSuccess(start.Add(3), start.Add(3), time.Millisecond, false)
	}
	for range slowWindow {
		tracker.RecordSuccess(start.Add(4), start.Add(4), 10*time.Millisecond, false)
	}
	if warm, _ := tracker.Warm(start.Add(5)); !warm {
		t.Error("cold after calls that were 9 ms slower than usual")
	}
}

// TestSuccessesBeforeColdSignAreIgnored guards against late answers and reported counts from
// before a crash that make the restarted upstream warm at once (guarantee G2).
func TestSuccessesBeforeColdSignAreIgnored(t *testing.T) {
	tracker := newWarmTracker()
	tracker.Merge(start.Add(3), &Report{Reporter: "b", Sequence: 1, Successes: 50, Observed: start.Add(3)})
	coldAt := start.Add(time.Second)
	tracker.MarkCold(coldAt)
	now := coldAt.Add(time.Second)
	for range 10 {
		tracker.RecordSuccess(now, coldAt-1, time.Millisecond, false)
	}
	tracker.Merge(now, &Report{Reporter: "b", Sequence: 2, Successes: 52, Observed: now})
	tracker.Merge(now, &Report{Reporter: "c", Sequence: 9, Successes: 99, Observed: now})
	if warm, _ := tracker.Warm(now); warm {
		t.Error("warm because of successes before the cold sign")
	}
	tracker.Merge(now+1, &Report{Reporter: "c", Sequence: 10, Successes: 100, Observed: now + 1})
	if warm, _ := tracker.Warm(now + 1); !warm {
		t.Error("still cold after three new successes since the cold sign")
	}
}

// TestRepeatedColdReportCountsOnce guards against a gossiped report that arrives again with
// a later timestamp each time and keeps the upstream cold forever.
func TestRepeatedColdReportCountsOnce(t *testing.T) {
	tracker := newWarmTracker()
	tracker.Merge(start.Add(time.Second), &Report{Reporter: "b", Sequence: 1, Cold: true, Observed: start.Add(time.Second)})
	now := start.Add(2 * time.Second)
	for range 3 {
		tracker.RecordSuccess(now, now, time.Millisecond, false)
	}
	tracker.Merge(now+2, &Report{Reporter: "b", Sequence: 1, Cold: true, Observed: now + 1})
	if warm, _ := tracker.Warm(now + 2); !warm {
		t.Error("the repeated report discarded newer successes")
	}
}

// TestRampDoublesOnlyAtTheLimit guards against a limit that grows although it was not reached.
func TestRampDoublesOnlyAtTheLimit(t *testing.T) {
	var r Ramp
	r.Restart()
	for range 100 {
		r.RecordSuccess(16)
	}
	if got := r.Limit(16); got != 1 {
		t.Fatalf("limit grew to %d without being reached", got)
	}
	for _, want := range []int{2, 4, 8, 16, 16} {
		r.RecordDispatch(r.Limit(16))
		for range 16 {
			r.RecordSuccess(16)
		}
		if got := r.Limit(16); got != want {
			t.Fatalf("limit %d, want %d", got, want)
		}
	}
}

// TestSharesNeverExceedTheCapacity guards against shares whose sum overloads a warm upstream.
func TestSharesNeverExceedTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		members := make([]Member, rapid.IntRange(0, 40).Draw(t, "members"))
		for i := range members {
			members[i] = Member{VM: fmt.Sprint("vm-", i), Zone: fmt.Sprint("z", rapid.IntRange(0, zones-1).Draw(t, "zone"))}
		}
		capacity := rapid.IntRange(0, 100).Draw(t, "capacity")
		sum, otherZones := 0, 0
		hasSameZone := false
		for _, m := range members {
			share := Share("u", "z0", capacity, members, m.VM)
			sum += share
			if m.Zone != "z0" {
				otherZones += share
			}
			hasSameZone = hasSameZone || m.Zone == "z0"
		}
		if len(members) > 0 && sum != capacity {
			t.Fatalf("shares sum to %d of %d", sum, capacity)
		}
		if hasSameZone && 10*otherZones > 3*capacity {
			t.Fatalf("VMs of other zones hold %d of %d", otherZones, capacity)
		}
	})
}
