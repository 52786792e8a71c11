package edge

import (
	"context"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// Names of refusals between VMs.
var refusalNames = [...]string{
	stagepool.NoRefusal: "", stagepool.Overloaded: "overloaded", stagepool.InputsMissing: "inputs_gone",
	stagepool.Failed: "failed", stagepool.NoUpstream: "no_upstream", stagepool.OwnerChanged: "moved",
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
	if owner, isOwn := f.s.claimOrRedirect(ctx, r.GetPool(), r.GetLost(), r.GetNotOwners()); !isOwn {
		return &hoistv1.RunStageResponse{Refusal: refusalNames[stagepool.OwnerChanged], Owner: owner}, nil
	}
	now := f.s.now()
	job := stagepool.Job{
		Request: r.GetRequest(), Stage: int(r.GetStage()), Pieces: int(r.GetPieces()), Key: r.GetKey(), Inputs: r.GetInputs(),
		ResultBytes: int64(r.GetResultBytes()), Zone: r.GetZone(),
		Due: now.Add(time.Duration(r.GetDueMs()) * time.Millisecond), Deadline: now.Add(time.Duration(r.GetLimitMs()) * time.Millisecond),
	}
	result := f.s.poolRunner(r.GetPool()).runJob(ctx, job, f.s.inputReleaser(job.Inputs, r.GetInputPools()))
	return &hoistv1.RunStageResponse{
		Handles: result.handles, Refusal: refusalNames[result.refusal], RetryAfterMs: result.retryAfter.Milliseconds(),
		Owner: result.owner,
	}, nil
}

// Release frees results of this VM's owner of the pool.
func (f fleetServer) Release(_ context.Context, r *hoistv1.ReleaseRequest) (*hoistv1.ReleaseResponse, error) {
	f.s.poolRunner(r.GetPool()).release(r.GetHandles())
	return &hoistv1.ReleaseResponse{}, nil
}

// Ping answers at once.
func (f fleetServer) Ping(context.Context, *hoistv1.PingRequest) (*hoistv1.PingResponse, error) {
	return &hoistv1.PingResponse{}, nil
}

// Pull returns the published items that are newer than the requester's.
func (f fleetServer) Pull(ctx context.Context, r *hoistv1.PullRequest) (*hoistv1.PullResponse, error) {
	begun := f.s.now()
	o := f.s.follower.share(ctx, r.GetRevision(), min(time.Duration(r.GetWaitMs())*time.Millisecond, pullWait))
	response := &hoistv1.PullResponse{
		Complete: o.complete, Unchanged: o.unchanged, Revision: o.revision, AgeMs: o.age.Milliseconds() + 1, Keys: o.keys,
		HeldMs: f.s.now().Sub(begun).Milliseconds(), Lost: o.lost,
	}
	for _, item := range o.items {
		response.Items = append(response.Items, &hoistv1.PublishedItem{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return response, nil
}
