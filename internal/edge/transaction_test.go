package edge

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestStagePriority guards against stages without any order of precedence where all workspaces have
// one rank, which replaces those of the routes: under overload, urgent requests would be refused as
// often as the others.
func TestStagePriority(t *testing.T) {
	rank := func(workspace, route int) int {
		tx := &transaction{route: &catalog.Route{Priority: route}}
		if workspace >= 0 {
			tx.workspace = &catalog.Workspace{Priority: workspace, HasPriority: true}
		}
		return tx.stagePriority()
	}
	ordered := [][2]int{{0, 0}, {0, 1}, {0, 2}, {1, 0}, {1, 1}, {1, 9}, {2, 0}}
	for i := range ordered[1:] {
		if before, after := ordered[i], ordered[i+1]; rank(before[0], before[1]) >= rank(after[0], after[1]) {
			t.Errorf("workspace and route of ranks %v do not go before those of ranks %v", before, after)
		}
	}
	if rank(-1, 0) >= rank(-1, 1) || rank(-1, 1) >= rank(-1, 2) {
		t.Error("routes without a workspace are not ordered by their own rank")
	}
}

// TestRefusedCallerReturnsLate guards against callers with much time left that return into the
// burst in which they were refused, and are refused again.
func TestRefusedCallerReturnsLate(t *testing.T) {
	const now = clock.Instant(time.Hour)
	for _, left := range []time.Duration{2 * time.Second, 15 * time.Second} {
		tx := &transaction{s: &Server{now: func() clock.Instant { return now }}, deadline: now.Add(left)}
		for range 20 {
			delay := tx.admissionRetryDelay(100 * time.Millisecond)
			if delay < left/admissionRetryDivisor || delay < minAdmissionRetryDelay {
				t.Errorf("with %v left, the caller is told to return after %v", left, delay)
			}
		}
	}
}

// TestRefusedCallersReturnApart guards against callers that are refused at the same time, as while
// all VMs start, and return at the same time.
func TestRefusedCallersReturnApart(t *testing.T) {
	const usual = 2 * time.Second
	shortest, longest := time.Hour, time.Duration(0)
	for range 200 {
		delay := (&transaction{}).retryDelay(usual)
		shortest, longest = min(shortest, delay), max(longest, delay)
	}
	if shortest < usual/2 || longest > 3*usual/2 || longest-shortest < usual/2 {
		t.Errorf("delays from %v to %v for a usual one of %v", shortest, longest, usual)
	}
}
