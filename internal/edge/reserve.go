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
	// reserveTimeout bounds one reservation. Without its answer the request goes on: the pool
	// decides again when the stage is submitted.
	reserveTimeout = 100 * time.Millisecond
	// admissionSlack is how far beyond its objective a request may be expected to end at its
	// arrival. Estimates are too long as often as too short.
	admissionSlack = 250 * time.Millisecond
	// minAdmissionRetryDelay and returnSpread are the time after which a refused caller should come back:
	// a burst lasts seconds, and callers that come back together are the next one.
	minAdmissionRetryDelay = time.Second
	admissionRetryJitter   = 2 * time.Second
)

// reservation is a stage that a pool expects.
type reservation struct {
	pool string
	id   stagepool.StageID
}

// reserveStages asks all pools on the way of the request when its stages would be done, and refuses
// it at its arrival if it could not be on time. No pool then works for it in vain, and its
// caller can come back early.
func (t *transaction) reserveStages() *errkind.Error {
	levels := t.route.Levels()
	begin := t.s.now()
	var made []reservation
	for level := maxLevel(levels); level > 0; level-- {
		end := begin
		for stage := range t.route.Stages {
			if levels[stage] != level || t.pieces(stage) == 0 {
				continue
			}
			expected, ok := t.reserveStage(stage, level, begin)
			if !ok {
				continue
			}
			made = append(made, reservation{pool: t.route.Stages[stage].Pool, id: stagepool.StageID{Request: t.call.ID, Stage: stage}})
			end = max(end, expected)
		}
		begin = end
	}
	excess := begin.Add(finalCallReserve).Sub(min(t.due.Add(admissionSlack), t.deadline))
	if excess <= 0 {
		return nil
	}
	t.s.cancelReservations(made)
	t.retryHint = excess + minAdmissionRetryDelay + rand.N(admissionRetryJitter)
	return t.newError(errkind.Overloaded, "the stages would take "+begin.Sub(t.s.now()).String())
}

func maxLevel(levels []int) int {
	top := 0
	for _, level := range levels {
		top = max(top, level)
	}
	return top
}

// reserveStage tells the owner of a stage's pool that the stage will arrive, and returns when it
// would be done. It is false if the owner did not answer.
func (t *transaction) reserveStage(stage, level int, arrives clock.Instant) (clock.Instant, bool) {
	s, definition := t.s, t.route.Stages[stage]
	r := stagepool.Reservation{
		StageID: stagepool.StageID{Request: t.call.ID, Stage: stage}, Pieces: t.pieces(stage), ResultBytes: definition.ResultBytes,
		Arrives: arrives, Due: t.stageDue(level),
	}
	owner := s.gossip.owner(definition.Pool)
	if owner.Name == s.settings.VM {
		return s.poolRunner(definition.Pool).reserve(r), true
	}
	now := s.now()
	request := &hoistv1.ReserveRequest{
		Pool: definition.Pool, Request: r.Request, Stage: uint32(stage), Pieces: uint32(r.Pieces), ResultBytes: uint64(r.ResultBytes),
		ArrivesMs: r.Arrives.Sub(now).Milliseconds(), DueMs: r.Due.Sub(now).Milliseconds(),
	}
	ctx, cancel := context.WithTimeout(t.ctx, reserveTimeout)
	defer cancel()
	var response *hoistv1.ReserveResponse
	err := s.peers.call(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.Reserve(ctx, request)
		return err
	})
	if err != nil {
		s.logger.Info("stage not reserved", zap.String("request", t.call.ID), zap.String("pool", definition.Pool),
			zap.String("owner", owner.Name), obs.Reason(err))
		return 0, false
	}
	if other := response.GetOwner(); other != "" {
		s.gossip.recordOwnership(definition.Pool, other, owner.Name)
		return 0, false
	}
	return s.now().Add(time.Duration(response.GetEndMs()) * time.Millisecond), true
}

// cancelReservations takes reservations back, without waiting.
func (s *Server) cancelReservations(made []reservation) {
	for _, r := range made {
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
				s.logger.Info("reservation not taken back; it ends by itself", zap.String("request", r.id.Request), zap.String("pool", r.pool), obs.Reason(err))
			}
		}()
	}
}

// Reserve counts a stage that will be run here, or forgets it.
func (f fleetServer) Reserve(_ context.Context, r *hoistv1.ReserveRequest) (*hoistv1.ReserveResponse, error) {
	if owner := f.s.gossip.owner(r.GetPool()); owner.Name != f.s.settings.VM {
		return &hoistv1.ReserveResponse{Owner: owner.Name}, nil
	}
	o, now := f.s.poolRunner(r.GetPool()), f.s.now()
	id := stagepool.StageID{Request: r.GetRequest(), Stage: int(r.GetStage())}
	if r.GetCancel() {
		o.cancelReservation(id)
		return &hoistv1.ReserveResponse{}, nil
	}
	end := o.reserve(stagepool.Reservation{
		StageID: id, Pieces: int(r.GetPieces()), ResultBytes: int64(r.GetResultBytes()),
		Arrives: now.Add(time.Duration(r.GetArrivesMs()) * time.Millisecond), Due: now.Add(time.Duration(r.GetDueMs()) * time.Millisecond),
	})
	return &hoistv1.ReserveResponse{EndMs: end.Sub(now).Milliseconds()}, nil
}

func (o *poolRunner) reserve(r stagepool.Reservation) clock.Instant {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.Reserve(o.now(), r)
}

func (o *poolRunner) cancelReservation(id stagepool.StageID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.Unreserve(id)
}
