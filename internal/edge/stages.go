package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// maxOwners bounds the VMs that are tried as owner of a pool for one stage.
	maxOwners = 3
	// maxMoves bounds how often a stage follows its pool to another owner.
	maxMoves = 3
	// doubtTime is how long a VM that did not answer is not taken for an owner.
	doubtTime = 2 * time.Second
	// lateAllowance is how far beyond its objective a request may be expected to end before
	// it is refused. Later answers are worth little and delay those that can be on time.
	lateAllowance = time.Second
	// finalTime is the time kept for the request itself after its last stage.
	finalTime = 150 * time.Millisecond
	// movedBytes is the size of what a stage moves from which its zone matters.
	movedBytes = 256 << 10
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
	started := t.s.now()
	defer func() { t.stageTime += t.s.now().Sub(started) }()
	for try := 1; ; try++ {
		refusal := t.runStages()
		switch refusal.refusal {
		case stagepool.None:
			return nil
		case stagepool.InputsGone:
			if try < remakes {
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
		if end.result.refusal != stagepool.None {
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
			for _, before := range run.t.route.Stages[i].After {
				run.handedOver[before] = true
			}
		}
		go func() {
			run.results <- stageDone{stage: i, result: run.t.runStage(run.ctx, i, run.levels[i], inputs, pools)}
		}()
	}
}

func (run *stageRun) isReady(stage int) bool {
	for _, before := range run.t.route.Stages[stage].After {
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
	for _, before := range run.t.route.Stages[stage].After {
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
		if t.pieces(other) > 0 && slices.Contains(s.After, stage) {
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
			run.t.s.release(run.t.route.Stages[i].Pool, run.inputs.byStage[i])
		}
		run.inputs.byStage[i] = nil
	}
}

// isUsed reports whether other stages follow and all of them are done.
func (run *stageRun) isUsed(stage int) bool {
	for other, s := range run.t.route.Stages {
		if slices.Contains(s.After, stage) && !run.done[other] {
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
		run.t.s.release(run.t.route.Stages[i].Pool, handles)
	}
	pending := run.pending
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			end := <-run.results
			run.t.s.release(run.t.route.Stages[end.stage].Pool, end.result.handles)
		}
	}()
}

// releaseInputs releases the results that the request held.
func (t *transfer) releaseInputs() {
	if t.inputs == nil {
		return
	}
	for i, handles := range t.inputs.byStage {
		t.s.release(t.inputs.pools[i], handles)
	}
	t.inputs = nil
}

// runStage runs one stage at the owner of its pool, or at the next VM in the ranking if
// the owner does not answer.
func (t *transfer) runStage(ctx context.Context, stage, level int, inputs, inputPools []string) stageResult {
	s := t.s
	definition := t.route.Stages[stage]
	due := t.due.Add(-finalTime - time.Duration(level-1)*t.stageCallTime())
	limit := min(t.due.Add(lateAllowance), t.deadline).Add(-finalTime - time.Duration(level-1)*t.stageCallTime())
	zone := t.stageZone(stage, inputs)
	owners := s.gossip.owners(definition.Pool)
	moves := 0
	for i := 0; i < min(maxOwners, len(owners)); i++ {
		entry, now := owners[i], s.now()
		job := stagepool.Job{
			Request: t.call.ID, Stage: stage, Pieces: t.pieces(stage), Inputs: inputs, ResultBytes: definition.ResultBytes,
			Zone: zone, Due: due, Limit: limit,
		}
		if len(definition.After) == 0 {
			job.Key = t.call.ContentKey
		}
		result, err := s.runAt(ctx, entry, definition.Pool, job, inputPools)
		if err == nil && result.refusal == stagepool.Moved && moves < maxMoves {
			moves++
			owners = s.gossip.owners(definition.Pool)
			i = -1
			continue
		}
		if err == nil {
			s.logger.Info("stage ended", zap.String("request", t.call.ID), zap.Int("stage", stage), zap.String("pool", definition.Pool),
				zap.String("owner", entry.Name), zap.Int("pieces", job.Pieces), zap.String("refusal", refusalNames[result.refusal]),
				zap.Duration("took", s.now().Sub(now)), zap.Duration("due", due.Sub(now)), zap.Duration("limit", limit.Sub(now)))
			return result
		}
		if ctx.Err() != nil {
			return stageResult{refusal: stagepool.Overloaded}
		}
		s.gossip.doubt(entry.Name, doubtTime)
		s.logger.Warn("owner of a pool lost", zap.String("request", t.call.ID), zap.String("pool", definition.Pool),
			zap.String("owner", entry.Name), zap.Int("rank", i), zap.Duration("waited", s.now().Sub(now)), obs.Reason(err))
	}
	return stageResult{refusal: stagepool.Failed}
}

// stageZone returns the zone in which a stage should run: where its inputs are, or where
// its results will be read; empty if too little is moved for it to matter.
func (t *transfer) stageZone(stage int, inputs []string) string {
	definition := t.route.Stages[stage]
	if len(definition.After) > 0 {
		var moved int64
		for _, before := range definition.After {
			moved += t.route.Stages[before].ResultBytes * int64(t.pieces(before)*t.pieces(stage))
		}
		if moved < movedBytes {
			return ""
		}
		return t.view.zoneOfMost(inputs, t.s.dialect)
	}
	if t.followers(stage) > 0 || definition.ResultBytes*int64(t.pieces(stage)) < movedBytes {
		return ""
	}
	return t.s.upstreams.zoneFor(t.view, t.pool, t.query())
}

// zoneOfMost returns the zone that holds most of the results.
func (v *View) zoneOfMost(handles []string, dialect Dialect) string {
	counts := map[string]int{}
	best := ""
	for _, handle := range handles {
		zone := v.ZoneOf[dialect.HandleAddress(handle)]
		counts[zone]++
		if best == "" || counts[zone] > counts[best] {
			best = zone
		}
	}
	return best
}

// stageCallTime returns the typical time of one stage of the request.
func (t *transfer) stageCallTime() time.Duration {
	longest := time.Duration(0)
	for _, stage := range t.route.Stages {
		if pool := t.view.Catalog.Pools[stage.Pool]; pool != nil && pool.Batch != nil {
			longest = max(longest, pool.Batch.CallTime+time.Duration(pool.Batch.MaxPieces)*pool.Batch.PieceTime)
		}
	}
	return longest
}

// runAt runs a job at a VM. An error means that the VM could not be asked.
func (s *Server) runAt(ctx context.Context, entry fleet.Entry, pool string, job stagepool.Job, inputPools []string) (stageResult, error) {
	if entry.Name == s.settings.VM {
		return s.owner(pool).run(ctx, job, s.releaseRead(job.Inputs, inputPools)), nil
	}
	now := s.now()
	request := &hoistv1.RunStageRequest{
		Request: job.Request, Pool: pool, Stage: uint32(job.Stage), Pieces: uint32(job.Pieces), Key: job.Key, Inputs: job.Inputs,
		DueMs: job.Due.Sub(now).Milliseconds(), LimitMs: job.Limit.Sub(now).Milliseconds(), ResultBytes: uint64(job.ResultBytes),
		Zone: job.Zone, InputPools: inputPools,
	}
	var result stageResult
	err := s.peers.call(ctx, entry, func(ctx context.Context, client hoistv1.FleetClient) error {
		response, err := client.RunStage(ctx, request)
		if err != nil {
			return err
		}
		result = stageResult{
			handles: response.GetHandles(), refusal: refusalOf(response.GetRefusal()),
			retryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
		}
		return nil
	})
	return result, err
}

// releaseRead returns what releases the inputs of a job once they have been read, or nil
// if their pools are not known.
func (s *Server) releaseRead(inputs, pools []string) func() {
	if len(inputs) == 0 || len(pools) != len(inputs) {
		return nil
	}
	return func() {
		byPool := map[string][]string{}
		for i, handle := range inputs {
			byPool[pools[i]] = append(byPool[pools[i]], handle)
		}
		for pool, handles := range byPool {
			s.release(pool, handles)
		}
	}
}

// release frees results at the owner of their pool, without waiting.
func (s *Server) release(pool string, handles []string) {
	if len(handles) == 0 {
		return
	}
	owners := s.gossip.owners(pool)
	if len(owners) == 0 || owners[0].Name == s.settings.VM {
		s.owner(pool).release(handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		err := s.peers.call(ctx, owners[0], func(ctx context.Context, client hoistv1.FleetClient) error {
			_, err := client.Release(ctx, &hoistv1.ReleaseRequest{Pool: pool, Handles: handles})
			return err
		})
		if err != nil && !errors.Is(err, context.Canceled) {
			s.logger.Info("release not delivered; the results expire", zap.String("pool", pool), zap.String("owner", owners[0].Name), obs.Reason(err))
		}
	}()
}

// stagePool returns the definition of a pool of stages.
func (v *View) stagePool(pool string) (catalog.Batch, bool) {
	if v == nil || v.Catalog == nil || v.Catalog.Pools[pool] == nil || v.Catalog.Pools[pool].Batch == nil {
		return catalog.Batch{}, false
	}
	return *v.Catalog.Pools[pool].Batch, true
}
