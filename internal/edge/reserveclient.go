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

// reserveTimeout bounds one reservation call. Without a response the request continues: the
// pool decides again when the stage is submitted.
const reserveTimeout = 100 * time.Millisecond

// reserveAt reserves capacity for a stage at the owner of a shard, and returns when the stage is
// expected to be done. It returns false if the owner did not respond or has changed.
func (s *Server) reserveAt(ctx context.Context, shard *poolShard, r stagepool.Reservation) (shardOffer, bool) {
	owner := s.gossip.owner(shard.resource())
	if owner.Name == s.settings.VM {
		runner := s.poolRunner(shard.Name)
		if runner == nil {
			return shardOffer{}, false
		}
		end, pausedUntil := runner.reserve(r)
		return shardOffer{shard: shard, end: end, pausedUntil: pausedUntil}, true
	}
	now, requestCtx := s.now(), ctx
	request := &hoistv1.ReserveRequest{
		Pool: shard.Name, Request: r.Request, Stage: uint32(r.Stage), Pieces: uint32(r.Pieces), ResultBytes: uint64(r.ResultBytes),
		ArrivesMs: r.Arrives.Sub(now).Milliseconds(), DueMs: r.Due.Sub(now).Milliseconds(),
		Priority: uint32(max(r.Priority, 0)),
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var response *hoistv1.ReserveResponse
	err := s.peers.call(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.Reserve(ctx, request)
		return err
	})
	if err == nil || requestCtx.Err() == nil {
		s.reservationResponses.record(s.now(), owner, err == nil)
	}
	if err != nil {
		s.logger.Info("failed to reserve a stage", zap.String("request", r.Request), zap.String("pool", shard.Name),
			zap.String("owner", owner.Name), obs.ErrorField(err))
		return shardOffer{}, false
	}
	if response.GetOwner() != "" {
		s.gossip.recordRedirect(shard.Name, owner.Name, redirectFromProto(response.GetOwner(), response.GetOwnerEntry()))
		return shardOffer{}, false
	}
	now = s.now()
	return shardOffer{
		shard: shard, end: now.Add(time.Duration(response.GetEndMs()) * time.Millisecond), pausedUntil: pauseFromProto(now, response.GetPausedMs()),
	}, true
}

// cancelReservations cancels reservations without waiting for the responses.
func (s *Server) cancelReservations(reservations []reservation) {
	for _, r := range reservations {
		owner := s.gossip.owner(r.shard)
		if owner.Name == s.settings.VM {
			if runner := s.poolRunner(r.shard.Name); runner != nil {
				runner.cancelReservation(r.id)
			}
			continue
		}
		go s.cancelReservationAt(owner, r)
	}
}

func (s *Server) cancelReservationAt(owner fleet.Entry, r reservation) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	err := s.peers.call(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) error {
		_, err := client.Reserve(ctx, &hoistv1.ReserveRequest{Pool: r.shard.Name, Request: r.id.Request, Stage: uint32(r.id.Stage), Cancel: true})
		return err
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		s.logger.Info("failed to cancel a reservation; it will expire", zap.String("request", r.id.Request), zap.String("pool", r.shard.Name), obs.ErrorField(err))
	}
}

// Reserve reserves capacity for a stage of a shard that this VM owns, or cancels the reservation.
// If another VM owns the shard, it returns that VM.
func (f fleetServer) Reserve(_ context.Context, r *hoistv1.ReserveRequest) (*hoistv1.ReserveResponse, error) {
	if owner := f.s.gossip.owner(f.s.resourceOf(r.GetPool())); owner.Name != f.s.settings.VM {
		return &hoistv1.ReserveResponse{Owner: owner.Name, OwnerEntry: entryToProto(owner)}, nil
	}
	if !r.GetCancel() && !isPieceCount(int64(r.GetPieces())) {
		return nil, errPieceCount
	}
	runner, now := f.s.poolRunner(r.GetPool()), f.s.now()
	if runner == nil {
		return nil, errUnknownShard
	}
	id := stagepool.StageID{Request: r.GetRequest(), Stage: int(r.GetStage())}
	if r.GetCancel() {
		runner.cancelReservation(id)
		return &hoistv1.ReserveResponse{}, nil
	}
	end, pausedUntil := runner.reserve(stagepool.Reservation{
		StageID: id, Pieces: int(r.GetPieces()), ResultBytes: int64(r.GetResultBytes()), Priority: int(r.GetPriority()),
		Arrives: now.Add(time.Duration(r.GetArrivesMs()) * time.Millisecond), Due: now.Add(time.Duration(r.GetDueMs()) * time.Millisecond),
	})
	return &hoistv1.ReserveResponse{EndMs: end.Sub(now).Milliseconds(), PausedMs: pauseToProto(now, pausedUntil)}, nil
}

// reserve reserves capacity for a stage, and returns when it is expected to be done. If all upstreams
// ask for no traffic when the stage arrives, it also returns the earliest end of that.
func (r *poolRunner) reserve(reservation stagepool.Reservation) (end, pausedUntil clock.Instant) {
	r.locked(func() {
		now := r.now()
		end = r.scheduler.Reserve(now, reservation)
		if until, blocked := r.signals.poolBlock(now, r.entries); blocked && until > reservation.Arrives {
			pausedUntil = until
		}
	})
	return end, pausedUntil
}

func (r *poolRunner) cancelReservation(id stagepool.StageID) {
	r.locked(func() { r.scheduler.CancelReservation(id) })
}
