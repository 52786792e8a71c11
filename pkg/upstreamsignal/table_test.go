package upstreamsignal

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const drain = 2 * time.Second

var first = Instance{ID: "u-1", Start: 1}

func at(d time.Duration) clock.Instant { return clock.Instant(time.Hour).Add(d) }

// TestLeaving guards against new work for a leaving upstream while another one is in service, and
// against any work later than the margin before the drain time.
func TestLeaving(t *testing.T) {
	table := New(drain)
	if !table.RecordLeaving(at(0), first) || table.RecordLeaving(at(time.Second), first) {
		t.Fatal("only the first signal is new")
	}
	for _, c := range []struct {
		name       string
		now, taken time.Duration
		hasOther   bool
		want       Verdict
	}{
		{"new work with another upstream", 1, 1, true, Leaving},
		{"work that arrives with the signal", 1, 0, true, Leaving},
		{"new work without another upstream", time.Second, time.Second, false, LastResort},
		{"work from before the signal", time.Second, -1, true, LastResort},
		{"just before the margin", 1500*time.Millisecond - 1, 0, false, LastResort},
		{"within the margin", 1500 * time.Millisecond, 0, false, Leaving},
		{"work from before the signal within the margin", 1500 * time.Millisecond, -1, false, Leaving},
		{"much later", time.Hour, time.Hour, false, Leaving},
	} {
		if got := table.WorkVerdict(at(c.now), at(c.taken), first, c.hasOther); got != c.want {
			t.Errorf("%s: verdict %d, expected %d", c.name, got, c.want)
		}
	}
	if got := table.UpkeepVerdict(at(time.Second), first); got != LastResort {
		t.Errorf("a release within the drain time: verdict %d", got)
	}
	if got := table.UpkeepVerdict(at(drain), first); got != Leaving {
		t.Errorf("a release after the drain time: verdict %d", got)
	}
}

// TestRestartIsNew guards against signals that outlive the instance which sent them.
func TestRestartIsNew(t *testing.T) {
	table := New(drain)
	table.RecordLeaving(at(0), first)
	table.RecordPause(at(0), first, time.Minute)
	if got := table.WorkVerdict(at(1), at(1), Instance{ID: first.ID, Start: 2}, true); got != Open {
		t.Errorf("verdict %d for a restarted upstream", got)
	}
}

// TestNoDrainTime guards against work for a leaving upstream if the settings state no drain time.
func TestNoDrainTime(t *testing.T) {
	table := New(0)
	table.RecordLeaving(at(0), first)
	if got := table.WorkVerdict(at(0), at(-1), first, false); got != Leaving {
		t.Errorf("verdict %d", got)
	}
}

// TestPause guards against traffic during a pause, a pause that is cut short by a later response,
// and pauses without a sensible length.
func TestPause(t *testing.T) {
	table := New(drain)
	if table.RecordPause(at(0), first, 0) || table.RecordPause(at(0), first, -time.Second) || table.RecordPause(at(0), first, MaxPause+1) {
		t.Error("a pause without a sensible length was recorded")
	}
	if table.Len() != 0 {
		t.Errorf("%d instances after ignored signals", table.Len())
	}
	table.RecordPause(at(0), first, 3*time.Second)
	if table.RecordPause(at(time.Second), first, time.Second) {
		t.Error("a shorter pause replaced a longer one")
	}
	if got := table.WorkVerdict(at(3*time.Second-1), at(-1), first, false); got != Paused {
		t.Errorf("verdict %d before the end of the pause", got)
	}
	if got := table.UpkeepVerdict(at(3*time.Second-1), first); got != Paused {
		t.Errorf("verdict %d for a release before the end of the pause", got)
	}
	if got := table.WorkVerdict(at(3*time.Second), at(0), first, false); got != Open {
		t.Errorf("verdict %d at the end of the pause", got)
	}
}

// TestRetain guards against memory for upstreams that are gone, and against a signal that is lost
// while its upstream is registered or may be.
func TestRetain(t *testing.T) {
	table := New(drain)
	paused, unregistered := Instance{ID: "u-2"}, Instance{ID: "u-3"}
	table.RecordLeaving(at(0), first)
	table.RecordLeaving(at(0), unregistered)
	table.RecordPause(at(0), paused, time.Second)
	table.Retain(at(time.Minute), func(i Instance) bool { return i == first })
	if table.Len() != 2 || !table.IsLeaving(unregistered) {
		t.Errorf("%d instances after a minute", table.Len())
	}
	table.Retain(at(retention), func(i Instance) bool { return i == first })
	if table.Len() != 1 || !table.IsLeaving(first) {
		t.Errorf("%d instances after the retention time", table.Len())
	}
	for n := range maxInstances + 10 {
		table.RecordLeaving(at(retention), Instance{ID: strconv.Itoa(n)})
	}
	if table.Len() != maxInstances {
		t.Errorf("%d instances", table.Len())
	}
}

// TestRules checks both rules of the requirements for random signals: nothing is sent during a
// pause, and nothing after the drain time.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(drain), at(0)
		leavingSince, pausedUntil := clock.Instant(0), clock.Instant(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if table.RecordLeaving(now, first); leavingSince == 0 {
					leavingSince = now
				}
			case 1:
				pause := time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond
				table.RecordPause(now, first, pause)
				pausedUntil = max(pausedUntil, now.Add(pause))
			case 2:
				table.Retain(now, func(Instance) bool { return true })
			}
			taken := now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond)
			verdict := table.WorkVerdict(now, taken, first, rapid.Bool().Draw(t, "other"))
			sent := verdict == Open || verdict == LastResort
			if sent && now < pausedUntil {
				t.Fatal("sent during a pause")
			}
			if sent && leavingSince != 0 && now >= leavingSince.Add(drain) {
				t.Fatal("sent after the drain time")
			}
			if verdict == Open && leavingSince != 0 {
				t.Fatal("a leaving upstream is open")
			}
		}
	})
}

// BenchmarkWorkVerdict measures one decision; the requirement is less than 2 us without allocation.
func BenchmarkWorkVerdict(b *testing.B) {
	table := New(drain)
	for n := range 600 {
		table.RecordLeaving(at(0), Instance{ID: strconv.Itoa(n)})
	}
	i := Instance{ID: "300"}
	b.ReportAllocs()
	for b.Loop() {
		table.WorkVerdict(at(1), at(0), i, true)
	}
}
