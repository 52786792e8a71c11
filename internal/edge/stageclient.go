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
	// maxUnresponsiveOwners bounds the VMs that are tried as owner of a pool for one stage and do not
	// answer.
	maxUnresponsiveOwners = 3
	// maxOwnerRedirects bounds how often a stage follows its pool to another owner.
	maxOwnerRedirects = 4
)

// ownerSearch looks for the owner of a pool for one stage.
type ownerSearch struct {
	s    *Server
	pool string
	// unresponsive are the VMs that did not answer, and denied those that are not the owner.
	unresponsive []string
	notOwners    []string
	redirects    int
}

// isExhausted reports whether no other owner is looked for.
func (f *ownerSearch) isExhausted() bool {
	return len(f.unresponsive) >= maxUnresponsiveOwners || f.redirects >= maxOwnerRedirects
}

// followRedirect follows the pool to another owner.
func (f *ownerSearch) followRedirect(from, to string) {
	f.redirects++
	if from != f.s.settings.VM {
		f.notOwners = append(f.notOwners, from)
	}
	f.s.gossip.recordOwnership(f.pool, to, from)
}

// recordUnresponsive notes that a VM did not answer.
func (f *ownerSearch) recordUnresponsive(name string) {
	f.unresponsive = append(f.unresponsive, name)
	f.s.gossip.markUnresponsive(name)
}

// runStage runs one stage at the owner of its pool, or at the next one if the owner does not
// answer.
func (t *transaction) runStage(ctx context.Context, stage, level int, inputs, inputPools []string) stageResult {
	s, pool := t.s, t.route.Stages[stage].Pool
	job := t.stageJob(stage, level, inputs)
	search := &ownerSearch{s: s, pool: pool}
	for !search.isExhausted() {
		owner := s.gossip.owner(pool)
		began := s.now()
		result, err := s.runStageAt(ctx, owner, job, inputPools, search)
		switch {
		case err == nil && result.refusal == stagepool.OwnerChanged:
			search.followRedirect(owner.Name, result.owner)
		case err == nil:
			s.logger.Info("stage ended", zap.String("request", t.call.ID), zap.Int("stage", stage), zap.String("pool", pool),
				zap.String("owner", owner.Name), zap.Int("pieces", job.Pieces), zap.String("refusal", refusalNames[result.refusal]),
				zap.Duration("took", s.now().Sub(began)), zap.Duration("due", job.Due.Sub(began)), zap.Duration("limit", job.Deadline.Sub(began)))
			return result
		case ctx.Err() != nil:
			return stageResult{refusal: stagepool.Overloaded}
		default:
			search.recordUnresponsive(owner.Name)
			s.logger.Warn("owner of a pool lost", zap.String("request", t.call.ID), zap.String("pool", pool),
				zap.String("owner", owner.Name), zap.Int("lost", len(search.unresponsive)), zap.Duration("waited", s.now().Sub(began)), obs.Reason(err))
		}
	}
	return stageResult{refusal: stagepool.Failed}
}

// stageJob describes a stage to the owner of its pool.
func (t *transaction) stageJob(stage, level int, inputs []string) stagepool.Job {
	after := t.timeAfterStage(level)
	job := stagepool.Job{
		Request: t.call.ID, Stage: stage, Pieces: t.pieces(stage), Inputs: inputs, ResultBytes: t.route.Stages[stage].ResultBytes,
		Zone: t.preferredZone(stage, inputs), Due: t.stageDue(level), Deadline: min(t.due.Add(maxExpectedLateness), t.deadline).Add(-after),
	}
	if len(inputs) == 0 {
		job.Key = t.call.ContentKey
	}
	return job
}

// stageDue returns when a stage of the level should be done.
func (t *transaction) stageDue(level int) clock.Instant { return t.due.Add(-t.timeAfterStage(level)) }

// timeAfterStage returns the time that what follows a stage of the level takes.
func (t *transaction) timeAfterStage(level int) time.Duration {
	return finalCallReserve + time.Duration(level-1)*t.longestBatchTime()
}

// longestBatchTime returns the typical time of one stage of the request.
func (t *transaction) longestBatchTime() time.Duration {
	longest := time.Duration(0)
	for _, stage := range t.route.Stages {
		if pool := t.view.Catalog.Pools[stage.Pool]; pool != nil && pool.Batch != nil {
			longest = max(longest, pool.Batch.CallTime+time.Duration(pool.Batch.MaxPieces)*pool.Batch.PieceTime)
		}
	}
	return longest
}

// runStageAt runs a job at a VM. An error means that the VM could not be asked.
func (s *Server) runStageAt(ctx context.Context, entry fleet.Entry, job stagepool.Job, inputPools []string, search *ownerSearch) (stageResult, error) {
	if entry.Name == s.settings.VM {
		s.gossip.claim(search.pool)
		return s.poolRunner(search.pool).runJob(ctx, job, s.inputReleaser(job.Inputs, inputPools)), nil
	}
	now := s.now()
	request := &hoistv1.RunStageRequest{
		Request: job.Request, Pool: search.pool, Stage: uint32(job.Stage), Pieces: uint32(job.Pieces), Key: job.Key, Inputs: job.Inputs,
		DueMs: job.Due.Sub(now).Milliseconds(), LimitMs: job.Deadline.Sub(now).Milliseconds(), ResultBytes: uint64(job.ResultBytes),
		Zone: job.Zone, InputPools: inputPools, Lost: search.unresponsive, NotOwners: search.notOwners,
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
			owner:      response.GetOwner(),
		}
		return nil
	})
	return result, err
}

// inputReleaser returns what releases the inputs of a job once they have been read, or nil
// if their pools are not known.
func (s *Server) inputReleaser(inputs, pools []string) func() {
	if len(inputs) == 0 || len(pools) != len(inputs) {
		return nil
	}
	return func() {
		byPool := map[string][]string{}
		for i, handle := range inputs {
			byPool[pools[i]] = append(byPool[pools[i]], handle)
		}
		for pool, handles := range byPool {
			s.releaseResults(pool, handles)
		}
	}
}

// releaseResults frees results at the owner of their pool, without waiting.
func (s *Server) releaseResults(pool string, handles []string) {
	if len(handles) == 0 {
		return
	}
	owner := s.gossip.owner(pool)
	if owner.Name == s.settings.VM {
		s.poolRunner(pool).release(handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		err := s.peers.call(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) error {
			_, err := client.Release(ctx, &hoistv1.ReleaseRequest{Pool: pool, Handles: handles})
			return err
		})
		if err != nil && !errors.Is(err, context.Canceled) {
			s.logger.Info("release not delivered; released at the upstreams", zap.String("pool", pool), zap.String("owner", owner.Name), obs.Reason(err))
			s.poolRunner(pool).release(handles)
		}
	}()
}
