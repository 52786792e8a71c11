package edge

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// maxExpectedLateness is how far beyond its objective a request may be expected to end before
	// its stages are refused. Responses that are later than this are of little value and delay
	// requests that can be on time.
	maxExpectedLateness = time.Second
	// defaultFinalCallTime is the time kept for the request itself after its last stage as long
	// as too few requests of the route have shown how long it takes.
	defaultFinalCallTime = 150 * time.Millisecond
	// finalCallQuantile is the quantile of the measured times that is kept, and maxFinalCallShare
	// the largest share of the objective.
	finalCallQuantile = 0.75
	maxFinalCallShare = 0.4
	// stageRerunLimit bounds how often the stages run if their results are lost meanwhile, and
	// how often they run again after an upstream has reported missing inputs.
	stageRerunLimit = 2
	// maxStagePieces bounds the pieces of one stage. The owner of its pool holds memory for each
	// piece, and looks at all of them when it estimates how long they take.
	maxStagePieces = 4096
)

// isPieceCount reports whether a stage that runs may have the number of pieces.
func isPieceCount(n int64) bool { return n > 0 && n <= maxStagePieces }

// inputSet holds the stage results that a request still needs.
type inputSet struct {
	// byStage holds the handles of the results of each stage.
	byStage [][]string
	// final are the handles that the request itself reads: results that no other stage uses.
	final []string
}

// prepareInputs runs the stages of the request, which produce its inputs.
func (t *transaction) prepareInputs() *errkind.Error {
	if len(t.route.Stages) == 0 {
		return nil
	}
	if failure := t.reserveStages(); failure != nil {
		return failure
	}
	started := t.s.now()
	defer func() { t.stageTime += t.s.now().Sub(started) }()
	for run := 1; ; run++ {
		result := t.runStages()
		switch result.refusal {
		case stagepool.NoRefusal:
			return nil
		case stagepool.InputsMissing:
			if run < stageRerunLimit {
				t.extendDue()
				continue
			}
		case stagepool.NoUpstream:
			return t.newError(errkind.NoUpstream, "a stage has no upstream in service")
		}
		if t.ctx.Err() != nil {
			return t.timeoutError()
		}
		t.retryAfter = result.retryAfter
		if result.pausedUntil != 0 {
			t.refuseUntil(result.pausedUntil)
		}
		return t.newError(errkind.Overloaded, "stages: "+refusalNames[result.refusal])
	}
}

// extendDue extends the due time of the request to allow its stages to run again. Lost results
// alone are no reason to refuse the request while its caller waits.
func (t *transaction) extendDue() {
	rerunTime := time.Duration(slices.Max(t.route.Levels()))*t.longestBatchTime() + t.finalCallTime()
	t.due = max(t.due, min(t.s.now().Add(rerunTime), t.deadline))
	t.levelDues = nil
}

// finalCallTime returns the time kept for the request itself after its last stage.
func (t *transaction) finalCallTime() time.Duration {
	expected := t.s.durations.expectedFinalCall(t.route.Name, finalCallQuantile, defaultFinalCallTime)
	return min(expected, time.Duration(maxFinalCallShare*float64(t.route.Objective)))
}

// releaseInputs releases the stage results that the request holds.
func (t *transaction) releaseInputs() {
	if t.inputs == nil {
		return
	}
	for _, handles := range t.inputs.byStage {
		t.s.releaseResults(handles)
	}
	t.inputs = nil
}
