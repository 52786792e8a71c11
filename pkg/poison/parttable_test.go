package poison

import (
	"fmt"
	"slices"
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
	if got := table.Check(now, []Part{part}) != nil; got != want {
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
	if len(blocked) != 1 || !slices.Equal(blocked[0].Parts, []Part{deadly}) || len(blocked[0].Upstreams) != blockAfterOccasions {
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
	table.Merge(now, Block{Parts: []Part{deadly}, FirstCrash: now, Until: now.Add(time.Minute)})
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
	for _, b := range first.Blocks(now, 8) {
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
		for j := range 2 * maxIncidentPrompts {
			parts = append(parts, Part(i*1000+j))
		}
		table.RecordCrash(start, fmt.Sprint("u", i), parts)
		table.RecordAnswer(start, parts[:10])
	}
	for i := range 2 * maxBlocks {
		table.Merge(start, Block{Parts: []Part{Part(i)}, FirstCrash: start, Until: start.Add(time.Hour)})
	}
	if len(table.incidents) > maxIncidents || len(table.incidents[0].prompts) > maxIncidentPrompts || len(table.blocks) > maxBlocks ||
		len(table.answered.current) > maxGenerationParts {
		t.Errorf("%d incidents, %d blocks", len(table.incidents), len(table.blocks))
	}
}

// TestPartsThatComeTogether guards against refusing sound requests that share a part with the requests
// that crash upstreams, and against letting these through as soon as they come without that part.
func TestPartsThatComeTogether(t *testing.T) {
	table := NewPartTable()
	now := crashes(table, start, blockAfterOccasions, time.Second, deadly, second)
	if table.Check(now, []Part{shared, deadly, second}) == nil {
		t.Error("a request with both parts is let through")
	}
	expectBlocked(t, table, now, second, false)
	now = crashes(table, now, blockAloneAfterOccasions, time.Second, deadly, shared)
	expectBlocked(t, table, now, deadly, true)
	expectBlocked(t, table, now, second, false)
	expectBlocked(t, table, now, shared, false)
}

// TestAnswerNarrowsBlock guards against a deadly part that is let through when it comes without a part
// that has proved to be sound.
func TestAnswerNarrowsBlock(t *testing.T) {
	table := NewPartTable()
	now := crashes(table, start, blockAfterOccasions, time.Second, deadly, second)
	expectBlocked(t, table, now, deadly, false)
	table.RecordAnswer(now, []Part{second})
	expectBlocked(t, table, now, deadly, true)
	expectBlocked(t, table, now, second, false)
}

// TestTwoDeadlyParts guards against a block that matches no request since its parts never come together.
func TestTwoDeadlyParts(t *testing.T) {
	table := NewPartTable()
	for i := range blockAfterOccasions {
		at := start.Add(time.Duration(i) * time.Second)
		table.RecordCrash(at, fmt.Sprint("u", i), []Part{deadly, shared})
		table.RecordCrash(at.Add(occasionGap), fmt.Sprint("v", i), []Part{second, shared})
		table.RecordAnswer(at.Add(2*occasionGap), []Part{shared})
	}
	now := start.Add(time.Minute)
	expectBlocked(t, table, now, deadly, true)
	expectBlocked(t, table, now, second, true)
	expectBlocked(t, table, now, shared, false)
}

// TestRequestsAtTheSameUpstreams guards against a block of parts of different requests that crashed at
// the same upstreams, which would match neither.
func TestRequestsAtTheSameUpstreams(t *testing.T) {
	table := NewPartTable()
	for i := range blockAfterOccasions {
		at := start.Add(time.Duration(i) * time.Second)
		table.RecordCrash(at, fmt.Sprint("u", i), []Part{deadly, shared})
		table.RecordCrash(at, fmt.Sprint("u", i), []Part{second})
	}
	now := start.Add(time.Minute)
	table.RecordAnswer(now, []Part{shared, second})
	expectBlocked(t, table, now, deadly, true)
	expectBlocked(t, table, now, second, false)
}

// TestBlockOfCutOffVMIsRefuted guards against a VM without any link to upstreams and to other VMs, which
// blocks the part that all requests of a route share, and then makes the whole fleet refuse them.
func TestBlockOfCutOffVMIsRefuted(t *testing.T) {
	cutOff, other := NewPartTable(), NewPartTable()
	cutOff.RecordAnswer(start, []Part{shared})
	now := crashes(cutOff, start.Add(time.Second), blockAnsweredAfterOccasions, time.Second, shared)
	expectBlocked(t, cutOff, now, shared, true)
	other.RecordAnswer(now.Add(-time.Second), []Part{shared})
	for _, b := range cutOff.Blocks(now, 8) {
		if len(other.Merge(now, b)) != 1 {
			t.Error("the cut-off VM does not learn of the answer")
		}
	}
	expectBlocked(t, other, now, shared, false)
}

// TestOldAnswerDoesNotRefuteBlock guards against a part that is unblocked since it was answered before it
// began to crash upstreams.
func TestOldAnswerDoesNotRefuteBlock(t *testing.T) {
	first, other := NewPartTable(), NewPartTable()
	other.RecordAnswer(start, []Part{deadly})
	now := crashes(first, start.Add(clearPrecedence), blockAfterOccasions, time.Second, deadly)
	for _, b := range first.Blocks(now, 8) {
		if other.Merge(now, b) != nil {
			t.Error("an answer before the first crash refutes the block")
		}
	}
	expectBlocked(t, other, now, deadly, true)
}

// TestExchangedBlockEnds guards against a block that VMs prolong for each other by the time that their
// messages take, so that it ends late or never.
func TestExchangedBlockEnds(t *testing.T) {
	const delay, interval = 50 * time.Millisecond, 100 * time.Millisecond
	tables := []*PartTable{NewPartTable(), NewPartTable()}
	now := crashes(tables[0], start, blockAfterOccasions, time.Second, deadly)
	expectBlocked(t, tables[0], now, deadly, true)
	end := now.Add(firstBlockTime + interval)
	for i := 0; now < end; i++ {
		for _, b := range tables[i%2].Blocks(now, 8) {
			b.Until = b.Until.Add(delay)
			tables[1-i%2].Merge(now.Add(delay), b)
		}
		now = now.Add(interval)
	}
	for _, table := range tables {
		expectBlocked(t, table, now, deadly, false)
	}
}

// TestBlockFromTheFutureIsRefuted guards against a malformed message that blocks a part again after each
// answer, or for longer than a block lasts.
func TestBlockFromTheFutureIsRefuted(t *testing.T) {
	table := NewPartTable()
	table.RecordAnswer(start, []Part{shared})
	malformed := Block{Parts: []Part{shared}, FirstCrash: start.Add(time.Hour), Until: start.Add(1000 * time.Hour), Blocks: 1 << 40}
	table.Merge(start.Add(time.Second), malformed)
	expectBlocked(t, table, start.Add(time.Second), shared, false)
	now := start.Add(time.Minute)
	table.Merge(now, malformed)
	expectBlocked(t, table, now, shared, true)
	expectBlocked(t, table, now.Add(maxBlockTime), shared, false)
	table.RecordCrash(now.Add(maxBlockTime), "u", []Part{shared})
	expectBlocked(t, table, now.Add(2*maxBlockTime-1), shared, true)
	expectBlocked(t, table, now.Add(2*maxBlockTime), shared, false)
}

// TestCrashesCountAfterWrongBlock guards against a part that crashes as many upstreams again, since its
// crashes were first put down to a part that was answered later.
func TestCrashesCountAfterWrongBlock(t *testing.T) {
	table := NewPartTable()
	now := crashes(table, start, blockAfterOccasions, time.Second, shared, deadly)
	now = crashes(table, now, 1, 0, shared)
	expectBlocked(t, table, now, shared, true)
	expectBlocked(t, table, now, deadly, false)
	table.RecordAnswer(now, []Part{shared})
	expectBlocked(t, table, now, shared, false)
	expectBlocked(t, table, now, deadly, true)
}

// TestMergedBlockExplainsCrashes guards against a sound part that is blocked for crashes by a part that
// another VM has found.
func TestMergedBlockExplainsCrashes(t *testing.T) {
	table := NewPartTable()
	now := crashes(table, start, blockAfterOccasions, time.Second, second, deadly).Add(-confirmDelay)
	table.Merge(now, Block{Parts: []Part{deadly}, FirstCrash: start, Until: now.Add(maxBlockTime), Blocks: maxBlockDoublings})
	now = now.Add(confirmDelay)
	expectBlocked(t, table, now, second, false)
	expectBlocked(t, table, now.Add(2*firstBlockTime), deadly, true)
}

// TestBlockOfAnsweredPartStaysShort guards against refusing all requests of a route for half an hour after
// its upstreams have crashed for some time for a reason that has nothing to do with the requests.
func TestBlockOfAnsweredPartStaysShort(t *testing.T) {
	table := NewPartTable()
	table.RecordAnswer(start, []Part{shared})
	now := crashes(table, start.Add(time.Second), blockAnsweredAfterOccasions, time.Second, shared)
	expectBlocked(t, table, now, shared, true)
	for i := range 5 {
		now = now.Add(firstBlockTime)
		expectBlocked(t, table, now, shared, false)
		table.RecordCrash(now, fmt.Sprint("later", i), []Part{shared})
		expectBlocked(t, table, now, shared, true)
	}
}
