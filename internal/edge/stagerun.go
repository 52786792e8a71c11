package edge

import (
	"context"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// stageRun is the progress of the stages of a request.
type stageRun struct {
	t       *transfer
	ctx     context.Context
	levels  []int
	started []bool
	done    []bool
	results chan stageDone
	inputs  *inputSet
	pending int
	// handedOver marks the results that the owner of the next stage's pool has released.
	handedOver []bool
}

type stageDone struct {
	stage  int
	result stageResult
}

// runStages runs the graph. A stage begins once the stages before it are done, and not
// before its turn by the number of stages that follow it: a result that waits for others
// occupies memory that the pool needs for its batches.
func (t *transfer) runStages() stageResult {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	n := len(t.route.Stages)
	run := &stageRun{
		t: t, ctx: ctx, levels: t.route.Levels(), started: make([]bool, n), done: make([]bool, n), handedOver: make([]bool, n),
		results: make(chan stageDone, n), inputs: &inputSet{byStage: make([][]string, n)},
	}
	for i := range t.route.Stages {
		if t.pieces(i) == 0 {
			run.started[i], run.done[i] = true, true
		}
	}
	for {
		run.start()
		if run.pending == 0 {
			break
		}
		end := <-run.results
		run.pending--
		if end.result.refusal != stagepool.NoRefusal {
			cancel()
			run.abandon()
			return end.result
		}
		run.done[end.stage] = true
		run.inputs.byStage[end.stage] = end.result.handles
		run.releaseUsed()
	}
	run.collect()
	t.inputs = run.inputs
	return stageResult{}
}

// pieces returns the number of pieces of a stage; a stage that the caller does not name
// has one.
func (t *transfer) pieces(stage int) int {
	if stage >= len(t.call.Pieces) {
		return 1
	}
	return t.call.Pieces[stage]
}

// start begins the stages whose turn it is.
func (run *stageRun) start() {
	for i := range run.started {
		if run.started[i] || !run.isReady(i) {
			continue
		}
		run.started[i] = true
		run.pending++
		inputs, pools := run.inputsOf(i)
		if pools != nil {
			// The owner of this stage's pool has the inputs released.
			for _, before := range run.t.route.Stages[i].DependsOn {
				run.handedOver[before] = true
			}
		}
		go func() {
			run.results <- stageDone{stage: i, result: run.t.runStage(run.ctx, i, run.levels[i], inputs, pools)}
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
		alone = alone && run.t.followers(before) == 1
	}
	if !alone {
		return inputs, nil
	}
	return inputs, pools
}

// followers returns the number of stages that need the results of a stage.
func (t *transfer) followers(stage int) int {
	n := 0
	for other, s := range t.route.Stages {
		if t.pieces(other) > 0 && slices.Contains(s.DependsOn, stage) {
			n++
		}
	}
	return n
}

// releaseUsed releases the results that only stages needed that are done.
func (run *stageRun) releaseUsed() {
	for i := range run.done {
		if !run.done[i] || !run.isUsed(i) {
			continue
		}
		if !run.handedOver[i] {
			run.t.s.releaseResults(run.t.route.Stages[i].Pool, run.inputs.byStage[i])
		}
		run.inputs.byStage[i] = nil
	}
}

// isUsed reports whether other stages follow and all of them are done.
func (run *stageRun) isUsed(stage int) bool {
	for other, s := range run.t.route.Stages {
		if slices.Contains(s.DependsOn, stage) && !run.done[other] {
			return false
		}
	}
	return run.t.followers(stage) > 0
}

// collect gathers the handles that the request itself needs.
func (run *stageRun) collect() {
	for i, handles := range run.inputs.byStage {
		run.inputs.final = append(run.inputs.final, handles...)
		run.inputs.pools = append(run.inputs.pools, run.t.route.Stages[i].Pool)
	}
}

// abandon releases everything, also what calls under way still bring.
func (run *stageRun) abandon() {
	for i, handles := range run.inputs.byStage {
		run.t.s.releaseResults(run.t.route.Stages[i].Pool, handles)
	}
	pending := run.pending
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			end := <-run.results
			run.t.s.releaseResults(run.t.route.Stages[end.stage].Pool, end.result.handles)
		}
	}()
}
