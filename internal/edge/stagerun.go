package edge

import (
	"context"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// stageRun is the progress of the stages of a request.
type stageRun struct {
	t           *transaction
	ctx         context.Context
	levels      []int
	started     []bool
	done        []bool
	completions chan stageCompletion
	inputs      *inputSet
	running     int
	// releaseDelegated marks the results that the owner of the next stage's pool has released.
	releaseDelegated []bool
}

type stageCompletion struct {
	stage  int
	result stageResult
}

// runStages runs the graph. A stage begins once the stages before it are done, and not
// before its turn by the number of stages that follow it: a result that waits for others
// occupies memory that the pool needs for its batches.
func (t *transaction) runStages() stageResult {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	n := len(t.route.Stages)
	run := &stageRun{
		t: t, ctx: ctx, levels: t.route.Levels(), started: make([]bool, n), done: make([]bool, n), releaseDelegated: make([]bool, n),
		completions: make(chan stageCompletion, n), inputs: &inputSet{byStage: make([][]string, n)},
	}
	for i := range t.route.Stages {
		if t.pieces(i) == 0 {
			run.started[i], run.done[i] = true, true
		}
	}
	for {
		run.startReady()
		if run.running == 0 {
			break
		}
		end := <-run.completions
		run.running--
		if end.result.refusal != stagepool.NoRefusal {
			cancel()
			run.releaseAll()
			return end.result
		}
		run.done[end.stage] = true
		run.inputs.byStage[end.stage] = end.result.handles
		run.releaseConsumed()
	}
	run.collectInputs()
	t.inputs = run.inputs
	return stageResult{}
}

// pieces returns the number of pieces of a stage; a stage that the caller does not name
// has one.
func (t *transaction) pieces(stage int) int {
	if stage >= len(t.call.Pieces) {
		return 1
	}
	return t.call.Pieces[stage]
}

// startReady begins the stages whose turn it is.
func (run *stageRun) startReady() {
	for i := range run.started {
		if run.started[i] || !run.isReady(i) {
			continue
		}
		run.started[i] = true
		run.running++
		inputs, pools := run.inputsOf(i)
		if pools != nil {
			// The owner of this stage's pool has the inputs released.
			for _, before := range run.t.route.Stages[i].DependsOn {
				run.releaseDelegated[before] = true
			}
		}
		go func() {
			run.completions <- stageCompletion{stage: i, result: run.t.runStage(run.ctx, i, run.levels[i], inputs, pools)}
		}()
	}
}

func (run *stageRun) isReady(stage int) bool {
	for _, before := range run.t.route.Stages[stage].DependsOn {
		if !run.done[before] {
			return false
		}
	}
	for other := range run.done {
		if !run.done[other] && run.levels[other] > run.levels[stage] {
			return false
		}
	}
	return true
}

// inputsOf returns the handles that a stage needs, and their pools if no other stage
// needs them.
func (run *stageRun) inputsOf(stage int) (inputs, pools []string) {
	alone := true
	for _, before := range run.t.route.Stages[stage].DependsOn {
		inputs = append(inputs, run.inputs.byStage[before]...)
		for range run.inputs.byStage[before] {
			pools = append(pools, run.t.route.Stages[before].Pool)
		}
		alone = alone && run.t.dependentCount(before) == 1
	}
	if !alone {
		return inputs, nil
	}
	return inputs, pools
}

// dependentCount returns the number of stages that need the results of a stage.
func (t *transaction) dependentCount(stage int) int {
	n := 0
	for other, s := range t.route.Stages {
		if t.pieces(other) > 0 && slices.Contains(s.DependsOn, stage) {
			n++
		}
	}
	return n
}

// releaseConsumed releases the results that only stages needed that are done.
func (run *stageRun) releaseConsumed() {
	for i := range run.done {
		if !run.done[i] || !run.isConsumed(i) {
			continue
		}
		if !run.releaseDelegated[i] {
			run.t.s.releaseResults(run.t.route.Stages[i].Pool, run.inputs.byStage[i])
		}
		run.inputs.byStage[i] = nil
	}
}

// isConsumed reports whether other stages follow and all of them are done.
func (run *stageRun) isConsumed(stage int) bool {
	for other, s := range run.t.route.Stages {
		if slices.Contains(s.DependsOn, stage) && !run.done[other] {
			return false
		}
	}
	return run.t.dependentCount(stage) > 0
}

// collectInputs gathers the handles that the request itself needs.
func (run *stageRun) collectInputs() {
	for i, handles := range run.inputs.byStage {
		run.inputs.final = append(run.inputs.final, handles...)
		run.inputs.pools = append(run.inputs.pools, run.t.route.Stages[i].Pool)
	}
}

// releaseAll releases everything, also what calls under way still bring.
func (run *stageRun) releaseAll() {
	for i, handles := range run.inputs.byStage {
		run.t.s.releaseResults(run.t.route.Stages[i].Pool, handles)
	}
	pending := run.running
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			end := <-run.completions
			run.t.s.releaseResults(run.t.route.Stages[end.stage].Pool, end.result.handles)
		}
	}()
}
