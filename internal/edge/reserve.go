package edge

import (
	"math/rand/v2"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// admissionMargin is how long before the end of its objective a request must be expected to be
	// answered when it arrives. Under overload, the pools take longer than they expect, since not
	// all batches are full, and a request that ends late has taken the place of another one.
	admissionMargin = 100 * time.Millisecond
	// spillWaitDivisor sets when other shards are asked: if a stage is expected to wait longer than a
	// full call divided by it, or to end less than that before it is due. maxSpillShards is how
	// many are asked, and spillGainDivisor how much sooner one of them must be, as a part of a full
	// call, since the results may have to cross zones.
	spillWaitDivisor = 2
	maxSpillShards   = 2
	spillGainDivisor = 4
	// minAdmissionRetryDelay and admissionRetryJitter set the delay after which a refused caller
	// should retry. A burst lasts seconds, and callers that retry together would cause the next
	// one. A caller with more time left waits for a fraction of that time: its answer will be late
	// in any case, and a second refusal would be worse than the wait.
	minAdmissionRetryDelay = time.Second
	admissionRetryDivisor  = 4
	admissionRetryJitter   = 2 * time.Second
)

// reservation identifies a stage for which capacity is reserved in a shard.
type reservation struct {
	shard fleet.Resource
	id    stagepool.StageID
}

// reserveStages reserves capacity for all stages of the request at their pools, and refuses the
// request on arrival if it is not expected to end on time. The pools then waste no work on it,
// and its caller can retry early.
func (t *transaction) reserveStages() *errkind.Error {
	levels := t.route.Levels()
	levelStart := t.s.now()
	var reserved []reservation
	t.levelDues, t.shards, t.stagesPausedUntil = nil, make([]string, len(t.route.Stages)), 0
	expectedEnds := make([]clock.Instant, maxLevel(levels)+1)
	for level := maxLevel(levels); level > 0; level-- {
		levelEnd := levelStart
		for stage := range t.route.Stages {
			if levels[stage] != level || t.pieces(stage) == 0 {
				continue
			}
			if shard, expected := t.reserveStage(stage, level, levelStart); shard != nil {
				reserved = append(reserved, reservation{shard: shard.resource(), id: stagepool.StageID{Request: t.requestInfo.ID, Stage: stage}})
				levelEnd = max(levelEnd, expected)
			}
		}
		levelStart, expectedEnds[level] = levelEnd, levelEnd
	}
	t.levelDues = stagepool.SpreadSlack(expectedEnds, t.due.Add(-t.finalCallTime()))
	excess := levelStart.Add(t.finalCallTime()).Sub(t.admissionLimit())
	isPaused := t.stagesPausedUntil != 0 && !t.mayHaveRun
	if excess <= 0 && !isPaused {
		return nil
	}
	t.s.cancelReservations(reserved)
	if isPaused {
		t.refuseUntil(t.stagesPausedUntil)
		return t.newError(errkind.Overloaded, "each upstream of a stage asks for no traffic")
	}
	t.retryAfter = t.admissionRetryDelay(excess)
	return t.newError(errkind.Overloaded, "the stages would take "+levelStart.Sub(t.s.now()).String())
}

// admissionRetryDelay returns the delay after which the caller of a refused request should retry. The
// excess is the time by which the request would have been late.
func (t *transaction) admissionRetryDelay(excess time.Duration) time.Duration {
	return max(excess+minAdmissionRetryDelay, t.remaining()/admissionRetryDivisor) + rand.N(admissionRetryJitter)
}

// admissionLimit returns the latest expected end with which the request is admitted. Once an upstream
// may have run it, its caller cannot safely send it again, so only its deadline counts. The objective of a
// resumed stream was that of its first event.
func (t *transaction) admissionLimit() clock.Instant {
	if t.mayHaveRun || t.isResumed {
		return t.deadline
	}
	return min(t.due.Add(-admissionMargin), t.deadline)
}

func maxLevel(levels []int) int {
	highest := 0
	for _, level := range levels {
		highest = max(highest, level)
	}
	return highest
}

