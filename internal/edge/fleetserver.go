package edge

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// refusalNames are the names of refusals in messages between VMs.
var refusalNames = [...]string{
	stagepool.NoRefusal: "", stagepool.Overloaded: "overloaded", stagepool.InputsMissing: "inputs_gone",
	stagepool.Failed: "failed", stagepool.NoUpstream: "no_upstream", stagepool.OwnerChanged: "moved", stagepool.Paused: "paused",
}

// parseRefusal returns the refusal with the name. An unknown name, which a newer version may
// send, counts as Failed.
func parseRefusal(name string) stagepool.Refusal {
	for refusal, known := range refusalNames {
		if known == name {
			return stagepool.Refusal(refusal)
		}
	}
	return stagepool.Failed
}

// errPieceCount reports a call with a number of pieces that no request has.
var errPieceCount = status.Errorf(codes.InvalidArgument, "the number of pieces is not between 1 and %d", maxStagePieces)

// errUnknownShard reports a call for a shard that does not exist in this VM's tables.
var errUnknownShard = status.Error(codes.FailedPrecondition, "the shard is not known")

// fleetServer implements the gRPC service for other VMs.
type fleetServer struct {
	hoistv1.UnimplementedFleetServer
	s *Server
}

// RunStage runs a stage if this VM owns or claims the pool, and returns the owner otherwise.
func (f fleetServer) RunStage(ctx context.Context, r *hoistv1.RunStageRequest) (*hoistv1.RunStageResponse, error) {
	if !isPieceCount(int64(r.GetPieces())) {
		return nil, errPieceCount
	}
	if owner, isOwner := f.s.claimOrRedirect(ctx, f.s.resourceOf(r.GetPool()), r.GetLost(), r.GetNotOwners()); !isOwner {
		return &hoistv1.RunStageResponse{Refusal: refusalNames[stagepool.OwnerChanged], Owner: owner.Name, OwnerEntry: entryToProto(owner)}, nil
	}
	runner := f.s.poolRunner(r.GetPool())
	if runner == nil {
		// The requester's tables are newer, or older, and divide the pool in another way.
		return &hoistv1.RunStageResponse{Refusal: refusalNames[stagepool.OwnerChanged]}, nil
	}
	f.s.peerStages.Add(1)
	defer f.s.peerStages.Add(-1)
	now := f.s.now()
	job := stagepool.Job{
		Request: r.GetRequest(), Stage: int(r.GetStage()), Pieces: int(r.GetPieces()), Key: r.GetKey(), Inputs: r.GetInputs(), KeepInputs: r.GetKeepInputs(),
		ResultBytes: int64(r.GetResultBytes()), Zone: r.GetZone(), Priority: int(r.GetPriority()),
		Due: now.Add(time.Duration(r.GetDueMs()) * time.Millisecond), Deadline: now.Add(time.Duration(r.GetLimitMs()) * time.Millisecond),
	}
	result := runner.runJob(withSuspectOf(ctx, r), job, f.s.inputReleaser(job.Inputs, r.GetReleaseInputs() || len(r.GetInputPools()) > 0))
	response := &hoistv1.RunStageResponse{
		Handles: result.handles, Refusal: refusalNames[result.refusal], RetryAfterMs: result.retryAfter.Milliseconds(), Owner: result.owner.Name,
		MemoryShort: result.memoryShort, PausedMs: pauseToProto(f.s.now(), result.pausedUntil),
	}
	if result.owner.Address != "" {
		response.OwnerEntry = entryToProto(result.owner)
	}
	return response, nil
}

// Release releases results at the request of another VM, which regards this one as the owner of
// their pool.
func (f fleetServer) Release(_ context.Context, r *hoistv1.ReleaseRequest) (*hoistv1.ReleaseResponse, error) {
	if runner := f.s.poolRunner(r.GetPool()); runner != nil {
		runner.release(r.GetHandles())
	}
	return &hoistv1.ReleaseResponse{}, nil
}

// Ping returns at once, which shows that this VM is responsive.
func (f fleetServer) Ping(context.Context, *hoistv1.PingRequest) (*hoistv1.PingResponse, error) {
	return &hoistv1.PingResponse{}, nil
}

// Pull returns the published items that are newer than the requested position. Without such
// items it waits for them (long polling) as long as the request allows, at most for
// pullHoldTime.
func (f fleetServer) Pull(ctx context.Context, r *hoistv1.PullRequest) (*hoistv1.PullResponse, error) {
	received := f.s.now()
	request := peerRequest{
		after:   replica.Position{Era: r.GetEra(), Revision: r.GetRevision()},
		asDelta: r.GetAcceptsRemovals(), takesReferences: r.GetAcceptsReferences(), takesKept: r.ConfigurationVersion != nil, version: r.GetConfigurationVersion(),
	}
	changes := f.s.follower.changesAfter(ctx, request, min(time.Duration(r.GetWaitMs())*time.Millisecond, pullHoldTime))
	response := &hoistv1.PullResponse{
		Complete: changes.complete, Unchanged: changes.unchanged, Era: changes.at.Era, Revision: changes.at.Revision, AgeMs: changes.age.Milliseconds() + 1,
		HeldMs: f.s.now().Sub(received).Milliseconds(), Lost: changes.storeLost,
		Items: itemsToProto(changes.changes.Items), Kept: itemsToProto(changes.kept),
	}
	response.HasRemovals, response.Keys = changes.changes.IsDelta, changes.changes.Keys
	if request.takesReferences {
		referToLarge(response.GetItems())
		referToLarge(response.GetKept())
	}
	if r.GetAcceptsPacked() && isWorthPacking(response.GetItems()) {
		key := packedKey{version: changes.version, after: request.after, asDelta: request.asDelta, hasReferences: request.takesReferences}
		if err := f.s.packedTables.pack(response, key); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// FetchValue transfers a large value that Pull referred to.
func (f fleetServer) FetchValue(r *hoistv1.FetchValueRequest, stream hoistv1.Fleet_FetchValueServer) error {
	encoded, isPacked, err := f.s.packedTables.large.encoded(r.GetValueHash(), 0)
	if err == nil && !isPacked {
		encoded, err = f.s.follower.awaitEncoded(stream.Context(), r.GetValueHash(), r.GetBaseHash())
	}
	if err != nil {
		return err
	}
	if err := stream.Send(&hoistv1.FetchValueResponse{EncodedSize: uint32(len(encoded.Data)), IsDelta: encoded.IsDelta}); err != nil {
		return err
	}
	for part := range slices.Chunk(encoded.Data, valuePartBytes) {
		if err := stream.Send(&hoistv1.FetchValueResponse{Data: part}); err != nil {
			return err
		}
	}
	return nil
}
