package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

var (
	shared = PartOf("shared by the route")
	second = PartOf("second shared part")
	deadly = PartOf("deadly")
)

// crashes records n crashes of separate upstreams, one each interval, during requests with the parts, and
// returns the time after the last was confirmed.
func crashes(t *PartTable, from clock.Instant, n int, interval time.Duration, parts ...Part) clock.Instant {
	at := from
	for i := range n {
		at = from.Add(time.Duration(i) * interval)
		t.RecordCrash(at, fmt.Sprint("u", from, i), parts)
	}
	return at.Add(confirmDelay)
}

func expectBlocked(t *testing.T, table *PartTable, now clock.Instant, part Part, want bool) {
	t.Helper()
	if _, got := table.Check(now, []Part{part}); got != want {
		t.Errorf("part %x blocked: %v, expected %v", uint64(part), got, want)
	}
}

// TestPartThatCrashesUpstreamsIsBlocked guards against requests of which no two are alike, but which
// crash one upstream after the other by a part of the prompt that they have in common; and against
// refusing sound requests that share their other parts.
func TestPartThatCrashesUpstreamsIsBlocked(t *testing.T) {
	table := NewPartTable()
	table.RecordAnswer(start, []Part{shared, second})
	now := start
	for i := range blockAfterOccasions {
		now = now.Add(time.Second)
		table.RecordCrash(now, fmt.Sprint("u", i), []Part{shared, deadly, second})
		expectBlocked(t, table, now, deadly, false)
		if i%2 == 0 {
			table.RecordAnswer(now, []Part{shared, second})
		}
	}
	now = now.Add(confirmDelay)
	expectBlocked(t, table, now, deadly, true)
	expectBlocked(t, table, now, shared, false)
	expectBlocked(t, table, now, second, false)
	blocked := table.TakeNewlyBlocked()
	if len(blocked) != 1 || blocked[0].Part != deadly || len(blocked[0].Upstreams) != blockAfterOccasions {
		t.Errorf("newly blocked: %+v", blocked)
	}
}

// TestUnansweredPartIsBlockedFirst guards against refusing all requests of a route, since none was
// answered while upstreams crashed.
func TestUnansweredPartIsBlockedFirst(t *testing.T) {
	table := NewPartTable()
	table.RecordAnswer(start, []Part{shared})
	now := crashes(table, start.Add(time.Hour), 2*blockAnsweredAfterOccasions, time.Second, shared, deadly)
	expectBlocked(t, table, now, deadly, true)
	expectBlocked(t, table, now, shared, false)
}

// TestPartThatWasAnsweredBeforeIsBlocked guards against a part that crashes upstreams only after they
// were replaced.
func TestPartThatWasAnsweredBeforeIsBlocked(t *testing.T) {
	table := NewPartTable()
	table.RecordAnswer(start, []Part{deadly})
	now := crashes(table, start.Add(time.Second), blockAnsweredAfterOccasions-1, time.Second, deadly)
	expectBlocked(t, table, now, deadly, false)
	now = crashes(table, now.Add(time.Second), 1, 0, deadly)
	expectBlocked(t, table, now, deadly, true)
}

// TestFailureOfManyUpstreamsBlocksNoPart guards against refusing sound requests after a failure of many
// upstreams, whether it is noticed at once or bit by bit.
func TestFailureOfManyUpstreamsBlocksNoPart(t *testing.T) {
	for _, interval := range []time.Duration{time.Millisecond, occasionGap} {
		table := NewPartTable()
		for i := range 40 {
			table.RecordCrash(start.Add(time.Duration(i)*interval), fmt.Sprint("u", i), []Part{PartOf(fmt.Sprint("subject", i%12))})
		}
		now := start.Add(40*interval + confirmDelay)
		for i := range 12 {
			expectBlocked(t, table, now, PartOf(fmt.Sprint("subject", i)), false)
		}
	}
}

// TestRapidCrashesAreSeveralOccasions guards against a part that is never blocked in a large fleet,
// where upstreams crash so fast that there is no pause between two crashes.
func TestRapidCrashesAreSeveralOccasions(t *testing.T) {
	table := NewPartTable()
	now := crashes(table, start, 2*blockAfterOccasions, occasionGap/2, deadly)
	expectBlocked(t, table, now, deadly, true)
}

