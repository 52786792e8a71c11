package edge

import (
	"context"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// stageRun tracks the progress of the stages of one request.
type stageRun struct {
	t   *transaction
	ctx context.Context
	// levels holds the level of each stage; the stages of level 1 run last.
	levels      []int
	started     []bool
	done        []bool
	completions chan stageCompletion
	inputs      *inputSet
	running     int
	// releaseDelegated marks the stages whose results the owner of the next stage's pool
	// releases.
	releaseDelegated []bool
	// memoryShort marks the stages whose pool needs the memory of the results back soon.
	memoryShort []bool
}

// stageInputs are the results that a stage reads.
type stageInputs struct {
	handles []string
	// isOnlyConsumer is set if no other stage reads them. The owner of the stage's pool then
	// releases them.
	isOnlyConsumer bool
	// memoryShort is set if a pool that made them needs their memory back as soon as possible.
	memoryShort bool
}

// stageCompletion reports the result of a stage to its stageRun.
type stageCompletion struct {
	stage  int
	result stageResult
}

// runStages runs the graph of stages. A stage starts once the stages it depends on and all stages
// of higher levels are done: a result that waits for other results occupies memory that its pool
// needs for batches.
func (t *transaction) runStages() stageResult {
	ctx, cancel := context.WithCancel(withSuspect(t.ctx, t.suspect()))
	defer cancel()
	n := len(t.route.Stages)
	run := &stageRun{
		t: t, ctx: ctx, levels: t.route.Levels(), started: make([]bool, n), done: make([]bool, n), releaseDelegated: make([]bool, n), memoryShort: make([]bool, n),
		completions: make(chan stageCompletion, n), inputs: &inputSet{byStage: make([][]string, n)},
	}
	for stage := range t.route.Stages {
		if t.pieces(stage) == 0 {
			run.started[stage], run.done[stage] = true, true
		}
	}
	for {
		run.startReady()
		if run.running == 0 {
			break
		}
		completion := <-run.completions
		run.running--
		if completion.result.refusal != stagepool.NoRefusal {
			cancel()
			run.releaseAll()
			return completion.result
		}
		run.done[completion.stage] = true
		run.inputs.byStage[completion.stage] = completion.result.handles
		run.memoryShort[completion.stage] = completion.result.memoryShort
		run.releaseConsumed()
	}
	run.collectInputs()
	t.inputs = run.inputs
	return stageResult{}
}

// pieces returns the number of pieces of a stage; the default is one.
func (t *transaction) pieces(stage int) int {
	if stage >= len(t.requestInfo.Pieces) {
		return 1
	}
	return t.requestInfo.Pieces[stage]
}

// startReady starts the stages that are ready and not started yet.
func (run *stageRun) startReady() {
	for stage := range run.started {
		if run.started[stage] || !run.isReady(stage) {
			continue
		}
		run.started[stage] = true
		run.running++
		inputs := run.inputsOf(stage)
		if inputs.isOnlyConsumer {
			// The owner of this stage's pool releases the inputs once they have been read.
			for _, dependency := range run.t.route.Stages[stage].DependsOn {
				run.releaseDelegated[dependency] = true
			}
		}
		go func() {
			result := stageResult{refusal: stagepool.Failed}
			run.t.s.contain.run("stage", func() { result = run.t.runStage(run.ctx, stage, run.levels[stage], inputs) })
			run.completions <- stageCompletion{stage: stage, result: result}
		}()
	}
}

// isReady reports whether all dependencies of a stage and all stages of higher levels are done.
func (run *stageRun) isReady(stage int) bool {
	for _, dependency := range run.t.route.Stages[stage].DependsOn {
		if !run.done[dependency] {
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

// inputsOf returns the inputs of a stage.
func (run *stageRun) inputsOf(stage int) stageInputs {
	inputs := stageInputs{isOnlyConsumer: true}
	for _, dependency := range run.t.route.Stages[stage].DependsOn {
		inputs.handles = append(inputs.handles, run.inputs.byStage[dependency]...)
		inputs.isOnlyConsumer = inputs.isOnlyConsumer && run.t.dependentCount(dependency) == 1
		inputs.memoryShort = inputs.memoryShort || run.memoryShort[dependency]
	}
	return inputs
}

// dependentCount returns the number of stages that use the results of a stage.
func (t *transaction) dependentCount(stage int) int {
	n := 0
	for other, s := range t.route.Stages {
		if t.pieces(other) > 0 && slices.Contains(s.DependsOn, stage) {
			n++
		}
	}
	return n
}

// releaseConsumed releases the results that no unfinished stage needs.
func (run *stageRun) releaseConsumed() {
	for stage := range run.done {
		if !run.done[stage] || !run.isConsumed(stage) {
			continue
		}
		if !run.releaseDelegated[stage] {
			run.t.s.releaseResults(run.inputs.byStage[stage])
		}
		run.inputs.byStage[stage] = nil
	}
}

// isConsumed reports whether other stages use the results of a stage and all of them are done.
func (run *stageRun) isConsumed(stage int) bool {
	for other, s := range run.t.route.Stages {
		if slices.Contains(s.DependsOn, stage) && !run.done[other] {
			return false
		}
	}
	return run.t.dependentCount(stage) > 0
}

// collectInputs gathers the handles that are the inputs of the request itself.
func (run *stageRun) collectInputs() {
	for _, handles := range run.inputs.byStage {
		run.inputs.final = append(run.inputs.final, handles...)
	}
}

// releaseAll releases all results, including those of stages that are still running.
func (run *stageRun) releaseAll() {
	for _, handles := range run.inputs.byStage {
		run.t.s.releaseResults(handles)
	}
	running := run.running
	if running == 0 {
		return
	}
	go func() {
		for range running {
			completion := <-run.completions
			run.t.s.releaseResults(completion.result.handles)
		}
	}()
}
