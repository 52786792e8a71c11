package stagepool

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// newBlockedPool returns a pool of the upstreams a and b, and the time from which it is used.
func newBlockedPool() (*Pool, clock.Instant) {
	now := clock.Instant(time.Hour)
	p := New(now)
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 100 * time.Millisecond, ResultTTL: time.Second}
	p.Configure(now, batch, []Upstream{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}})
	return p, now
}

// blockedJob returns a job of one piece that is due at due and ends at deadline.
func blockedJob(request string, due, deadline clock.Instant) Job {
	return Job{Request: request, Pieces: 1, Due: due, Deadline: deadline}
}

// TestBlockedUpstreamGetsNoCalls guards against calls to an upstream before its block ends, while
// its pool goes on with the others.
func TestBlockedUpstreamGetsNoCalls(t *testing.T) {
	p, now := newBlockedPool()
	p.SetBlocks(map[string]clock.Instant{"a": now.Add(time.Second)})
	for _, request := range []string{"1", "2"} {
		p.Submit(now, blockedJob(request, now.Add(5*time.Second), now.Add(5*time.Second)))
		for _, call := range p.Dispatch(now) {
			if call.Upstream != "b" {
				t.Errorf("call to the blocked upstream")
			}
			p.FinishCall(now, "b", call.ID, CallAnswered, []PieceResult{{Handle: "b/" + request}}, nil)
		}
		if outcomes := p.Outcomes(); len(outcomes) != 1 || outcomes[0].Refusal != NoRefusal {
			t.Errorf("job %s: outcomes %+v", request, outcomes)
		}
	}
	p.SetBlocks(map[string]clock.Instant{"a": now.Add(time.Second), "b": NoEnd})
	if next, _ := p.NextDispatch(now); next > now.Add(time.Second) {
		t.Errorf("next dispatch after the end of the block")
	}
	if _, until, refusal := p.Submit(now, blockedJob("3", now.Add(5*time.Second), now.Add(5*time.Second))); refusal != Paused || until != now.Add(time.Second) {
		t.Errorf("refusal %d until %d", refusal, until)
	}
	later := now.Add(time.Second)
	p.Submit(later, blockedJob("4", later.Add(time.Second), later.Add(time.Second)))
	if calls := p.Dispatch(later); len(calls) != 1 || calls[0].Upstream != "a" {
		t.Errorf("calls %+v after the end of the block", calls)
	}
}

// TestPauseIsNoFailure guards against a backoff of an upstream that asked for no traffic.
func TestPauseIsNoFailure(t *testing.T) {
	p, now := newBlockedPool()
	p.SetBlocks(map[string]clock.Instant{"b": NoEnd})
	p.Submit(now, blockedJob("1", now.Add(time.Second), now.Add(time.Second)))
	calls := p.Dispatch(now)
	p.FinishCall(now, "a", calls[0].ID, CallPaused, nil, nil)
	if calls := p.Dispatch(now); len(calls) != 1 || calls[0].Upstream != "a" || p.upstreams["a"].failures != 0 {
		t.Errorf("calls %+v after a pause of no length", calls)
	}
}

// TestWithheldCallIsNoAttempt guards against a job that fails, or an upstream that counts as failing,
// after calls which were never sent.
func TestWithheldCallIsNoAttempt(t *testing.T) {
	p, now := newBlockedPool()
	p.SetBlocks(map[string]clock.Instant{"b": NoEnd})
	p.Submit(now, blockedJob("1", now.Add(time.Second), now.Add(time.Second)))
	for range 2 * maxAttempts {
		calls := p.Dispatch(now)
		if len(calls) != 1 || calls[0].Upstream != "a" {
			t.Fatalf("calls %+v after withheld ones, outcomes %+v", calls, p.Outcomes())
		}
		p.FinishCall(now, "a", calls[0].ID, CallWithheld, nil, nil)
	}
	if p.upstreams["a"].failures != 0 {
		t.Errorf("%d failures of the upstream", p.upstreams["a"].failures)
	}
}

// TestPausedPool guards against jobs that wait for a pool which cannot run them in time, and against
// the loss of earlier stages' work if it still can.
func TestPausedPool(t *testing.T) {
	p, now := newBlockedPool()
	p.Submit(now, blockedJob("waits", now.Add(time.Second), now.Add(time.Second)))
	p.Submit(now, blockedJob("runs later", now.Add(5*time.Second), now.Add(5*time.Second)))
	p.Reserve(now, Reservation{StageID: StageID{Request: "reserved"}, Pieces: 1, Arrives: now, Due: now.Add(5 * time.Second)})
	p.Reserve(now, Reservation{StageID: StageID{Request: "too late"}, Pieces: 1, Arrives: now, Due: now.Add(time.Second)})
	p.SetBlocks(map[string]clock.Instant{"a": now.Add(2 * time.Second), "b": now.Add(3 * time.Second)})
	if calls := p.Dispatch(now); len(calls) > 0 {
		t.Fatalf("calls %+v to paused upstreams", calls)
	}
	if outcomes := p.Outcomes(); len(outcomes) != 1 || outcomes[0].Refusal != Paused {
		t.Errorf("outcomes %+v", outcomes)
	}
	if _, _, refusal := p.Submit(now, blockedJob("reserved", now.Add(5*time.Second), now.Add(5*time.Second))); refusal != NoRefusal {
		t.Errorf("refusal %d of a reserved job that can be on time", refusal)
	}
	if _, _, refusal := p.Submit(now, blockedJob("too late", now.Add(time.Second), now.Add(5*time.Second))); refusal != Paused {
		t.Errorf("refusal %d of a reserved job that cannot be on time", refusal)
	}
}

// TestAllBlockedWithoutEnd guards against jobs that wait for upstreams which get no work any more.
func TestAllBlockedWithoutEnd(t *testing.T) {
	p, now := newBlockedPool()
	p.SetBlocks(map[string]clock.Instant{"a": NoEnd, "b": NoEnd})
	if _, _, refusal := p.Submit(now, blockedJob("1", now.Add(time.Second), now.Add(time.Second))); refusal != NoUpstream {
		t.Errorf("refusal %d", refusal)
	}
}