// reserveStage reserves capacity for a stage in a shard of its pool, and returns the shard and when
// the stage is expected to be done. The shard is nil if its owner did not respond or has changed.
//
// The shard is that of the zone in which the stage belongs. If the stage would wait there, or hardly
// be in time, the best of that and some others is used: load differs between zones, and the shards
// of a zone that has lost upstreams are overloaded while others are not.
func (t *transaction) reserveStage(stage, level int, arrives clock.Instant) (*poolShard, clock.Instant) {
	view := t.s.view.Load()
	chosen := t.s.chooseShard(view, t.route.Stages[stage].Pool, t.reserveZone(stage), t.requestInfo.ID)
	if chosen == nil {
		return nil, 0
	}
	t.shards[stage] = chosen.Name
	r := stagepool.Reservation{
		StageID: stagepool.StageID{Request: t.requestInfo.ID, Stage: stage}, Pieces: t.pieces(stage), ResultBytes: t.route.Stages[stage].ResultBytes,
		Arrives: arrives, Due: t.stageDue(level), Priority: t.stagePriority(),
	}
	first, ok := t.s.reserveAt(t.ctx, chosen, r)
	if !ok {
		return nil, 0
	}
	expected := first.end
	fullCall := chosen.batch.CallTime + time.Duration(chosen.batch.MaxPieces)*chosen.batch.PieceTime
	maxWait := fullCall / spillWaitDivisor
	if first.pausedUntil == 0 && !expected.After(min(r.Due.Add(-maxWait), arrives.Add(fullCall+maxWait))) {
		return chosen, expected
	}
	best := first
	var unused []reservation
	for _, offer := range t.reserveAtAll(t.s.otherShards(view, chosen, maxSpillShards), r) {
		worse := offer
		if offer.isBetter(best, fullCall/spillGainDivisor) {
			best, worse = offer, best
		}
		unused = append(unused, reservation{shard: worse.shard.resource(), id: r.StageID})
	}
	t.shards[stage] = best.shard.Name
	t.stagesPausedUntil = max(t.stagesPausedUntil, best.pausedUntil)
	t.s.cancelReservations(unused)
	return best.shard, best.end
}

// shardOffer says when a shard expects a reserved stage to be done.
type shardOffer struct {
	shard *poolShard
	end   clock.Instant
	// pausedUntil is when the shard may start the stage at the earliest, if all of its upstreams ask
	// for no traffic when the stage arrives; 0 otherwise.
	pausedUntil clock.Instant
}

// isBetter reports whether the offer is to be taken rather than another one: that is paused and this
// one is not, or ends later by more than the gain.
func (o shardOffer) isBetter(other shardOffer, gain time.Duration) bool {
	if (o.pausedUntil == 0) != (other.pausedUntil == 0) {
		return o.pausedUntil == 0
	}
	return o.end.Add(gain).Before(other.end)
}

// reserveAtAll reserves capacity for a stage in all of the shards at the same time, and returns the
// responses.
func (t *transaction) reserveAtAll(shards []*poolShard, r stagepool.Reservation) []shardOffer {
	responses := askAll(t.s.contain, "reservation", shards, func(shard *poolShard) *shardOffer {
		offer, ok := t.s.reserveAt(t.ctx, shard, r)
		if !ok {
			return nil
		}
		return &offer
	})
	var offers []shardOffer
	for range shards {
		if offer := <-responses; offer != nil {
			offers = append(offers, *offer)
		}
	}
	return offers
}

// reserveZone returns the zone in which a stage belongs before its inputs exist: for large inputs
// that of the shard which makes them.
func (t *transaction) reserveZone(stage int) string {
	definition := t.route.Stages[stage]
	if len(definition.DependsOn) == 0 {
		return t.preferredZone(stage, nil)
	}
	if t.inputBytes(stage) < minZoneTransferBytes {
		return ""
	}
	if shard := t.s.view.Load().Shards[t.shards[definition.DependsOn[0]]]; shard != nil {
		return shard.Zone
	}
	return ""
}
