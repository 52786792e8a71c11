package stagepool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// simulation replays a load pattern against a Pool whose upstreams behave as the tables
// say: a call takes a fixed time and some more for each piece, and results occupy memory
// until they are released.
type simulation struct {
	*world
	t     *testing.T
	pool  *Pool
	batch catalog.Batch
	// slow is the slowness of an upstream; 1 if missing.
	slow map[string]float64
	// holdTime is how long the caller keeps results.
	holdTime time.Duration
	// ended is called with the end of each job; if it is nil, results are released after the
	// hold time.
	ended func(JobID, JobOutcome)
	zones map[string]string

	memory map[string]int64
	calls  map[string]int
	// running holds when a piece that is being made counts as overdue.
	running map[string]clock.Instant
	ends    map[JobID]clock.Instant
	refused map[JobID]bool
	crossed int
	asked   int
	pieces  int
	handles int
	sizes   map[string]int64
	homes   map[string]string
	wakeAt  clock.Instant
}

// world is the time that pools share.
type world struct {
	now    clock.Instant
	events eventHeap
}

type event struct {
	at  clock.Instant
	seq int
	run func()
}

type eventHeap struct {
	items []event
	seq   int
}

func (h *eventHeap) Len() int { return len(h.items) }
func (h *eventHeap) Less(i, j int) bool {
	if h.items[i].at != h.items[j].at {
		return h.items[i].at < h.items[j].at
	}
	return h.items[i].seq < h.items[j].seq
}
func (h *eventHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *eventHeap) Push(x any)    { h.items = append(h.items, x.(event)) }
func (h *eventHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

func (w *world) after(d time.Duration, run func()) {
	w.events.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.events.seq, run: run})
}

func newSimulation(t *testing.T, batch catalog.Batch, zones ...string) *simulation {
	return newSimulationIn(t, &world{}, batch, zones...)
}

func newSimulationIn(t *testing.T, w *world, batch catalog.Batch, zones ...string) *simulation {
	s := &simulation{
		world: w, t: t, pool: New(0), batch: batch, slow: map[string]float64{}, zones: map[string]string{}, memory: map[string]int64{},
		calls: map[string]int{}, running: map[string]clock.Instant{}, ends: map[JobID]clock.Instant{}, refused: map[JobID]bool{},
		sizes: map[string]int64{}, homes: map[string]string{},
	}
	var upstreams []Upstream
	for i, zone := range zones {
		id := fmt.Sprintf("u%d", i)
		upstreams = append(upstreams, Upstream{ID: id, Zone: zone})
		s.zones[id] = zone
	}
	s.pool.Configure(0, batch, upstreams)
	return s
}

// submit adds a job now and reports whether it was accepted.
func (s *simulation) submit(job Job) (JobID, bool) {
	id, _, refusal := s.pool.Submit(s.now, job)
	if refusal != NoRefusal {
		return 0, false
	}
	s.homes[fmt.Sprint(id)] = job.Zone
	s.drive()
	return id, true
}

func (s *simulation) drive() {
	for _, call := range s.pool.Dispatch(s.now) {
		s.begin(call)
	}
	for _, o := range s.pool.Outcomes() {
		if s.ended != nil {
			s.ended(o.Job, o)
			continue
		}
		if o.Refusal != NoRefusal {
			s.refused[o.Job] = true
			continue
		}
		s.ends[o.Job] = s.now
		s.after(s.holdTime, func() { s.pool.Release(o.Handles); s.drive() })
	}
	for _, free := range s.pool.ReleaseRequests() {
		for _, handle := range free.Handles {
			s.memory[free.Upstream] -= s.sizes[handle]
		}
		s.pool.ConfirmReleased(free.Handles)
	}
	for _, id := range s.pool.MemoryQueries() {
		s.asked++
		s.after(time.Millisecond, func() {
			s.pool.ReportFreeMemory(s.now, id, s.batch.ResultMemoryBytes-s.memory[id])
			s.drive()
		})
	}
	if at, ok := s.pool.NextDispatch(s.now); ok {
		s.wakeAt = at
		s.after(at.Sub(s.now), func() {
			if s.wakeAt == at {
				s.drive()
			}
		})
	}
}

func (s *simulation) begin(call Call) {
	s.calls[call.Upstream]++
	if s.calls[call.Upstream] > s.batch.Concurrency {
		s.t.Fatalf("%s has %d calls", call.Upstream, s.calls[call.Upstream])
	}
	if len(call.Pieces) > s.batch.MaxPieces {
		s.t.Fatalf("a call has %d pieces", len(call.Pieces))
	}
	slow := max(1, s.slow[call.Upstream])
	took := time.Duration(float64(s.batch.CallTime+time.Duration(len(call.Pieces))*s.batch.PieceTime) * slow)
	results := make([]PieceResult, len(call.Pieces))
	for i, piece := range call.Pieces {
		key := fmt.Sprint(piece.Job, "/", piece.Piece)
		if s.now < s.running[key] {
			s.t.Fatalf("piece %s is in two calls", key)
		}
		normal := s.batch.CallTime + time.Duration(len(call.Pieces))*s.batch.PieceTime
		s.running[key] = s.now.Add(time.Duration(overdueFactor*float64(normal)) + overdueSlack)
		s.pieces++
		if zone := s.homes[fmt.Sprint(piece.Job)]; zone != "" && zone != s.zones[call.Upstream] {
			s.crossed++
		}
		size := s.pool.jobs[piece.Job].ResultBytes
		if s.batch.ResultMemoryBytes > 0 && s.memory[call.Upstream]+size > s.batch.ResultMemoryBytes {
			s.t.Fatalf("%s has no room for a result", call.Upstream)
		}
		s.handles++
		handle := fmt.Sprint("h", s.handles)
		s.memory[call.Upstream] += size
		s.sizes[handle] = size
		results[i] = PieceResult{Outcome: PieceSucceeded, Handle: handle}
	}
	s.after(took, func() {
		s.calls[call.Upstream]--
		for _, piece := range call.Pieces {
			delete(s.running, fmt.Sprint(piece.Job, "/", piece.Piece))
		}
		s.pool.FinishCall(s.now, call.Upstream, call.ID, CallAnswered, results, nil)
		s.drive()
	})
}

func (w *world) run(until time.Duration) {
	for w.events.Len() > 0 && w.events.items[0].at <= clock.Instant(until) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
}

// load submits jobs at random times with a mean rate that depends on the time.
func (s *simulation) load(seed uint64, length time.Duration, rate func(at time.Duration) float64, make func(r *rand.Rand) Job, submitted func(Job, JobID, bool)) {
	r := rand.New(rand.NewPCG(seed, 1))
	at := time.Duration(0)
	for at < length {
		at += time.Duration(r.ExpFloat64() / rate(at) * float64(time.Second))
		job := make(r)
		s.after(at, func() {
			now := s.now
			job := job
			job.Due, job.Deadline = now.Add(time.Duration(job.Due)), now.Add(time.Duration(job.Deadline))
			id, ok := s.submit(job)
			submitted(job, id, ok)
		})
	}
}
