package stagepool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// mixStage is one stage of a class of requests: its pool, its level, and its pieces.
type mixStage struct {
	pool  int
	level int
	// share is the part of the requests that have the stage.
	share       float64
	pieces      float64
	resultBytes int64
	// workFactor scales the time of a piece.
	workFactor float64
}

// mixClass is a class of requests that pass several pools and then a final call.
type mixClass struct {
	name      string
	perSecond float64
	objective time.Duration
	priority  int
	worth     float64
	stages    []mixStage
	onTime    int
	late      int
	refused   int
	dropped   int
	asked     int
}

// mix replays classes of requests on pools that they share, with the admission on arrival that
// the edge process does.
type mix struct {
	*eventLoop
	t       *testing.T
	r       *rand.Rand
	pools   []*simulation
	classes []*mixClass
	waiters []map[JobID]func(JobOutcome)
	// wasted counts the pieces whose request did not get an answer.
	wasted int
	made   int
	next   int
}

// The times that the edge process uses for admission.
const (
	mixFinalCall       = 150 * time.Millisecond
	mixAdmissionMargin = 100 * time.Millisecond
	mixMaxLateness     = time.Second
)

// newMix returns pools like those of a large deployment: results fill the memory of an upstream
// after one and a half to two full calls.
func newMix(t *testing.T, classes []*mixClass, upstreams int) *mix {
	return newMixOf(t, classes, []catalog.Batch{
		{Concurrency: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond, ResultTTL: 4 * time.Second, ResultMemoryBytes: 9_600_000},
		{Concurrency: 1, MaxPieces: 16, CallTime: 240 * time.Millisecond, PieceTime: 13 * time.Millisecond, ResultTTL: 4 * time.Second, ResultMemoryBytes: 1_800_000},
		{Concurrency: 1, MaxPieces: 20, CallTime: 240 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultTTL: 4 * time.Second, ResultMemoryBytes: 220_000},
	}, upstreams)
}

// newMixOf returns the pools of the batches, with the given number of upstreams each.
func newMixOf(t *testing.T, classes []*mixClass, batches []catalog.Batch, upstreams int) *mix {
	m := &mix{eventLoop: &eventLoop{}, t: t, r: rand.New(rand.NewPCG(11, 2)), classes: classes}
	for _, batch := range batches {
		s := newSimulationOn(t, m.eventLoop, batch, zoneNames(upstreams)...)
		var states []UpstreamState
		for id := range s.zones {
			states = append(states, UpstreamState{ID: id, Slowness: 1})
		}
		s.pool.TakeOver(0, states)
		waiters := map[JobID]func(JobOutcome){}
		s.onJobEnd = func(id JobID, o JobOutcome) {
			if end := waiters[id]; end != nil {
				delete(waiters, id)
				end(o)
			}
		}
		m.pools, m.waiters = append(m.pools, s), append(m.waiters, waiters)
	}
	return m
}

// billingMix is the load of a deployment with long contracts, short notes and classifications,
// at the rates that seven upstreams a pool serve without waiting for long.
func billingMix() []*mixClass {
	chain := []mixStage{{0, 3, 1, 1, 8_000, 0.3}, {1, 2, 1, 4, 60_000, 1}, {2, 1, 1, 6, 6_000, 1}}
	return []*mixClass{
		{name: "contract", perSecond: 11.5, objective: 1200 * time.Millisecond, priority: 1, worth: 3.7, stages: []mixStage{{0, 1, 0.7, 2.5, 800_000, 1}}},
		{name: "note", perSecond: 10.1, objective: 1900 * time.Millisecond, priority: 0, worth: 2.7, stages: chain},
		{name: "classification", perSecond: 23.2, objective: 2 * time.Second, priority: 2, worth: 0.3, stages: append([]mixStage{{0, 1, 0.4, 1.5, 800_000, 1}}, chain...)},
	}
}

type mixRequest struct {
	class   *mixClass
	id      string
	arrived clock.Instant
	due     clock.Instant
	pieces  []int
	dues    []clock.Instant
	handles map[int][]string
	running int
	failed  bool
	made    int
}

func (m *mix) level(r *mixRequest) int {
	highest := 0
	for i, s := range r.class.stages {
		if r.pieces[i] > 0 {
			highest = max(highest, s.level)
		}
	}
	return highest
}

func (m *mix) arrive(class *mixClass) {
	m.next++
	class.asked++
	r := &mixRequest{class: class, id: fmt.Sprint("r", m.next), arrived: m.now, due: m.now.Add(class.objective), handles: map[int][]string{}}
	for _, s := range class.stages {
		n := 0
		if m.r.Float64() < s.share {
			n = max(1, int(s.pieces+0.5+0.4*s.pieces*m.r.NormFloat64()))
		}
		r.pieces = append(r.pieces, n)
	}
	ends := make([]clock.Instant, m.level(r)+1)
	start := m.now
	for level := m.level(r); level > 0; level-- {
		ends[level] = start
		for i, s := range class.stages {
			if s.level == level && r.pieces[i] > 0 {
				end := m.pools[s.pool].pool.Reserve(m.now, Reservation{
					StageID: StageID{r.id, i}, Pieces: r.pieces[i], ResultBytes: s.resultBytes, Arrives: start,
					Due: r.due.Add(-mixFinalCall - time.Duration(level-1)*448*time.Millisecond), Priority: class.priority,
				})
				ends[level] = max(ends[level], end)
			}
		}
		start = ends[level]
	}
	if start.Add(mixFinalCall).After(r.due.Add(-mixAdmissionMargin)) {
		class.refused++
		for i, s := range class.stages {
			m.pools[s.pool].pool.CancelReservation(StageID{r.id, i})
		}
		return
	}
	r.dues = SpreadSlack(ends, r.due.Add(-mixFinalCall))
	m.startLevel(r, m.level(r))
}

