package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// reserveTimeout bounds one reservation call. Without a response the request continues: the
	// pool decides again when the stage is submitted.
	reserveTimeout = 100 * time.Millisecond
	// admissionMargin is how long before the end of its objective a request must be expected to be
	// answered when it arrives. Under overload, the pools take longer than they expect, since not
	// all batches are full, and a request that ends late has taken the place of another one.
	admissionMargin = 100 * time.Millisecond
	// minAdmissionRetryDelay and admissionRetryJitter set the delay after which a refused caller
	// should retry. A burst lasts seconds, and callers that retry together would cause the next
	// one.
	minAdmissionRetryDelay = time.Second
	admissionRetryJitter   = 2 * time.Second
)

// reservation identifies a stage for which capacity is reserved at a pool.
type reservation struct {
	pool string
	id   stagepool.StageID
}

// reserveStages reserves capacity for all stages of the request at their pools, and refuses the
// request on arrival if it is not expected to end on time. The pools then waste no work on it,
// and its caller can retry early.
func (t *transaction) reserveStages() *errkind.Error {
	levels := t.route.Levels()
	levelStart := t.s.now()
	var reserved []reservation
	t.levelDues = nil
	expectedEnds := make([]clock.Instant, maxLevel(levels)+1)
	for level := maxLevel(levels); level > 0; level-- {
		levelEnd := levelStart
		for stage := range t.route.Stages {
			if levels[stage] != level || t.pieces(stage) == 0 {
				continue
			}
			expected, ok := t.reserveStage(stage, level, levelStart)
			if !ok {
				continue
			}
			reserved = append(reserved, reservation{pool: t.route.Stages[stage].Pool, id: stagepool.StageID{Request: t.requestInfo.ID, Stage: stage}})
			levelEnd = max(levelEnd, expected)
		}
		levelStart, expectedEnds[level] = levelEnd, levelEnd
	}
	t.levelDues = stagepool.SpreadSlack(expectedEnds, t.due.Add(-t.finalCallTime()))
	excess := levelStart.Add(t.finalCallTime()).Sub(min(t.due.Add(-admissionMargin), t.deadline))
	if excess <= 0 {
		return nil
	}
	t.s.cancelReservations(reserved)
	t.retryAfter = excess + minAdmissionRetryDelay + rand.N(admissionRetryJitter)
	return t.newError(errkind.Overloaded, "the stages would take "+levelStart.Sub(t.s.now()).String())
}

func maxLevel(levels []int) int {
	highest := 0
	for _, level := range levels {
		highest = max(highest, level)
	}
	return highest
}

// reserveStage reserves capacity for a stage at the owner of its pool, and returns when the stage
// is expected to be done. It returns false if the owner did not respond or has changed.
func (t *transaction) reserveStage(stage, level int, arrives clock.Instant) (clock.Instant, bool) {
	s, definition := t.s, t.route.Stages[stage]
	r := stagepool.Reservation{
		StageID: stagepool.StageID{Request: t.requestInfo.ID, Stage: stage}, Pieces: t.pieces(stage), ResultBytes: definition.ResultBytes,
		Arrives: arrives, Due: t.stageDue(level), Priority: t.priority(),
	}
	owner := s.gossip.owner(definition.Pool)
	if owner.Name == s.settings.VM {
		return s.poolRunner(definition.Pool).reserve(r), true
	}
	now := s.now()
	request := &hoistv1.ReserveRequest{
		Pool: definition.Pool, Request: r.Request, Stage: uint32(stage), Pieces: uint32(r.Pieces), ResultBytes: uint64(r.ResultBytes),
		ArrivesMs: r.Arrives.Sub(now).Milliseconds(), DueMs: r.Due.Sub(now).Milliseconds(),
		Priority: uint32(max(r.Priority, 0)),
	}
	ctx, cancel := context.WithTimeout(t.ctx, reserveTimeout)
	defer cancel()
	var response *hoistv1.ReserveResponse
	err := s.peers.call(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.Reserve(ctx, request)
		return err
	})
	if err != nil {
		s.logger.Info("failed to reserve a stage", zap.String("request", t.requestInfo.ID), zap.String("pool", definition.Pool),
			zap.String("owner", owner.Name), obs.ErrorField(err))
		return 0, false
	}
	if response.GetOwner() != "" {
		s.gossip.recordRedirect(definition.Pool, owner.Name, redirectFromProto(response.GetOwner(), response.GetOwnerEntry()))
		return 0, false
	}
	return s.now().Add(time.Duration(response.GetEndMs()) * time.Millisecond), true
}

// cancelReservations cancels reservations without waiting for the responses.
func (s *Server) cancelReservations(reservations []reservation) {
	for _, r := range reservations {
		owner := s.gossip.owner(r.pool)
		if owner.Name == s.settings.VM {
			s.poolRunner(r.pool).cancelReservation(r.id)
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
			defer cancel()
			err := s.peers.call(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) error {
				_, err := client.Reserve(ctx, &hoistv1.ReserveRequest{Pool: r.pool, Request: r.id.Request, Stage: uint32(r.id.Stage), Cancel: true})
				return err
			})
			if err != nil && !errors.Is(err, context.Canceled) {
				s.logger.Info("failed to cancel a reservation; it will expire", zap.String("request", r.id.Request), zap.String("pool", r.pool), obs.ErrorField(err))
			}
		}()
	}
}

// Reserve reserves capacity for a stage of a pool that this VM owns, or cancels the reservation.
// If another VM owns the pool, it returns that VM.
func (f fleetServer) Reserve(_ context.Context, r *hoistv1.ReserveRequest) (*hoistv1.ReserveResponse, error) {
	if owner := f.s.gossip.owner(r.GetPool()); owner.Name != f.s.settings.VM {
		return &hoistv1.ReserveResponse{Owner: owner.Name, OwnerEntry: entryToProto(owner)}, nil
	}
	if !r.GetCancel() && !isPieceCount(int64(r.GetPieces())) {
		return nil, errPieceCount
	}
	runner, now := f.s.poolRunner(r.GetPool()), f.s.now()
	id := stagepool.StageID{Request: r.GetRequest(), Stage: int(r.GetStage())}
	if r.GetCancel() {
		runner.cancelReservation(id)
		return &hoistv1.ReserveResponse{}, nil
	}
	end := runner.reserve(stagepool.Reservation{
		StageID: id, Pieces: int(r.GetPieces()), ResultBytes: int64(r.GetResultBytes()), Priority: int(r.GetPriority()),
		Arrives: now.Add(time.Duration(r.GetArrivesMs()) * time.Millisecond), Due: now.Add(time.Duration(r.GetDueMs()) * time.Millisecond),
	})
	return &hoistv1.ReserveResponse{EndMs: end.Sub(now).Milliseconds()}, nil
}

func (r *poolRunner) reserve(reservation stagepool.Reservation) clock.Instant {
	var end clock.Instant
	r.locked(func() { end = r.scheduler.Reserve(r.now(), reservation) })
	return end
}

func (r *poolRunner) cancelReservation(id stagepool.StageID) {
	r.locked(func() { r.scheduler.CancelReservation(id) })
}
