package retry

import (
	"testing"
	"time"
)

// TestBudgetBoundsAmplification guards against retries that exceed a tenth of the
// first attempts, including right after the start.
func TestBudgetBoundsAmplification(t *testing.T) {
	var b Budget
	first, extra := 0, 0
	for range 10_000 {
		b.Deposit()
		first++
		for b.TryWithdraw() {
			extra++
		}
		if 10*extra > first {
			t.Fatalf("%d retries after %d first attempts", extra, first)
		}
	}
	if extra != 1000 {
		t.Errorf("%d retries for 10,000 attempts, want 1,000", extra)
	}
}

// TestHedgeRequiresBudgetAndTime guards against hedges without budget and hedges that
// cannot finish before the deadline.
func TestHedgeRequiresBudgetAndTime(t *testing.T) {
	var b Budget
	if _, ok := HedgeDelay(time.Second, time.Second, time.Minute, &b); ok {
		t.Error("hedge without budget")
	}
	for range 10 {
		b.Deposit()
	}
	if delay, ok := HedgeDelay(time.Second, time.Second, 2*time.Second, &b); !ok || delay != time.Second {
		t.Errorf("hedge after %v, %v", delay, ok)
	}
	if _, ok := HedgeDelay(time.Second, time.Second, 2*time.Second-1, &b); ok {
		t.Error("hedge that cannot finish in time")
	}
}