func (m *mix) startLevel(r *mixRequest, level int) {
	if level == 0 {
		m.after(mixFinalCall, func() { m.finish(r) })
		return
	}
	for i, s := range r.class.stages {
		if s.level != level || r.pieces[i] == 0 {
			continue
		}
		r.running++
		pool := m.pools[s.pool]
		due := r.due.Add(-mixFinalCall - time.Duration(level-1)*448*time.Millisecond)
		id, _, refusal := pool.pool.Submit(m.now, Job{
			Request: r.id, Stage: i, Pieces: r.pieces[i], ResultBytes: s.resultBytes, Priority: r.class.priority, Due: r.dues[level],
			Deadline: due.Add(mixMaxLateness),
		})
		end := func(o JobOutcome) { m.stageEnded(r, i, level, o) }
		if refusal != NoRefusal {
			end(JobOutcome{Refusal: refusal})
			continue
		}
		m.waiters[s.pool][id] = end
	}
	for _, pool := range m.pools {
		pool.dispatch()
	}
}

func (m *mix) stageEnded(r *mixRequest, stage, level int, o JobOutcome) {
	r.running--
	r.failed = r.failed || o.Refusal != NoRefusal
	r.handles[stage] = o.Handles
	r.made += len(o.Handles)
	m.made += len(o.Handles)
	if r.running > 0 {
		return
	}
	if r.failed {
		m.wasted += r.made
		r.class.dropped++
		m.releaseLevels(r, 1)
		return
	}
	// The next level reads the results at the start of its calls. Those of level 1 are read by the
	// final call.
	m.startLevel(r, level-1)
	if level > 1 {
		m.after(80*time.Millisecond, func() { m.releaseLevels(r, level) })
	}
}

// releaseLevels releases the results of the levels from the given one on.
func (m *mix) releaseLevels(r *mixRequest, from int) {
	for i, s := range r.class.stages {
		if s.level >= from && len(r.handles[i]) > 0 {
			m.pools[s.pool].pool.Release(r.handles[i])
			r.handles[i] = nil
			m.pools[s.pool].dispatch()
		}
	}
}

func (m *mix) finish(r *mixRequest) {
	if m.now.After(r.due) {
		r.class.late++
	} else {
		r.class.onTime++
	}
	m.releaseLevels(r, 1)
}

// replay lets requests arrive for the given time, at a multiple of their rate.
func (m *mix) replay(length time.Duration, factor func(at time.Duration) float64) {
	for _, class := range m.classes {
		for at := time.Duration(0); at < length; {
			at += time.Duration(m.r.ExpFloat64() / (class.perSecond * factor(at)) * float64(time.Second))
			m.after(at, func() { m.arrive(class) })
		}
	}
	m.run(length + 10*time.Second)
}

// credit returns the share of the worth that was earned, with a tenth and a half for late answers.
func (m *mix) credit(classes ...string) float64 {
	earned, owed := 0.0, 0.0
	for _, c := range m.classes {
		if len(classes) > 0 && !slices.Contains(classes, c.name) {
			continue
		}
		earned += c.worth * (float64(c.onTime) + 0.15*float64(c.late))
		owed += c.worth * float64(c.asked)
	}
	return earned / owed
}

func (m *mix) String() string {
	out := ""
	for _, c := range m.classes {
		n := float64(c.asked)
		out += fmt.Sprintf("%s %.2f/%.2f/%.2f/%.2f ", c.name[:4], float64(c.onTime)/n, float64(c.late)/n, float64(c.refused)/n, float64(c.dropped)/n)
	}
	return fmt.Sprintf("credit %.3f wasted %d of %d; on/late/refused/dropped: %s", m.credit(), m.wasted, m.made, out)
}

// burst is the load of replay: seven tenths of what the pools serve without waiting for long, and
// a multiple of it for six seconds.
func burst(factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at > 5*time.Second && at < 11*time.Second {
			return factor
		}
		return 0.7
	}
}

// TestBurstOnSharedPools replays bursts of up to two and a half times the usual load of three
// classes that share their pools. It guards against an overload in which all classes are late by
// the same share: contracts and notes must be on time, at the cost of classifications, which are
// worth a tenth and have a lower rank but must not starve; and against work for requests that are
// dropped afterwards.
func TestBurstOnSharedPools(t *testing.T) {
	const (
		minUrgentCredit = 0.9
		minShareOfRest  = 0.25
		maxWasted       = 0.05
		seeds           = 4
	)
	for _, factor := range []float64{1.3, 1.6, 2, 2.5} {
		urgent, rest, wasted, made := 0.0, 0.0, 0, 0
		for seed := range uint64(seeds) {
			m := newMix(t, billingMix(), 7)
			m.r = rand.New(rand.NewPCG(seed, 2))
			m.replay(20*time.Second, burst(factor))
			urgent += m.credit("contract", "note") / seeds
			rest += m.credit("classification") / seeds
			wasted, made = wasted+m.wasted, made+m.made
		}
		share := float64(wasted) / float64(made)
		t.Logf("burst of %.1f: contracts and notes earn %.3f, classifications %.3f, %.3f of the work wasted", factor, urgent, rest, share)
		if urgent < minUrgentCredit {
			t.Errorf("burst of %.1f: contracts and notes earn %.3f, expected at least %.2f", factor, urgent, minUrgentCredit)
		}
		if rest < minShareOfRest*urgent {
			t.Errorf("burst of %.1f: classifications earn %.3f, contracts and notes %.3f", factor, rest, urgent)
		}
		if share > maxWasted {
			t.Errorf("burst of %.1f: %.3f of the work was for requests that were dropped, expected at most %.2f", factor, share, maxWasted)
		}
	}
}
