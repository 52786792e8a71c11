package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// maxUnresponsiveOwners bounds the unresponsive VMs that are tried as the owner of a pool for
	// one stage.
	maxUnresponsiveOwners = 3
	// maxOwnerRedirects bounds the redirects to another owner for one stage before a pause. After
	// a restart of many VMs their directories take up to some seconds to agree.
	maxOwnerRedirects = 4
	// ownerSearchPause is the pause after too many redirects.
	ownerSearchPause = 60 * time.Millisecond
)

// ownerSearch finds the owner of a pool for one stage.
type ownerSearch struct {
	s        *Server
	resource fleet.Resource
	// unresponsive are the VMs that did not respond, and notOwners those that are not the owner.
	unresponsive []string
	notOwners    []string
	redirects    int
	// giveUpAt is when the search ends.
	giveUpAt clock.Instant
}

// next reports whether the search goes on. After too many redirects it pauses, since VMs that do
// not agree on the owner yet redirect in circles.
func (o *ownerSearch) next(ctx context.Context) bool {
	if len(o.unresponsive) >= maxUnresponsiveOwners {
		return false
	}
	if o.redirects < maxOwnerRedirects {
		return true
	}
	if o.s.now().Add(ownerSearchPause).After(o.giveUpAt) {
		return false
	}
	sleep(ctx, ownerSearchPause)
	o.redirects, o.notOwners = 0, nil
	return ctx.Err() == nil
}

// followRedirect records that a VM is not the owner, and the owner that it named, if any.
func (o *ownerSearch) followRedirect(from string, to fleet.Entry) {
	o.redirects++
	if from != o.s.settings.VM {
		o.notOwners = append(o.notOwners, from)
	}
	o.s.gossip.recordRedirect(o.resource.Name, from, to)
}

// recordUnresponsive records that a VM did not respond.
func (o *ownerSearch) recordUnresponsive(name string) {
	o.unresponsive = append(o.unresponsive, name)
	o.s.gossip.markUnresponsive(name)
}

// runStage runs one stage at the owner of a shard of its pool. If the owner does not respond, the
// VM that becomes the owner instead is tried.
func (t *transaction) runStage(ctx context.Context, stage, level int, inputs stageInputs) stageResult {
	s, pool := t.s, t.route.Stages[stage].Pool
	job := t.stageJob(stage, level, inputs)
	shard := t.shardFor(stage, job.Zone)
	if shard == nil {
		return stageResult{refusal: stagepool.NoUpstream}
	}
	search := &ownerSearch{s: s, resource: shard.resource(), giveUpAt: job.Due}
	for search.next(ctx) {
		owner := s.gossip.owner(search.resource)
		started := s.now()
		result, err := s.runStageAt(ctx, owner, job, inputs, search)
		switch {
		case err == nil && result.refusal == stagepool.OwnerChanged:
			search.followRedirect(owner.Name, result.owner)
			if current := t.shardFor(stage, job.Zone); current != nil {
				search.resource = current.resource()
			}
		case err == nil:
			s.stageResponses.record(s.now(), owner, true)
			s.logger.Info("stage ended", zap.String("request", t.requestInfo.ID), zap.Int("stage", stage), zap.String("pool", pool),
				zap.String("shard", search.resource.Name), zap.String("owner", owner.Name), zap.Int("pieces", job.Pieces),
				zap.String("refusal", refusalNames[result.refusal]), zap.Duration("took", s.now().Sub(started)),
				zap.Duration("due", job.Due.Sub(started)), zap.Duration("limit", job.Deadline.Sub(started)))
			return result
		case ctx.Err() != nil:
			return stageResult{refusal: stagepool.Overloaded}
		default:
			search.recordUnresponsive(owner.Name)
			s.stageResponses.record(s.now(), owner, false)
			s.logger.Warn("owner of a pool lost", zap.String("request", t.requestInfo.ID), zap.String("pool", pool),
				zap.String("shard", search.resource.Name), zap.String("owner", owner.Name), zap.Int("lost", len(search.unresponsive)),
				zap.Duration("waited", s.now().Sub(started)), obs.ErrorField(err))
			if search.resource.Zone != s.settings.Zone {
				// The other zone may be cut off as a whole.
				t.shards[stage] = ""
				if own := t.shardFor(stage, s.settings.Zone); own != nil {
					search.resource = own.resource()
				}
			}
		}
	}
	return stageResult{refusal: stagepool.Failed}
}

// shardFor returns the shard in which the stage was reserved, or another one if that does not exist
// any more. It returns nil if no upstream of the pool is in service.
func (t *transaction) shardFor(stage int, zone string) *poolShard {
	view := t.s.view.Load()
	if name := t.shards[stage]; name != "" {
		if shard := view.Shards[name]; shard != nil && len(shard.entries) > 0 && t.s.isZoneReachable(shard.Zone) {
			return shard
		}
	}
	return t.s.chooseShard(view, t.route.Stages[stage].Pool, zone, t.requestInfo.ID)
}

// stageJob returns the job of a stage for the owner of its pool.
func (t *transaction) stageJob(stage, level int, inputs stageInputs) stagepool.Job {
	followUpTime := t.timeAfterStage(level)
	job := stagepool.Job{
		Request: t.requestInfo.ID, Stage: stage, Pieces: t.pieces(stage), Inputs: inputs.handles, KeepInputs: !inputs.memoryShort,
		ResultBytes: t.route.Stages[stage].ResultBytes, Zone: t.preferredZone(stage, inputs.handles), Priority: t.stagePriority(), Due: t.stageDue(level), Deadline: t.latestStageEnd().Add(-followUpTime),
	}
	if len(inputs.handles) == 0 {
		job.Key = t.requestInfo.ContentKey
	}
	return job
}