// TestConcurrentCrashesCount guards against a part that crashes many upstreams at a time, before there
// were enough separate occasions.
func TestConcurrentCrashesCount(t *testing.T) {
	table := NewPartTable()
	crashes(table, start, blockAfterCrashes-1, 0, deadly)
	now := start.Add(time.Second)
	expectBlocked(t, table, now, deadly, false)
	now = crashes(table, now, 1, 0, deadly)
	expectBlocked(t, table, now, deadly, true)
}

// TestCrashesOfOneStartCountOnce guards against blocking a part because several VMs noticed one crash.
func TestCrashesOfOneStartCountOnce(t *testing.T) {
	table := NewPartTable()
	for i := range 10 {
		table.RecordCrash(start.Add(time.Duration(i)*time.Second), "u", []Part{deadly})
	}
	expectBlocked(t, table, start.Add(time.Minute), deadly, false)
}

// TestAnswerEndsBlock guards against a sound part that remains blocked although a request with it, which
// was under way when it was blocked, was answered, also if another VM does not know yet.
func TestAnswerEndsBlock(t *testing.T) {
	table := NewPartTable()
	now := crashes(table, start, blockAfterOccasions, time.Second, deadly)
	expectBlocked(t, table, now, deadly, true)
	if cleared := table.RecordAnswer(now, []Part{deadly, second}); len(cleared) != 1 || cleared[0] != deadly {
		t.Errorf("cleared %v", cleared)
	}
	expectBlocked(t, table, now, deadly, false)
	table.Merge(now, BlockedPart{Part: deadly, Since: now, Until: now.Add(time.Minute)})
	expectBlocked(t, table, now, deadly, false)
}

// TestBlockEndsAndReturns guards against a part that stays blocked for ever after a mistake, and against
// one that crashes as many upstreams again after each block.
func TestBlockEndsAndReturns(t *testing.T) {
	table := NewPartTable()
	now := crashes(table, start, blockAfterOccasions, time.Second, deadly)
	expectBlocked(t, table, now, deadly, true)
	now = now.Add(firstBlockTime)
	expectBlocked(t, table, now, deadly, false)
	table.RecordCrash(now, "later", []Part{shared, deadly})
	expectBlocked(t, table, now, deadly, true)
	expectBlocked(t, table, now.Add(2*firstBlockTime-1), deadly, true)
	expectBlocked(t, table, now.Add(2*firstBlockTime), deadly, false)
	expectBlocked(t, table, now.Add(confirmDelay), shared, false)
}

// TestMergedBlocks guards against a VM that has just started and lets requests through that crash
// upstreams, although the other VMs know them.
func TestMergedBlocks(t *testing.T) {
	first, started := NewPartTable(), NewPartTable()
	now := crashes(first, start, blockAfterOccasions, time.Second, deadly)
	for _, b := range first.Blocked(now, 8) {
		started.Merge(now, b)
	}
	expectBlocked(t, started, now, deadly, true)
	expectBlocked(t, started, now.Add(firstBlockTime), deadly, false)
	if n := len(started.TakeNewlyBlocked()); n != 1 {
		t.Errorf("%d newly blocked parts, expected 1", n)
	}
}

// TestPartTableIsBounded guards against a flood of crashes or parts that exhausts memory.
func TestPartTableIsBounded(t *testing.T) {
	table := NewPartTable()
	for i := range 10 * maxIncidents {
		var parts []Part
		for j := range 2 * maxIncidentParts {
			parts = append(parts, Part(i*1000+j))
		}
		table.RecordCrash(start, fmt.Sprint("u", i), parts)
		table.RecordAnswer(start, parts[:10])
	}
	for i := range 2 * maxBlockedParts {
		table.Merge(start, BlockedPart{Part: Part(i), Since: start, Until: start.Add(time.Hour)})
	}
	if len(table.incidents) > maxIncidents || len(table.incidents[0].parts) > maxIncidentParts || len(table.blocked) > maxBlockedParts ||
		len(table.answered.current) > maxGenerationParts {
		t.Errorf("%d incidents, %d blocked parts", len(table.incidents), len(table.blocked))
	}
}
