package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const start = clock.Instant(time.Hour)

// TestFairSharesFollowWeights guards against a workspace that floods the queue and
// starves others.
func TestFairSharesFollowWeights(t *testing.T) {
	q := NewQueue()
	for i := range 400 {
		q.Push("flood", 1, &Item{Key: 1, LatestStart: start + clock.Instant(i)})
	}
	for i := range 30 {
		q.Push("heavy", 3, &Item{Key: 3, LatestStart: start + clock.Instant(i)})
	}
	served := map[uint64]int{}
	for range 40 {
		served[q.Pop().Key]++
	}
	if served[3] < 29 || served[1] < 9 {
		t.Errorf("served %v, want 3 to 1", served)
	}
}

// TestAttemptsAreOrderedBySlackWithinWorkspace guards against serving an attempt
// before one with an earlier latest start.
func TestAttemptsAreOrderedBySlackWithinWorkspace(t *testing.T) {
	q := NewQueue()
	items := make([]Item, 100)
	for i := range items {
		items[i].LatestStart = start + clock.Instant(i*37%100)
		q.Push("w", 1, &items[i])
	}
	q.Remove(&items[50])
	last := clock.Instant(0)
	for item := q.Pop(); item != nil; item = q.Pop() {
		if item.LatestStart < last || item == &items[50] {
			t.Fatalf("served %v after %v", item.LatestStart, last)
		}
		last = item.LatestStart
	}
}

// TestRequeueKeepsFairShares guards against charging a workspace for an attempt for which
// there was no upstream.
func TestRequeueKeepsFairShares(t *testing.T) {
	q := NewQueue()
	for i := range 20 {
		q.Push("a", 1, &Item{Key: 0, LatestStart: start})
		q.Push("b", 1, &Item{Key: 1, LatestStart: start + clock.Instant(i)})
	}
	for range 10 {
		item := q.Pop()
		q.Requeue(item, []string{"a", "b"}[item.Key], 1)
	}
	served := [2]int{}
	for range 20 {
		served[q.Pop().Key]++
	}
	if served != [2]int{10, 10} {
		t.Errorf("served %v", served)
	}
}

// TestFullQueueAcceptsIdleWorkspace guards against a full queue that refuses a workspace
// without waiting attempts.
func TestFullQueueAcceptsIdleWorkspace(t *testing.T) {
	q := NewQueue()
	q.SoftLimit = 64
	accepted := 0
	for q.Accepts("flood", 1) && accepted < 1000 {
		q.Push("flood", 1, &Item{})
		accepted++
	}
	if accepted != q.SoftLimit {
		t.Errorf("%d waiting, soft limit %d", accepted, q.SoftLimit)
	}
	if !q.Accepts("other", 1) {
		t.Error("a workspace without waiting attempts is refused")
	}
}

// TestOverdueAttemptsAreRemoved guards against attempts that wait past their latest start.
func TestOverdueAttemptsAreRemoved(t *testing.T) {
	q := NewQueue()
	for i := range 10 {
		q.Push(fmt.Sprint("w", i%3), 1, &Item{LatestStart: start + clock.Instant(i)})
	}
	removed := 0
	for q.PopOverdue(start+5) != nil {
		removed++
	}
	if removed != 5 || q.Len() != 5 {
		t.Errorf("%d removed, %d left", removed, q.Len())
	}
}

// TestUsageIsBounded guards against state that grows with the number of workspaces,
// and against evicting one with requests in flight.
func TestUsageIsBounded(t *testing.T) {
	u := NewUsage()
	busy := u.Get(start, "busy", 1)
	u.RequestStarted(busy)
	for i := range 2 * maxWorkspaces {
		u.Get(start, fmt.Sprint("w", i), 1)
	}
	if u.Len() > maxWorkspaces {
		t.Errorf("%d entries", u.Len())
	}
	if u.Get(start, "busy", 1) != busy {
		t.Error("a workspace with a request in flight was evicted")
	}
	u.RequestEnded(start, busy)
	u.Expire(start.Add(idleTimeout))
	if u.Len() != 0 || u.activeWeight != 0 {
		t.Errorf("%d entries, weights %d after the idle timeout", u.Len(), u.activeWeight)
	}
}

// TestRequestsAheadCountsOvertaking guards against admitting requests of a workspace with
// a low weight that miss their deadline because others are served first, and against refusing
// a workspace that is alone.
func TestRequestsAheadCountsOvertaking(t *testing.T) {
	u := NewUsage()
	small, large := u.Get(start, "small", 1), u.Get(start, "large", 9)
	for range 10 {
		u.RequestStarted(small)
	}
	if got := u.RequestsAhead(small, 10); got != 10 {
		t.Errorf("%d ahead of the only workspace with 10 in flight", got)
	}
	for range 40 {
		u.RequestStarted(large)
	}
	if got := u.RequestsAhead(small, 50); got <= 50 {
		t.Errorf("%d ahead of the small workspace", got)
	}
	if got := u.RequestsAhead(large, 50); got > 50 {
		t.Errorf("%d ahead of the large workspace", got)
	}
}

// TestEstimateRecovers guards against an estimate that is too high and refuses every
// request from then on, since refused requests yield no samples.
func TestEstimateRecovers(t *testing.T) {
	r := NewRouteEstimate([][]string{{"a"}, {"b", "c"}})
	for range 500 {
		r.Record(1, "c", 10*time.Second)
	}
	if r.RemainingServiceTime(0) < 8*time.Second || r.RemainingServiceTime(2) != 0 {
		t.Fatalf("remaining %v", r.RemainingServiceTime(0))
	}
	now := start
	for i := 0; r.RemainingServiceTime(0) > time.Second; i++ {
		if i > 40 {
			t.Fatalf("remaining %v after %d probes", r.RemainingServiceTime(0), i)
		}
		now = now.Add(probeInterval)
		if !r.AllowProbe(now, 0) || r.AllowProbe(now+1, 0) {
			t.Fatal("want exactly one probe per interval")
		}
		r.Record(1, "c", 10*time.Millisecond)
	}
}

// TestPriorityFollowsSlack guards against inverted priorities at the engine.
func TestPriorityFollowsSlack(t *testing.T) {
	if Priority(-time.Second) != MaxPriority || Priority(time.Hour) != 0 || Priority(50*time.Millisecond) <= Priority(200*time.Millisecond) {
		t.Error("less slack does not yield a higher priority")
	}
}
