package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// crashRequest records n crashes of separate starts of one upstream, one each second, while it runs a
// request, and returns the time after the last was confirmed.
func crashRequest(t *RequestTable, from clock.Instant, n int, request Part) clock.Instant {
	at := from
	for i := range n {
		at = from.Add(time.Duration(i) * time.Second)
		t.RecordCrash(at, fmt.Sprint("u/", from, i), request)
	}
	return at.Add(confirmDelay)
}

func expectRequestBlocked(t *testing.T, table *RequestTable, now clock.Instant, request Part, want bool) {
	t.Helper()
	if got := table.Check(now, request); got != want {
		t.Errorf("request %x blocked: %v, expected %v", uint64(request), got, want)
	}
}

// TestThreeCrashesBlockRequest guards against a request that crashes upstreams and is sent on, also if it is
// the same upstream under the same ID each time, and against refusing it for ever.
func TestThreeCrashesBlockRequest(t *testing.T) {
	table := NewRequestTable()
	now := crashRequest(table, start, 2, deadlyKey)
	expectRequestBlocked(t, table, now, deadlyKey, false)
	now = crashRequest(table, now, 1, deadlyKey)
	expectRequestBlocked(t, table, now, deadlyKey, true)
	if blocked := table.TakeNewlyBlocked(); len(blocked) != 1 || len(blocked[0].Upstreams) != 3 {
		t.Errorf("newly blocked: %+v", blocked)
	}
	now = now.Add(firstBlockTime)
	expectRequestBlocked(t, table, now, deadlyKey, false)
	table.RecordCrash(now, "later", deadlyKey)
	expectRequestBlocked(t, table, now, deadlyKey, true)
}

// TestReportsOfOneCrashCountOnce guards against a request that is blocked since several VMs report a crash.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	table := NewRequestTable()
	for i := range 10 {
		table.RecordCrash(start.Add(time.Duration(i)*time.Second), "u/1", deadlyKey)
	}
	expectRequestBlocked(t, table, start.Add(time.Minute/2), deadlyKey, false)
}

// TestAnswerClearsRequest guards against a sound request that stays under suspicion or blocked after an
// answer here or at another VM.
func TestAnswerClearsRequest(t *testing.T) {
	for name, clear := range map[string]func(table *RequestTable, now clock.Instant){
		"here": func(table *RequestTable, now clock.Instant) {
			if !table.RecordAnswer(now, identicalKey) {
				t.Error("the other VMs are not told of the answer")
			}
		},
		"at another VM": func(table *RequestTable, now clock.Instant) { table.RecordClear(now, identicalKey) },
	} {
		t.Run(name, func(t *testing.T) {
			table := NewRequestTable()
			now := crashRequest(table, start, 2, identicalKey)
			clear(table, now)
			now = crashRequest(table, now, 3, identicalKey)
			expectRequestBlocked(t, table, now, identicalKey, false)
			now = crashRequest(table, now, 1, identicalKey)
			expectRequestBlocked(t, table, now, identicalKey, true)
			clear(table, now)
			expectRequestBlocked(t, table, now, identicalKey, false)
			if table.RecordAnswer(now, identicalKey) {
				t.Error("the other VMs are told of an answer that changes nothing")
			}
		})
	}
}

// TestReportsDoNotOutweighAnswers guards against a VM that refuses a request which it gets answered all the
// time, since another VM that is cut off from upstreams reports crashes.
func TestReportsDoNotOutweighAnswers(t *testing.T) {
	table := NewRequestTable()
	now := start
	for range frequentAnswers {
		now = now.Add(500 * time.Millisecond)
		table.RecordAnswer(now, identicalKey)
	}
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		if i%5 == 0 {
			table.RecordAnswer(now, identicalKey)
		}
		table.RecordCrash(now, fmt.Sprint("u", i), identicalKey)
		expectRequestBlocked(t, table, now.Add(confirmDelay), identicalKey, false)
	}
	block := Block{Parts: []Part{identicalKey}, FirstCrash: now.Add(-10 * time.Second), Until: now.Add(time.Minute)}
	if !table.Merge(now, block) {
		t.Error("the other VM does not learn of the answers")
	}
	expectRequestBlocked(t, table, now, identicalKey, false)
}

