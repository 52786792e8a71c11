package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestColdReportDropsEarlierSuccesses guards against successes from before an upstream
// turned cold that make it look warm again, in either order of arrival.
func TestColdReportDropsEarlierSuccesses(t *testing.T) {
	now := clock.Instant(time.Hour)
	success := Warmth{Upstream: "u", Reporter: "vm-1", Sequence: 1, Successes: 9, Age: 5 * time.Second}
	cold := Warmth{Upstream: "u", Reporter: "vm-2", Sequence: 1, Cold: true, Age: time.Second}
	for _, order := range [][]Warmth{{success, cold}, {cold, success}} {
		s := NewStore()
		for _, w := range order {
			s.MergeWarmth(now, []Warmth{w}, 0)
		}
		if diff := cmp.Diff([]Warmth{cold}, s.Warmth(now)); diff != "" {
			t.Error(diff)
		}
		s.MergeWarmth(now, []Warmth{{Upstream: "u", Reporter: "vm-1", Sequence: 2, Successes: 10}}, 0)
		if got := len(s.Warmth(now)); got != 2 {
			t.Errorf("%d reports after a later success, want 2", got)
		}
	}
}

// TestWarmthExpires guards against reports that outlive WarmthLifetime, counted from
// the observation and not from the arrival.
func TestWarmthExpires(t *testing.T) {
	now := clock.Instant(time.Hour)
	s := NewStore()
	s.MergeWarmth(now, []Warmth{{Upstream: "u", Reporter: "vm-1", Sequence: 1, Age: 20 * time.Second}}, time.Second)
	now = now.Add(9 * time.Second)
	s.Tick(now)
	if got := s.Warmth(now); len(got) != 0 {
		t.Fatalf("expired reports remain: %+v", got)
	}
}

// TestSuspectsMergeAndStayBounded guards against lost upstreams of a suspect and
// against a store that grows with the number of suspect requests.
func TestSuspectsMergeAndStayBounded(t *testing.T) {
	now := clock.Instant(time.Hour)
	s := NewStore()
	s.MergeSuspects(now, []Suspect{{Fingerprint: Fingerprint{1}, Upstreams: []string{"b"}, TTL: time.Minute}})
	s.MergeSuspects(now, []Suspect{{Fingerprint: Fingerprint{1}, Upstreams: []string{"a"}, TTL: 30 * time.Second}})
	want := []Suspect{{Fingerprint: Fingerprint{1}, Upstreams: []string{"a", "b"}, TTL: time.Minute}}
	if diff := cmp.Diff(want, s.Suspects(now)); diff != "" {
		t.Fatal(diff)
	}
	for i := range 2 * MaxSuspects {
		s.MergeSuspects(now, []Suspect{{
			Fingerprint: Fingerprint{2, byte(i), byte(i >> 8)},
			Upstreams:   []string{"a"}, TTL: 5 * time.Minute,
		}})
	}
	if got := len(s.Suspects(now)); got != MaxSuspects {
		t.Fatalf("%d suspects, want %d", got, MaxSuspects)
	}
}

// TestAllItemsReachAllStores guards against items that stop spreading before all
// members have them, and against items that are sent forever.
func TestAllItemsReachAllStores(t *testing.T) {
	const members = 40
	now := clock.Instant(time.Hour)
	stores := make([]*Store, members)
	for i := range stores {
		stores[i] = NewStore()
		stores[i].SetMemberCount(members)
	}
	for i := range 30 {
		stores[0].RecordLocalWarmth(now, []Warmth{{Upstream: fmt.Sprintf("u-%d", i), Reporter: "vm-0", Sequence: 1, Successes: 1}})
	}
	stores[1].MergeSuspects(now, []Suspect{{Fingerprint: Fingerprint{7}, Upstreams: []string{"u"}, TTL: time.Minute}})
	sent := 0
	for round := range 12 {
		sent = 0
		for i, from := range stores {
			to := stores[(i+1+7*round)%members]
			reports := from.TakeWarmth(now)
			sent += len(reports)
			to.MergeWarmth(now, reports, 0)
			to.MergeSuspects(now, from.TakeSuspects(now))
		}
	}
	for i, s := range stores {
		if len(s.Warmth(now)) != 30 || len(s.Suspects(now)) != 1 {
			t.Errorf("store %d has %d warmth reports and %d suspects", i, len(s.Warmth(now)), len(s.Suspects(now)))
		}
	}
	for range 30 {
		for _, s := range stores {
			s.TakeWarmth(now)
		}
	}
	if got := len(stores[5].TakeWarmth(now)); got != 0 {
		t.Fatalf("%d reports are still sent", got)
	}
}

// TestReportersAreBounded guards against stored reports that grow with the number of
// VMs that use an upstream, and against a bound that rejects a report of cold.
func TestReportersAreBounded(t *testing.T) {
	now := clock.Instant(time.Hour)
	s := NewStore()
	for i := range 16 {
		s.MergeWarmth(now, []Warmth{{Upstream: "u", Reporter: fmt.Sprint("vm-", i), Sequence: 1, Successes: 1}}, 0)
	}
	if got := len(s.Warmth(now)); got != MaxReporters {
		t.Fatalf("%d reporters, want %d", got, MaxReporters)
	}
	s.TakeWarmth(now)
	now = now.Add(time.Second)
	s.RecordLocalWarmth(now, []Warmth{{Upstream: "u", Reporter: "self", Sequence: 1, Successes: 1}})
	now = now.Add(refreshAfter - 2*time.Second)
	s.RecordLocalWarmth(now, []Warmth{{Upstream: "u", Reporter: "self", Sequence: 2, Successes: 2}})
	s.MergeWarmth(now, []Warmth{{Upstream: "u", Reporter: "vm-99", Sequence: 1, Cold: true}}, 0)
	got := s.Warmth(now)
	if len(got) != 2 || got[0].Reporter != "self" || !got[1].Cold {
		t.Fatalf("after a report of cold: %+v", got)
	}
}
