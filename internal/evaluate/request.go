package evaluate

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// request is one request from a caller.
type request struct {
	stats     *runStats
	route     *table.Route
	workspace int
	prefix    uint64
	arrived   clock.Instant
	deadline  clock.Instant
	work      []time.Duration
	done      bool
}

// result is the outcome of a request.
type result uint8

const (
	answered result = iota
	// refusedAtAdmission was refused before any stage ran.
	refusedAtAdmission
	// refusedBetweenStages was refused after admission, before the first attempt of a stage.
	refusedBetweenStages
	// failed ended with an upstream error.
	failed
	// late did not complete by its deadline.
	late
)

// end records the outcome of the request unless it has already ended.
func (r *request) end(now clock.Instant, outcome result) {
	if r.done {
		return
	}
	r.done = true
	if outcome == answered && now > r.deadline {
		outcome = late
	}
	r.stats.record(r, outcome, now)
}

// runStats are the statistics of one simulation run.
type runStats struct {
	results [late + 1]int
	offered int
	// reachedStage counts, by stage, the requests that started an attempt of it.
	reachedStage []int
	work         []time.Duration
	wasted       []time.Duration
	perSecond    []requestCounts
	// perWorkspace is indexed by the number in the name of the workspace.
	perWorkspace [workspaceCount]requestCounts
	start        clock.Instant
	totalLatency time.Duration
}

// requestCounts counts the requests of a workspace, or the requests that arrived within one
// second and the VMs that were ready at its end.
type requestCounts struct{ offered, answered, errors, readyVMs int }

func newRunStats(stages int, start clock.Instant, duration time.Duration) *runStats {
	return &runStats{
		start: start, reachedStage: make([]int, stages), work: make([]time.Duration, stages),
		wasted: make([]time.Duration, stages), perSecond: make([]requestCounts, int(duration/time.Second)+1),
	}
}

func (s *runStats) countsAt(now clock.Instant) *requestCounts {
	i := min(int(now.Sub(s.start)/time.Second), len(s.perSecond)-1)
	return &s.perSecond[i]
}

func (s *runStats) record(r *request, outcome result, now clock.Instant) {
	s.results[outcome]++
	inSecond := s.countsAt(r.arrived)
	ofWorkspace := &s.perWorkspace[r.workspace]
	ofWorkspace.offered++
	if outcome == answered {
		ofWorkspace.answered++
		inSecond.answered++
		s.totalLatency += now.Sub(r.arrived)
	} else {
		inSecond.errors++
	}
	for i, work := range r.work {
		s.work[i] += work
		if outcome != answered {
			s.wasted[i] += work
		}
	}
}

func (s *runStats) attainment() float64 { return ratio(s.results[answered], s.offered) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
