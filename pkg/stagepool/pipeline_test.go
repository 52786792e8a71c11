package stagepool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// pipeline replays requests that pass several pools one after the other.
type pipeline struct {
	*world
	pools []*simulation
	// reserves is set if requests ask all pools at their arrival.
	reserves bool
	onTime   int
	refused  int
	// dropped counts the requests that ended after a pool had worked for them.
	dropped int
}

const (
	pipelinePieces    = 5
	pipelineObjective = 2 * time.Second
)

// newPipeline returns three pools of which the last has the given number of upstreams, and
// the others five.
func newPipeline(t *testing.T, last int) *pipeline {
	p := &pipeline{world: &world{}}
	for _, n := range []int{5, 5, last} {
		batch := catalog.Batch{
			Concurrency: 1, MaxPieces: 20, CallTime: 240 * time.Millisecond, PieceTime: 10 * time.Millisecond,
			ResultTTL: 4 * time.Second, ResultMemoryBytes: 60,
		}
		s := newSimulationIn(t, p.world, batch, zones(n)...)
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
	if p.reserves {
		begin := p.now
		for level, pool := range p.pools {
			begin = pool.pool.Reserve(p.now, Reservation{
				StageID: StageID{Request: request, Stage: level}, Pieces: pipelinePieces, ResultBytes: 1, Arrives: begin, Due: due(level),
			})
		}
		if begin.After(due(len(p.pools) - 1)) {
			p.refused++
			for level, pool := range p.pools {
				pool.pool.Unreserve(StageID{Request: request, Stage: level})
			}
			return
		}
	}
	p.stage(request, 0, due, func() {})
}

// stage runs one level and those after it; release frees the results of the level before.
func (p *pipeline) stage(request string, level int, due func(int) clock.Instant, release func()) {
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
		p.stage(request, level+1, due, func() { s.pool.Release(o.Handles); s.drive() })
	}
	if !ok {
		end(JobOutcome{Refusal: Overloaded})
		return
	}
	waiting := s.ended
	s.ended = func(job JobID, o JobOutcome) {
		if job == id {
			end(o)
		} else if waiting != nil {
			waiting(job, o)
		}
	}
}

// TestRequestsAreRefusedAtTheirArrival replays twice the load that the last of three pools can
// bear, for ten seconds. It guards against requests that the last pool refuses after the others
// worked for them, and against all requests being late by the time that such work takes.
func TestRequestsAreRefusedAtTheirArrival(t *testing.T) {
	const lastUpstreams, length = 2, 10 * time.Second
	capacity := float64(lastUpstreams) * 20 / 0.44 / pipelinePieces * length.Seconds()
	play := func(reserves bool) *pipeline {
		p := newPipeline(t, lastUpstreams)
		p.reserves = reserves
		r := rand.New(rand.NewPCG(4, 1))
		at := time.Duration(0)
		for i := 0; at < length; i++ {
			p.after(at, func() { p.arrive(string(rune(i))) })
			at += time.Duration(r.ExpFloat64() / (2 * capacity / length.Seconds()) * float64(time.Second))
		}
		p.run(length + 10*time.Second)
		return p
	}
	with, without := play(true), play(false)
	t.Logf("capacity %.0f; with reservations %d on time, %d refused, %d dropped; without %d, %d, %d",
		capacity, with.onTime, with.refused, with.dropped, without.onTime, without.refused, without.dropped)
	if least := 0.8 * capacity; float64(with.onTime) < least {
		t.Errorf("%d requests on time, expected at least %.0f", with.onTime, least)
	}
	if most := 0.05 * capacity; float64(with.dropped) > most {
		t.Errorf("%d requests dropped after work was done for them, expected at most %.0f", with.dropped, most)
	}
}
