package edge

import (
	"context"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// Names of refusals between VMs.
var refusalNames = [...]string{
	stagepool.None: "", stagepool.Overloaded: "overloaded", stagepool.InputsGone: "inputs_gone",
	stagepool.Failed: "failed", stagepool.NoUpstream: "no_upstream",
}

// refusalOf returns the refusal with the name; a name of a later version counts as failed.
func refusalOf(name string) stagepool.Refusal {
	for refusal, known := range refusalNames {
		if known == name {
			return stagepool.Refusal(refusal)
		}
	}
	return stagepool.Failed
}

// fleetServer serves the other VMs.
type fleetServer struct {
	hoistv1.UnimplementedFleetServer
	s *Server
}

// RunStage runs a stage at this VM's owner of the pool.
func (f fleetServer) RunStage(ctx context.Context, r *hoistv1.RunStageRequest) (*hoistv1.RunStageResponse, error) {
	now := f.s.now()
	job := stagepool.Job{
		Request: r.GetRequest(), Stage: int(r.GetStage()), Pieces: int(r.GetPieces()), Key: r.GetKey(), Inputs: r.GetInputs(),
		ResultBytes: int64(r.GetResultBytes()), Zone: r.GetZone(),
		Due: now.Add(time.Duration(r.GetDueMs()) * time.Millisecond), Limit: now.Add(time.Duration(r.GetLimitMs()) * time.Millisecond),
	}
	result := f.s.owner(r.GetPool()).run(ctx, job, f.s.releaseRead(job.Inputs, r.GetInputPools()))
	return &hoistv1.RunStageResponse{
		Handles: result.handles, Refusal: refusalNames[result.refusal], RetryAfterMs: result.retryAfter.Milliseconds(),
	}, nil
}

// Release frees results of this VM's owner of the pool.
func (f fleetServer) Release(_ context.Context, r *hoistv1.ReleaseRequest) (*hoistv1.ReleaseResponse, error) {
	f.s.owner(r.GetPool()).release(r.GetHandles())
	return &hoistv1.ReleaseResponse{}, nil
}

// Ping answers at once.
func (f fleetServer) Ping(context.Context, *hoistv1.PingRequest) (*hoistv1.PingResponse, error) {
	return &hoistv1.PingResponse{}, nil
}

// Pull returns the published items that are newer than the requester's.
func (f fleetServer) Pull(_ context.Context, r *hoistv1.PullRequest) (*hoistv1.PullResponse, error) {
	changed, keys, revision, age, complete := f.s.follower.share(r.GetRevision())
	response := &hoistv1.PullResponse{Complete: complete, Revision: revision, AgeMs: age.Milliseconds() + 1, Keys: keys}
	for _, item := range changed {
		response.Items = append(response.Items, &hoistv1.PublishedItem{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return response, nil
}

// pullLoop asks peers for the published items while the store cannot be read.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, pullInterval)
		s.follower.tick()
		if age, complete := s.follower.age(); complete && age < staleAge {
			continue
		}
		s.pull(ctx)
	}
}

func (s *Server) pull(ctx context.Context) {
	reachable := s.gossip.reachable()
	for range min(pullPeers, len(reachable)) {
		i := s.random.IntN(len(reachable))
		entry := reachable[i]
		reachable = append(reachable[:i], reachable[i+1:]...)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pullInterval)
			defer cancel()
			s.pullFrom(ctx, entry)
		}()
	}
}

func toItems(items []*hoistv1.PublishedItem) []replica.Item {
	out := make([]replica.Item, 0, len(items))
	for _, item := range items {
		out = append(out, replica.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision()})
	}
	return out
}
