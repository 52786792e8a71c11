package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// handOverTimeout bounds passing a pool to its next owner. Without the message the next
// owner learns the same from its calls.
const handOverTimeout = 500 * time.Millisecond

// handOverPools passes the pools that other VMs own now to these.
func (s *Server) handOverPools() {
	s.ownersMu.Lock()
	owners := make([]*owner, 0, len(s.owners))
	for _, o := range s.owners {
		owners = append(owners, o)
	}
	s.ownersMu.Unlock()
	for _, o := range owners {
		ranking := s.gossip.owners(o.pool)
		if len(ranking) == 0 {
			continue
		}
		if ranking[0].Name == s.settings.VM {
			o.setOwning(true)
			continue
		}
		if !o.setOwning(false) {
			continue
		}
		states := o.yield()
		next := ranking[0]
		s.logger.Info("pool handed over", zap.String("pool", o.pool), zap.String("owner", next.Name), zap.Int("upstreams", len(states)))
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
			defer cancel()
			request := &hoistv1.HandOverRequest{Pool: o.pool, Upstreams: fromStates(states)}
			err := s.peers.callUnwatched(ctx, next, func(ctx context.Context, client hoistv1.FleetClient) error {
				_, err := client.HandOver(ctx, request)
				return err
			})
			if err != nil {
				s.logger.Warn("state of a pool not handed over", zap.String("pool", o.pool), zap.String("owner", next.Name), obs.Reason(err))
			}
		}()
	}
}

// HandOver takes over what the owner of a pool before this VM knew.
func (f fleetServer) HandOver(_ context.Context, r *hoistv1.HandOverRequest) (*hoistv1.HandOverResponse, error) {
	f.s.logger.Info("pool taken over", zap.String("pool", r.GetPool()), zap.Int("upstreams", len(r.GetUpstreams())))
	f.s.owner(r.GetPool()).takeOver(toStates(r.GetUpstreams()))
	return &hoistv1.HandOverResponse{}, nil
}

// setOwning records whether this VM is the first in the ranking of the pool, and returns
// what was recorded before.
func (o *owner) setOwning(owning bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.owning
	o.owning = owning
	return before
}

func (o *owner) yield() []stagepool.UpstreamState {
	o.mu.Lock()
	defer o.mu.Unlock()
	states := o.core.Yield(o.now())
	o.drive()
	return states
}

func (o *owner) takeOver(states []stagepool.UpstreamState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.TakeOver(o.now(), states)
	o.drive()
}

func fromStates(states []stagepool.UpstreamState) []*hoistv1.UpstreamState {
	out := make([]*hoistv1.UpstreamState, 0, len(states))
	for _, state := range states {
		m := &hoistv1.UpstreamState{Id: state.ID, FreeInMs: state.FreeIn.Milliseconds(), Slowness: state.Slowness, ReservedBytes: uint64(max(state.Reserved, 0))}
		for _, result := range state.Results {
			m.Results = append(m.Results, &hoistv1.HeldResult{
				Handle: result.Handle, Bytes: uint64(max(result.Bytes, 0)), ExpiresInMs: result.ExpiresIn.Milliseconds(),
			})
		}
		out = append(out, m)
	}
	return out
}

func toStates(states []*hoistv1.UpstreamState) []stagepool.UpstreamState {
	out := make([]stagepool.UpstreamState, 0, len(states))
	for _, m := range states {
		state := stagepool.UpstreamState{
			ID: m.GetId(), FreeIn: time.Duration(m.GetFreeInMs()) * time.Millisecond, Slowness: m.GetSlowness(),
			Reserved: int64(m.GetReservedBytes()),
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
