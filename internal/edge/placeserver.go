package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
)

// Limits of messages about placements. Requests beyond them are counted and refused.
const (
	// maxPlaceParts is the number of parts that are read, and maxPlaceExcluded that of excluded engines; a
	// requester names only engines of the shard.
	maxPlaceParts    = 64
	maxPlaceExcluded = 1024
	// maxPlaceID is the length of the ID of a send, which consists of a VM name and numbers.
	maxPlaceID = 256
	// maxPlaceTokens is more than any prompt or output has.
	maxPlaceTokens = 1 << 21
	// maxPlaceTime is more than any request takes.
	maxPlaceTime = time.Hour
)

// errMalformedPlace refuses a request to place that no VM sends.
var errMalformedPlace = status.Error(codes.InvalidArgument, "malformed request to place")

// engineRunner returns the runner of a shard of engines on this VM. It creates the runner if there
// is none, and returns nil if the shard does not exist.
func (s *Server) engineRunner(name string) *engineRunner {
	s.engineRunnersMu.Lock()
	defer s.engineRunnersMu.Unlock()
	if runner := s.engineRunners[name]; runner != nil {
		return runner
	}
	view := s.view.Load()
	if view == nil || view.Shards[name] == nil || view.Shards[name].engine == nil {
		return nil
	}
	shard := view.Shards[name]
	runner := newEngineRunner(shard.pool, s)
	runner.configure(view, shard)
	s.engineRunners[name] = runner
	return runner
}

// configureEngineRunners applies the current view to the shards of engines that this VM runs. It reads the
// view under the lock: of two views that are applied at once the newer one counts.
func (s *Server) configureEngineRunners() {
	s.engineRunnersMu.Lock()
	defer s.engineRunnersMu.Unlock()
	view := s.view.Load()
	for name, runner := range s.engineRunners {
		if shard := view.Shards[name]; shard != nil && shard.engine != nil {
			runner.configure(view, shard)
			continue
		}
		delete(s.engineRunners, name)
	}
}

// dropEngineRunner forgets the state of a shard of engines that another VM owns now.
func (s *Server) dropEngineRunner(name string) {
	s.engineRunnersMu.Lock()
	defer s.engineRunnersMu.Unlock()
	delete(s.engineRunners, name)
}

// dropForeignEngineRunners forgets the state of shards of engines that other VMs own now. This VM may have
// owned them without a claim, which is not released then.
func (s *Server) dropForeignEngineRunners() {
	s.engineRunnersMu.Lock()
	names := slices.Collect(maps.Keys(s.engineRunners))
	s.engineRunnersMu.Unlock()
	for _, name := range names {
		if s.gossip.owner(s.resourceOf(name)).Name != s.settings.VM {
			s.dropEngineRunner(name)
		}
	}
}

// findEngineRunner returns the runner of a shard of engines on this VM, or nil.
func (s *Server) findEngineRunner(name string) *engineRunner {
	s.engineRunnersMu.Lock()
	defer s.engineRunnersMu.Unlock()
	return s.engineRunners[name]
}

