package stagepool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// pipeline replays requests that pass several pools in sequence.
type pipeline struct {
	*eventLoop
	pools []*simulation
	// useReservations is set if requests reserve capacity in all pools on arrival.
	useReservations bool
	onTime          int
	refused         int
	// dropped counts the requests that failed after a pool had done work for them.
	dropped int
}

const (
	pipelinePieces    = 5
	pipelineObjective = 2 * time.Second
)

// newPipeline returns three pools. The last one has the given number of upstreams, the others
// have five.
func newPipeline(t *testing.T, lastUpstreams int) *pipeline {
	p := &pipeline{eventLoop: &eventLoop{}}
	for _, n := range []int{5, 5, lastUpstreams} {
		batch := catalog.Batch{
			Concurrency: 1, MaxPieces: 20, CallTime: 240 * time.Millisecond, PieceTime: 10 * time.Millisecond,
			ResultTTL: 4 * time.Second, ResultMemoryBytes: 60,
		}
		s := newSimulationOn(t, p.eventLoop, batch, zoneNames(n)...)
		var states []UpstreamState
		for id := range s.zones {
			states = append(states, UpstreamState{ID: id, Slowness: 1})
		}
		s.pool.TakeOver(0, states)
		p.pools = append(p.pools, s)
	}
	return p
}

// arrive admits a request, or refuses it.
func (p *pipeline) arrive(request string) {
	arrived := p.now
	due := func(level int) clock.Instant {
		return arrived.Add(pipelineObjective - time.Duration(len(p.pools)-1-level)*440*time.Millisecond)
	}
	if p.useReservations {
		start := p.now
		for level, pool := range p.pools {
			start = pool.pool.Reserve(p.now, Reservation{
				StageID: StageID{Request: request, Stage: level}, Pieces: pipelinePieces, ResultBytes: 1, Arrives: start, Due: due(level),
			})
		}
		if start.After(due(len(p.pools) - 1)) {
			p.refused++
			for level, pool := range p.pools {
				pool.pool.CancelReservation(StageID{Request: request, Stage: level})
			}
			return
		}
	}
	p.startStage(request, 0, due, func() {})
}

// startStage runs the stage at one level and then those after it; release releases the results
// of the preceding level.
func (p *pipeline) startStage(request string, level int, due func(int) clock.Instant, release func()) {
	if level == len(p.pools) {
		p.after(100*time.Millisecond, release)
		if !p.now.After(due(level - 1)) {
			p.onTime++
		}
		return
	}
	s := p.pools[level]
	id, ok := s.submit(Job{
		Request: request, Stage: level, Pieces: pipelinePieces, ResultBytes: 1, Due: due(level), Deadline: due(level).Add(time.Second),
	})
	end := func(o JobOutcome) {
		release()
		if o.Refusal != NoRefusal {
			p.dropped++
			return
		}
		p.startStage(request, level+1, due, func() { s.pool.Release(o.Handles); s.dispatch() })
	}
	if !ok {
		end(JobOutcome{Refusal: Overloaded})
		return
	}
	previous := s.onJobEnd
	s.onJobEnd = func(job JobID, o JobOutcome) {
		if job == id {
			end(o)
		} else if previous != nil {
			previous(job, o)
		}
	}
}

// TestRequestsAreRefusedOnArrival replays twice the capacity of the last of three pools for ten
// seconds. It guards against requests that the last pool refuses after the others did work for
// them, and against all requests being late because of such wasted work.
func TestRequestsAreRefusedOnArrival(t *testing.T) {
	const lastUpstreams, length = 2, 10 * time.Second
	capacity := float64(lastUpstreams) * 20 / 0.44 / pipelinePieces * length.Seconds()
	replay := func(useReservations bool) *pipeline {
		p := newPipeline(t, lastUpstreams)
		p.useReservations = useReservations
		r := rand.New(rand.NewPCG(4, 1))
		at := time.Duration(0)
		for i := 0; at < length; i++ {
			p.after(at, func() { p.arrive(string(rune(i))) })
			at += time.Duration(r.ExpFloat64() / (2 * capacity / length.Seconds()) * float64(time.Second))
		}
		p.run(length + 10*time.Second)
		return p
	}
	with, without := replay(true), replay(false)
	t.Logf("capacity %.0f; with reservations %d on time, %d refused, %d dropped; without %d, %d, %d",
		capacity, with.onTime, with.refused, with.dropped, without.onTime, without.refused, without.dropped)
	if minimum := 0.8 * capacity; float64(with.onTime) < minimum {
		t.Errorf("%d requests on time, expected at least %.0f", with.onTime, minimum)
	}
	if maximum := 0.05 * capacity; float64(with.dropped) > maximum {
		t.Errorf("%d requests dropped after work was done for them, expected at most %.0f", with.dropped, maximum)
	}
}