// latestStageEnd returns when the request must be expected to end at the latest for its stages to run. The
// caller of a resumed stream waits for its next event as long as for any other.
func (t *transaction) latestStageEnd() clock.Instant {
	if t.isResumed {
		return min(t.arrived.Add(streamPatience(t.route)), t.deadline)
	}
	return min(t.due.Add(maxExpectedLateness), t.deadline)
}

// stageDue returns when a stage of the level should be done so that the request can end on time.
func (t *transaction) stageDue(level int) clock.Instant {
	if level < len(t.levelDues) {
		return t.levelDues[level]
	}
	return t.due.Add(-t.timeAfterStage(level))
}

// timeAfterStage returns the time kept for what follows a stage of the level.
func (t *transaction) timeAfterStage(level int) time.Duration {
	return t.finalCallTime() + time.Duration(level-1)*t.longestBatchTime()
}

// longestBatchTime returns the duration of a full batch at the slowest pool of the request's
// stages.
func (t *transaction) longestBatchTime() time.Duration {
	longest := time.Duration(0)
	for _, stage := range t.route.Stages {
		if pool := t.view.Catalog.Pools[stage.Pool]; pool != nil && pool.Batch != nil {
			longest = max(longest, pool.Batch.CallTime+time.Duration(pool.Batch.MaxPieces)*pool.Batch.PieceTime)
		}
	}
	return longest
}

// runStageAt runs a job at a VM. An error means that the call to the VM failed.
func (s *Server) runStageAt(ctx context.Context, entry fleet.Entry, job stagepool.Job, inputs stageInputs, search *ownerSearch) (stageResult, error) {
	if entry.Name == s.settings.VM {
		runner := s.poolRunner(search.resource.Name)
		if runner == nil {
			return stageResult{refusal: stagepool.OwnerChanged}, nil
		}
		s.gossip.claim(search.resource.Name)
		return runner.runJob(ctx, job, s.inputReleaser(job.Inputs, inputs.isOnlyConsumer)), nil
	}
	now := s.now()
	request := &hoistv1.RunStageRequest{
		Request: job.Request, Pool: search.resource.Name, Stage: uint32(job.Stage), Pieces: uint32(job.Pieces), Key: job.Key, Inputs: job.Inputs,
		DueMs: job.Due.Sub(now).Milliseconds(), LimitMs: job.Deadline.Sub(now).Milliseconds(), ResultBytes: uint64(job.ResultBytes),
		Zone: job.Zone, Priority: uint32(max(job.Priority, 0)), ReleaseInputs: inputs.isOnlyConsumer, KeepInputs: job.KeepInputs,
		Lost: search.unresponsive, NotOwners: search.notOwners,
	}
	setSuspect(ctx, request)
	var result stageResult
	err := s.peers.call(ctx, entry, func(ctx context.Context, client hoistv1.FleetClient) error {
		response, err := client.RunStage(ctx, request)
		if err != nil {
			return err
		}
		result = stageResult{
			handles: response.GetHandles(), refusal: parseRefusal(response.GetRefusal()),
			retryAfter: time.Duration(response.GetRetryAfterMs()) * time.Millisecond, pausedUntil: pauseFromProto(s.now(), response.GetPausedMs()),
			owner: redirectFromProto(response.GetOwner(), response.GetOwnerEntry()), memoryShort: response.GetMemoryShort(),
		}
		return nil
	})
	return result, err
}

// inputReleaser returns a function that releases the inputs of a job once they have been read. It
// returns nil if there are no inputs or other stages need them too.
func (s *Server) inputReleaser(inputs []string, isOnlyConsumer bool) func() {
	if len(inputs) == 0 || !isOnlyConsumer {
		return nil
	}
	return func() { s.releaseResults(inputs) }
}

// releaseResults releases results at the owners of their shards without waiting. Results of
// upstreams that are not known any more are gone.
func (s *Server) releaseResults(handles []string) {
	view := s.view.Load()
	byShard := map[*poolShard][]string{}
	for _, handle := range handles {
		if shard := view.ShardAt[s.dialect.HandleAddress(handle)]; shard != nil {
			byShard[shard] = append(byShard[shard], handle)
		}
	}
	for shard, part := range byShard {
		s.releaseAt(shard, part)
	}
}

// releaseAt releases results of one shard at its owner.
func (s *Server) releaseAt(shard *poolShard, handles []string) {
	owner := s.gossip.owner(shard.resource())
	if owner.Name == s.settings.VM {
		s.releaseHere(shard, handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		err := s.peers.call(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) error {
			_, err := client.Release(ctx, &hoistv1.ReleaseRequest{Pool: shard.Name, Handles: handles})
			return err
		})
		if err != nil && !errors.Is(err, context.Canceled) {
			s.logger.Info("failed to send a release to the owner; releasing at the upstreams", zap.String("pool", shard.Name), zap.String("owner", owner.Name), obs.ErrorField(err))
			s.releaseHere(shard, handles)
		}
	}()
}

// releaseHere releases results without their owner, or as their owner.
func (s *Server) releaseHere(shard *poolShard, handles []string) {
	if runner := s.poolRunner(shard.Name); runner != nil {
		runner.release(handles)
	}
}