// Place chooses the engine for a request if this VM owns the shard, and returns the owner otherwise.
func (f fleetServer) Place(ctx context.Context, r *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
	request, ok := placeRequestFromProto(r)
	if !ok {
		f.s.metrics.placeInvalid.Inc()
		return nil, errMalformedPlace
	}
	if owner := f.s.gossip.owner(f.s.resourceOf(r.GetPool())); owner.Name != f.s.settings.VM {
		return &hoistv1.PlaceResponse{Owner: owner.Name, OwnerEntry: entryToProto(owner)}, nil
	}
	runner := f.s.engineRunner(r.GetPool())
	if runner == nil {
		return nil, errUnknownShard
	}
	if r.GetLocate() {
		source, tokens := runner.locate(request.Parts)
		return &hoistv1.PlaceResponse{CacheSource: source, CachedTokens: uint32(max(tokens, 0))}, nil
	}
	// The requester has gone on without an answer if this VM was frozen or slow. A request that is counted
	// then would stay until it expires.
	if ctx.Err() != nil {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	placed, _ := runner.place(request)
	if ctx.Err() != nil {
		runner.end(request.ID, enginepool.Outcome{Engine: placed.Engine, Result: enginepool.Aborted}, 0)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return &hoistv1.PlaceResponse{
		Upstream: placed.Engine, CacheSource: placed.CacheSource, ExpectedUs: placed.Expected.Microseconds(), WaitUs: placed.Wait.Microseconds(),
		CachedTokens: uint32(placed.CachedTokens), CopiedTokens: uint32(placed.CopiedTokens),
	}, nil
}

// EndPlacement records the end of a request that this VM placed.
func (f fleetServer) EndPlacement(_ context.Context, r *hoistv1.EndPlacementRequest) (*hoistv1.EndPlacementResponse, error) {
	if runner := f.s.findEngineRunner(r.GetPool()); runner != nil {
		runner.end(r.GetRequest(), outcomeFromProto(r), durationFromProto(r.GetColdMs(), time.Millisecond))
	}
	return &hoistv1.EndPlacementResponse{}, nil
}

// tokensToProto bounds a number of tokens that a caller stated.
func tokensToProto(n int) uint32 { return uint32(min(max(n, 0), maxPlaceTokens)) }

func placeRequestToProto(shard string, r *enginepool.Request) *hoistv1.PlaceRequest {
	out := &hoistv1.PlaceRequest{
		Pool: shard, Request: r.ID, PromptTokens: tokensToProto(r.PromptTokens), OutputTokens: tokensToProto(r.OutputTokens),
		InputZone: r.InputZone, Excluded: r.Excluded, SlackUs: r.Slack.Microseconds(),
	}
	for _, part := range r.Parts {
		out.Parts = append(out.Parts, &hoistv1.PromptPart{Id: part.ID, Tokens: tokensToProto(part.Tokens)})
	}
	return out
}

// durationFromProto converts a time of a message; negative ones and those that no request takes become 0.
func durationFromProto(n int64, unit time.Duration) time.Duration {
	if n < 0 || n > int64(maxPlaceTime/unit) {
		return 0
	}
	return time.Duration(n) * unit
}

// placeRequestFromProto decodes a request to place. It returns false if no VM sends such a request.
func placeRequestFromProto(r *hoistv1.PlaceRequest) (*enginepool.Request, bool) {
	excluded, parts := r.GetExcluded(), r.GetParts()
	if r.GetRequest() == "" || len(r.GetRequest()) > maxPlaceID || len(excluded) > maxPlaceExcluded || r.GetPromptTokens() > maxPlaceTokens || r.GetOutputTokens() > maxPlaceTokens || r.GetSlackUs() < 0 {
		return nil, false
	}
	out := &enginepool.Request{
		ID: r.GetRequest(), PromptTokens: int(r.GetPromptTokens()), OutputTokens: int(r.GetOutputTokens()),
		InputZone: r.GetInputZone(), Excluded: excluded,
		Slack: durationFromProto(r.GetSlackUs(), time.Microsecond),
	}
	for _, part := range parts[:min(len(parts), maxPlaceParts)] {
		if part.GetTokens() > maxPlaceTokens {
			return nil, false
		}
		out.Parts = append(out.Parts, enginepool.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	return out, true
}

func outcomeToProto(shard, id string, o enginepool.Outcome, cold time.Duration) *hoistv1.EndPlacementRequest {
	return &hoistv1.EndPlacementRequest{
		Pool: shard, Request: id, Upstream: o.Engine, Result: uint32(o.Result), FirstEventUs: o.FirstEvent.Microseconds(),
		EventGapUs: o.EventGap.Microseconds(), Events: uint32(max(o.Events, 0)), ColdMs: cold.Milliseconds(),
		UpstreamStart: o.Start,
	}
}

func outcomeFromProto(r *hoistv1.EndPlacementRequest) enginepool.Outcome {
	return enginepool.Outcome{
		Engine: r.GetUpstream(), Start: r.GetUpstreamStart(), Result: enginepool.Result(min(r.GetResult(), uint32(enginepool.Failed))),
		FirstEvent: durationFromProto(r.GetFirstEventUs(), time.Microsecond), EventGap: durationFromProto(r.GetEventGapUs(), time.Microsecond),
		Events: int(r.GetEvents()),
	}
}
