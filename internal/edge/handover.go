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

// handOverTimeout bounds passing a pool to its next owner. Without the message the next
// owner learns the same from its calls.
const handOverTimeout = 500 * time.Millisecond

// handOver passes a pool that this VM owned to the VM that owns it now.
func (s *Server) handOver(pool string, next fleet.Entry) {
	s.poolRunnersMu.Lock()
	o := s.poolRunners[pool]
	s.poolRunnersMu.Unlock()
	if o == nil || next.Name == "" || next.Name == s.settings.VM {
		return
	}
	states := o.handOverTo(next.Name)
	s.logger.Info("pool handed over", zap.String("pool", pool), zap.String("owner", next.Name), zap.Int("upstreams", len(states)))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		defer cancel()
		request := &hoistv1.HandOverRequest{Pool: pool, Upstreams: upstreamStatesToProto(states), From: s.settings.VM}
		err := s.peers.callUnwatched(ctx, next, func(ctx context.Context, client hoistv1.FleetClient) error {
			_, err := client.HandOver(ctx, request)
			return err
		})
		if err != nil {
			s.logger.Warn("state of a pool not handed over", zap.String("pool", pool), zap.String("owner", next.Name), obs.Reason(err))
		}
	}()
}

// HandOver takes over what the owner of a pool before this VM knew.
func (f fleetServer) HandOver(_ context.Context, r *hoistv1.HandOverRequest) (*hoistv1.HandOverResponse, error) {
	f.s.logger.Info("pool taken over", zap.String("pool", r.GetPool()), zap.Int("upstreams", len(r.GetUpstreams())))
	f.s.gossip.recordOwnership(r.GetPool(), "", r.GetFrom())
	f.s.gossip.claim(r.GetPool())
	f.s.poolRunner(r.GetPool()).takeOver(upstreamStatesFromProto(r.GetUpstreams()))
	return &hoistv1.HandOverResponse{}, nil
}

func (o *poolRunner) handOverTo(next string) []stagepool.UpstreamState {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nextOwner = next
	states := o.scheduler.HandOver(o.now())
	o.applyDecisions()
	return states
}

func (o *poolRunner) takeOver(states []stagepool.UpstreamState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.TakeOver(o.now(), states)
	o.applyDecisions()
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
