package stagepool

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// newMarginPool returns a pool with one upstream whose memory holds 61 results, and 20 jobs of four
// pieces each that wait.
func newMarginPool(now clock.Instant) *Pool {
	p := New(0)
	p.Configure(0, catalog.Batch{
		Concurrency: 1, MaxPieces: 34, CallTime: 240 * time.Millisecond, PieceTime: 6 * time.Millisecond, ResultMemoryBytes: 61, ResultTTL: 4 * time.Second,
	}, []Upstream{{ID: "u"}})
	p.TakeOver(0, []UpstreamState{{ID: "u", Slowness: 1}})
	for i := range 20 {
		p.Submit(now, Job{Request: fmt.Sprint("r", i), Pieces: 4, ResultBytes: 1, Due: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
	}
	return p
}

// runCall runs the next call to its end and returns its number of pieces. The first missing pieces find
// no memory.
func runCall(t *testing.T, p *Pool, now clock.Instant, missing int) int {
	t.Helper()
	calls := p.Dispatch(now)
	if len(calls) != 1 {
		t.Fatalf("%d calls, expected one", len(calls))
	}
	var results []PieceResult
	for i := range calls[0].Pieces {
		result := PieceResult{Outcome: PieceSucceeded, Handle: fmt.Sprint(calls[0].ID, "-", i)}
		if i < missing {
			result = PieceResult{Outcome: PieceOutOfMemory}
		}
		results = append(results, result)
	}
	p.FinishCall(now.Add(450*time.Millisecond), "u", calls[0].ID, CallAnswered, results, nil)
	return len(calls[0].Pieces)
}

// TestSecondCallUsesTheMemory guards against calls of three quarters of their size because a margin of the
// memory stays unused although no result ever lacked memory.
func TestSecondCallUsesTheMemory(t *testing.T) {
	now := clock.Instant(time.Minute)
	p := newMarginPool(now)
	first := runCall(t, p, now, 0)
	second := runCall(t, p, now.Add(500*time.Millisecond), 0)
	if first != 32 || second != 28 {
		t.Errorf("calls of %d and %d pieces, expected 32 and 28", first, second)
	}
}

// TestMarginAfterLackOfMemory guards against filling the memory to the last result after some found none,
// which shows that the sizes of results are not what the configuration says.
func TestMarginAfterLackOfMemory(t *testing.T) {
	now := clock.Instant(time.Minute)
	p := newMarginPool(now)
	runCall(t, p, now, 1)
	if got, want := p.usableMemory(now.Add(time.Second)), int64(57); got != want {
		t.Errorf("%d results are planned for after one lacked memory, expected %d", got, want)
	}
	if got, want := p.usableMemory(now.Add(time.Minute)), int64(60); got != want {
		t.Errorf("%d results are planned for a minute later, expected %d", got, want)
	}
}

// TestLimitedCallFreesInputsEarly guards against results that stay until the next stage has ended while
// calls of their pool are smaller than they could be for lack of memory.
func TestLimitedCallFreesInputsEarly(t *testing.T) {
	now := clock.Instant(time.Minute)
	p := newMarginPool(now)
	runCall(t, p, now, 0)
	p.Dispatch(now.Add(500 * time.Millisecond))
	if !p.isMemoryShort(now.Add(time.Second)) {
		t.Error("the pool does not count as short of memory although it left waiting pieces out of a call")
	}
	if p.isMemoryBound(now.Add(510 * time.Millisecond)) {
		t.Error("the pool counts as bound by memory although its upstream has a call")
	}
}
