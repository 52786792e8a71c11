package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// handOverTimeout bounds the message that hands a pool over to its new owner. If it is lost, the
// new owner learns the state from its own calls.
const handOverTimeout = 500 * time.Millisecond

// handOver sends the state of a pool that this VM owned to the VM that owns it now.
func (s *Server) handOver(pool string, newOwner fleet.Entry) {
	s.poolRunnersMu.Lock()
	runner := s.poolRunners[pool]
	s.poolRunnersMu.Unlock()
	if runner == nil || newOwner.Name == "" || newOwner.Name == s.settings.VM {
		return
	}
	give := runner.handOverTo
	if s.partition.isPartitioned() {
		give = runner.abandonTo
	}
	states := give(newOwner)
	s.logger.Info("pool handed over", zap.String("pool", pool), zap.String("owner", newOwner.Name), zap.Int("upstreams", len(states)))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		request := &hoistv1.HandOverRequest{Pool: pool, Upstreams: upstreamStatesToProto(states), From: s.settings.VM}
		err := s.peers.callWithoutPing(ctx, newOwner, func(ctx context.Context, client hoistv1.FleetClient) error {
			_, err := client.HandOver(ctx, request)
			return err
		})
		if err != nil {
			s.logger.Warn("failed to hand over the state of a pool", zap.String("pool", pool), zap.String("owner", newOwner.Name), obs.ErrorField(err))
		}
	}()
}

// HandOver makes this VM the owner of a pool and applies the state that the previous owner sent.
func (f fleetServer) HandOver(_ context.Context, r *hoistv1.HandOverRequest) (*hoistv1.HandOverResponse, error) {
	f.s.logger.Info("pool taken over", zap.String("pool", r.GetPool()), zap.Int("upstreams", len(r.GetUpstreams())))
	f.s.gossip.recordNotOwners(r.GetPool(), r.GetFrom())
	f.s.gossip.claim(r.GetPool())
	if runner := f.s.poolRunner(r.GetPool()); runner != nil {
		runner.takeOver(upstreamStatesFromProto(r.GetUpstreams()))
	}
	return &hoistv1.HandOverResponse{}, nil
}

// handOverTo gives the pool up to the new owner and returns the state to send to it.
func (r *poolRunner) handOverTo(newOwner fleet.Entry) []stagepool.UpstreamState {
	var states []stagepool.UpstreamState
	r.update(func() {
		r.newOwner = newOwner
		states = r.scheduler.HandOver(r.now())
	})
	return states
}

// takeOver applies the state that the previous owner sent.
func (r *poolRunner) takeOver(states []stagepool.UpstreamState) {
	r.update(func() { r.scheduler.TakeOver(r.now(), states) })
}

func upstreamStatesToProto(states []stagepool.UpstreamState) []*hoistv1.UpstreamState {
	out := make([]*hoistv1.UpstreamState, 0, len(states))
	for _, state := range states {
		m := &hoistv1.UpstreamState{Id: state.ID, FreeInMs: state.FreeIn.Milliseconds(), Slowness: state.Slowness, ReservedBytes: uint64(max(state.ReservedBytes, 0))}
		for _, result := range state.Results {
			m.Results = append(m.Results, &hoistv1.HeldResult{
				Handle: result.Handle, Bytes: uint64(max(result.Bytes, 0)), ExpiresInMs: result.ExpiresIn.Milliseconds(),
			})
		}
		out = append(out, m)
	}
	return out
}

func upstreamStatesFromProto(states []*hoistv1.UpstreamState) []stagepool.UpstreamState {
	out := make([]stagepool.UpstreamState, 0, len(states))
	for _, m := range states {
		state := stagepool.UpstreamState{
			ID: m.GetId(), FreeIn: time.Duration(m.GetFreeInMs()) * time.Millisecond, Slowness: m.GetSlowness(),
			ReservedBytes: int64(m.GetReservedBytes()),
		}
		for _, result := range m.GetResults() {
			state.Results = append(state.Results, stagepool.HeldResult{
				Handle: result.GetHandle(), Bytes: int64(result.GetBytes()), ExpiresIn: time.Duration(result.GetExpiresInMs()) * time.Millisecond,
			})
		}
		out = append(out, state)
	}
	return out
}
