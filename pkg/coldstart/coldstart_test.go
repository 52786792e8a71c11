package coldstart

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const start = clock.Instant(time.Hour)

func warmed() *Evidence {
	e := &Evidence{WarmAfter: 3}
	for i := range 3 {
		e.Success(start.Add(time.Duration(i)), start-1, time.Millisecond, false)
	}
	return e
}

// TestSignsOfColdDropEvidence guards against an upstream that keeps its warm limit
// after evidence ended (G2).
func TestSignsOfColdDropEvidence(t *testing.T) {
	later := start.Add(time.Second)
	signs := map[string]func(*Evidence) clock.Instant{
		"cold sign":  func(e *Evidence) clock.Instant { e.Cold(later); return later },
		"no success": func(*Evidence) clock.Instant { return start.Add(EvidenceLifetime + 2) },
		"peer report": func(e *Evidence) clock.Instant {
			e.Merge(later, &Report{Reporter: "b", Sequence: 1, Cold: true, Observed: later})
			return later
		},
		"service time": func(e *Evidence) clock.Instant {
			for range learnedAfter {
				e.Success(later, later, time.Millisecond, false)
			}
			for range jumpCount {
				e.Success(later, later, 2*time.Millisecond+jumpMinimum, false)
			}
			return later
		},
	}
	for name, sign := range signs {
		e := warmed()
		if warm, _ := e.Warm(start.Add(3)); !warm {
			t.Fatal("not warm after the successes")
		}
		if warm, _ := e.Warm(sign(e)); warm {
			t.Errorf("%s: still warm", name)
		}
	}
}

// TestShortPauseIsNoSignOfCold guards against a pause of the gateway's own process that
// makes the calls to every upstream late at once and turns all pools cold.
func TestShortPauseIsNoSignOfCold(t *testing.T) {
	e := warmed()
	for range learnedAfter {
		e.Success(start.Add(3), start.Add(3), time.Millisecond, false)
	}
	for range jumpWindow {
		e.Success(start.Add(4), start.Add(4), 10*time.Millisecond, false)
	}
	if warm, _ := e.Warm(start.Add(5)); !warm {
		t.Error("cold after calls that were late by 9 ms")
	}
}

// TestOldSuccessesDoNotCount guards against late answers and counts from before a
// crash that make the restarted upstream warm at once (G2).
func TestOldSuccessesDoNotCount(t *testing.T) {
	e := warmed()
	e.Merge(start.Add(3), &Report{Reporter: "b", Sequence: 1, Successes: 50, Observed: start.Add(3)})
	coldAt := start.Add(time.Second)
	e.Cold(coldAt)
	now := coldAt.Add(time.Second)
	for range 10 {
		e.Success(now, coldAt-1, time.Millisecond, false)
	}
	e.Merge(now, &Report{Reporter: "b", Sequence: 2, Successes: 52, Observed: now})
	e.Merge(now, &Report{Reporter: "c", Sequence: 9, Successes: 99, Observed: now})
	if warm, _ := e.Warm(now); warm {
		t.Error("warm by successes from before the sign")
	}
	e.Merge(now+1, &Report{Reporter: "c", Sequence: 10, Successes: 100, Observed: now + 1})
	if warm, _ := e.Warm(now + 1); !warm {
		t.Error("three increases after the sign do not count")
	}
}

// TestRepeatedColdReportCountsOnce guards against a gossiped report that arrives
// again with a shifted time and keeps the upstream cold for ever.
func TestRepeatedColdReportCountsOnce(t *testing.T) {
	e := warmed()
	e.Merge(start.Add(time.Second), &Report{Reporter: "b", Sequence: 1, Cold: true, Observed: start.Add(time.Second)})
	now := start.Add(2 * time.Second)
	for range 3 {
		e.Success(now, now, time.Millisecond, false)
	}
	e.Merge(now+2, &Report{Reporter: "b", Sequence: 1, Cold: true, Observed: now + 1})
	if warm, _ := e.Warm(now + 2); !warm {
		t.Error("the repeated report dropped newer evidence")
	}
}

// TestRampDoublesOnlyAtTheLimit guards against a limit that grows without load.
func TestRampDoublesOnlyAtTheLimit(t *testing.T) {
	var r Ramp
	r.Restart()
	for range 100 {
		r.Success(16)
	}
	if got := r.Limit(16); got != 1 {
		t.Fatalf("limit %d without reaching it", got)
	}
	for _, want := range []int{2, 4, 8, 16, 16} {
		r.Sent(r.Limit(16))
		for range 16 {
			r.Success(16)
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
		sum, outside := 0, 0
		inside := false
		for _, m := range members {
			share := Share("u", "z0", capacity, members, m.VM)
			sum += share
			if m.Zone != "z0" {
				outside += share
			}
			inside = inside || m.Zone == "z0"
		}
		if len(members) > 0 && sum != capacity {
			t.Fatalf("shares sum to %d of %d", sum, capacity)
		}
		if inside && 10*outside > 3*capacity {
			t.Fatalf("outside work %d of %d", outside, capacity)
		}
	})
}
