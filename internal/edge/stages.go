package edge

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// maxExpectedLateness is how far beyond its objective a request may be expected to end before
	// it is refused. Later answers are worth little and delay those that can be on time.
	maxExpectedLateness = time.Second
	// finalCallReserve is the time kept for the request itself after its last stage.
	finalCallReserve = 150 * time.Millisecond
	// stageRerunLimit bounds how often the results of the stages are made for one request.
	stageRerunLimit = 2
)

// inputSet is the results that a request holds.
type inputSet struct {
	// byStage holds the handles of each stage.
	byStage [][]string
	// final are the handles of the stages that no other stage follows.
	final []string
	pools []string
}

// prepareInputs runs the stages of the request.
func (t *transaction) prepareInputs() *errkind.Error {
	if len(t.route.Stages) == 0 {
		return nil
	}
	if failure := t.reserveStages(); failure != nil {
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
			if try < stageRerunLimit {
				t.extendDue()
				continue
			}
		case stagepool.NoUpstream:
			return t.newError(errkind.NoUpstream, "a stage has no upstream in service")
		}
		if t.ctx.Err() != nil {
			return t.timeoutError()
		}
		t.retryHint = refusal.retryAfter
		return t.newError(errkind.Overloaded, "stages: "+refusalNames[refusal.refusal])
	}
}

// extendDue gives the request the time to run its stages again. What was lost is no reason to
// refuse it while its caller waits.
func (t *transaction) extendDue() {
	again := time.Duration(slices.Max(t.route.Levels()))*t.longestBatchTime() + finalCallReserve
	t.due = max(t.due, min(t.s.now().Add(again), t.deadline))
}

// releaseInputs releases the results that the request held.
func (t *transaction) releaseInputs() {
	if t.inputs == nil {
		return
	}
	for i, handles := range t.inputs.byStage {
		t.s.releaseResults(t.inputs.pools[i], handles)
	}
	t.inputs = nil
}
