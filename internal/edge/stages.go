package edge

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// lateAllowance is how far beyond its objective a request may be expected to end before
	// it is refused. Later answers are worth little and delay those that can be on time.
	lateAllowance = time.Second
	// finalTime is the time kept for the request itself after its last stage.
	finalTime = 150 * time.Millisecond
	// remakes bounds how often the results of the stages are made for one request.
	remakes = 2
)

// inputSet is the results that a request holds.
type inputSet struct {
	// byStage holds the handles of each stage.
	byStage [][]string
	// final are the handles of the stages that no other stage follows.
	final []string
	pools []string
}

// makeInputs runs the stages of the request.
func (t *transfer) makeInputs() *errkind.Error {
	if len(t.route.Stages) == 0 {
		return nil
	}
	if failure := t.foresee(); failure != nil {
		return failure
	}
	started := t.s.now()
	defer func() { t.stageTime += t.s.now().Sub(started) }()
	for try := 1; ; try++ {
		refusal := t.runStages()
		switch refusal.refusal {
		case stagepool.NoRefusal:
			return nil
		case stagepool.InputsMissing:
			if try < remakes {
				t.extend()
				continue
			}
		case stagepool.NoUpstream:
			return t.refusal(errkind.NoUpstream, "a stage has no upstream in service")
		}
		if t.ctx.Err() != nil {
			return t.timedOut()
		}
		t.retryHint = refusal.retryAfter
		return t.refusal(errkind.Overloaded, "stages: "+refusalNames[refusal.refusal])
	}
}

// extend gives the request the time to run its stages again. What was lost is no reason to
// refuse it while its caller waits.
func (t *transfer) extend() {
	again := time.Duration(slices.Max(t.route.Levels()))*t.stageCallTime() + finalTime
	t.due = max(t.due, min(t.s.now().Add(again), t.deadline))
}

// releaseInputs releases the results that the request held.
func (t *transfer) releaseInputs() {
	if t.inputs == nil {
		return
	}
	for i, handles := range t.inputs.byStage {
		t.s.releaseResults(t.inputs.pools[i], handles)
	}
	t.inputs = nil
}