// TestCrashOfManyRequests guards against blocking all requests of an engine that crashed three times, and
// against a request that is not blocked since others were in flight at its crashes.
func TestCrashOfManyRequests(t *testing.T) {
	table := NewRequestTable()
	for i := range 3 {
		at := start.Add(time.Duration(i) * time.Second)
		for j := range 60 {
			table.RecordCrash(at, fmt.Sprint("u", i), requestKey(1000*i+j))
		}
		table.RecordCrash(at, fmt.Sprint("u", i), deadlyKey)
	}
	now := start.Add(2 * time.Second).Add(confirmDelay)
	expectRequestBlocked(t, table, now, deadlyKey, true)
	for i := range 3 {
		for j := range 60 {
			expectRequestBlocked(t, table, now, requestKey(1000*i+j), false)
		}
	}
	table = NewRequestTable()
	for i := range 3 {
		for j := range 2 * maxRequestCandidates {
			table.RecordCrash(start.Add(time.Duration(i)*time.Second), fmt.Sprint("u", i), requestKey(j))
		}
	}
	for j := range 2 * maxRequestCandidates {
		expectRequestBlocked(t, table, now, requestKey(j), false)
	}
}

// TestMergedRequestBlock guards against a VM that has just started and lets a request through that the other
// VMs know to crash upstreams, and against blocks of other things than one request.
func TestMergedRequestBlock(t *testing.T) {
	first, started := NewRequestTable(), NewRequestTable()
	now := crashRequest(first, start, 3, deadlyKey)
	for _, b := range first.Blocks(now, 8) {
		started.Merge(now, b)
	}
	expectRequestBlocked(t, started, now, deadlyKey, true)
	for _, parts := range [][]Part{nil, {0}, {identicalKey, deadlyKey}} {
		started.Merge(now, Block{Parts: parts, FirstCrash: now, Until: now.Add(time.Minute)})
	}
	expectRequestBlocked(t, started, now, identicalKey, false)
	if n := len(started.Blocks(now, 8)); n != 1 {
		t.Errorf("%d blocks, expected 1", n)
	}
}

// TestRequestTableIsBounded guards against a flood of crashes, answers or blocks that exhausts memory.
func TestRequestTableIsBounded(t *testing.T) {
	table := NewRequestTable()
	n := 0
	for i := range 2 * maxIncidents {
		for range 2 * maxIncidentRequests {
			n++
			table.RecordCrash(start, fmt.Sprint("u", i), requestKey(n))
		}
	}
	for i := range 4 * maxGenerationParts {
		table.RecordAnswer(start, requestKey(-3-i))
		table.Merge(start, Block{Parts: []Part{requestKey(n + i)}, FirstCrash: start, Until: start.Add(time.Hour)})
	}
	if len(table.suspects) > maxSuspects || len(table.table.incidents) > maxIncidents || len(table.table.incidents[0].prompts) > maxIncidentRequests ||
		len(table.table.blocks) > maxBlocks || len(table.table.answered.current) > maxGenerationParts {
		t.Errorf("%d suspects, %d incidents, %d blocks", len(table.suspects), len(table.table.incidents), len(table.table.blocks))
	}
}

// BenchmarkMassCrash measures the decision after a crash of as many requests as the table holds.
func BenchmarkMassCrash(b *testing.B) {
	for range b.N {
		b.StopTimer()
		table := NewRequestTable()
		for i := range maxIncidents * maxIncidentRequests {
			table.RecordCrash(start.Add(time.Duration(i)*time.Microsecond), fmt.Sprint("u", i/maxIncidentRequests), requestKey(i))
		}
		b.StartTimer()
		table.Check(start.Add(time.Second), requestKey(0))
	}
}

// BenchmarkCalmRequest measures what a request costs while no upstream crashes.
func BenchmarkCalmRequest(b *testing.B) {
	table := NewRequestTable()
	crashRequest(table, start, 3, deadlyKey)
	b.ReportAllocs()
	for i := range b.N {
		key := requestKey(i % 100)
		if table.Check(start, key) || table.RecordAnswer(start, key) {
			b.Fatal("a sound request is under suspicion")
		}
	}
}
