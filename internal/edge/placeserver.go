package edge

import (
	"context"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
)

// maxPlaceParts bounds the parts and the excluded engines that are accepted from one message.
const maxPlaceParts = 64

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
	runner.configure(shard, view.ZonesOut)
	s.engineRunners[name] = runner
	return runner
}

// configureEngineRunners applies a view to the shards of engines that this VM runs.
func (s *Server) configureEngineRunners(view *View) {
	s.engineRunnersMu.Lock()
	defer s.engineRunnersMu.Unlock()
	for name, runner := range s.engineRunners {
		if shard := view.Shards[name]; shard != nil && shard.engine != nil {
			runner.configure(shard, view.ZonesOut)
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

// Place chooses the engine for a request if this VM owns the shard, and returns the owner otherwise.
func (f fleetServer) Place(_ context.Context, r *hoistv1.PlaceRequest) (*hoistv1.PlaceResponse, error) {
	if owner := f.s.gossip.owner(f.s.resourceOf(r.GetPool())); owner.Name != f.s.settings.VM {
		return &hoistv1.PlaceResponse{Owner: owner.Name, OwnerEntry: entryToProto(owner)}, nil
	}
	runner := f.s.engineRunner(r.GetPool())
	if runner == nil {
		return nil, errUnknownShard
	}
	request := placeRequestFromProto(r)
	if r.GetLocate() {
		source, tokens := runner.locate(request.Parts)
		return &hoistv1.PlaceResponse{CacheSource: source, CachedTokens: uint32(max(tokens, 0))}, nil
	}
	placed, _ := runner.place(request)
	return &hoistv1.PlaceResponse{
		Upstream: placed.Engine, CacheSource: placed.CacheSource, ExpectedUs: placed.Expected.Microseconds(), WaitUs: placed.Wait.Microseconds(),
		CachedTokens: uint32(placed.CachedTokens), CopiedTokens: uint32(placed.CopiedTokens),
	}, nil
}

// EndPlacement records the end of a request that this VM placed.
func (f fleetServer) EndPlacement(_ context.Context, r *hoistv1.EndPlacementRequest) (*hoistv1.EndPlacementResponse, error) {
	f.s.engineRunnersMu.Lock()
	runner := f.s.engineRunners[r.GetPool()]
	f.s.engineRunnersMu.Unlock()
	if runner != nil {
		runner.end(r.GetRequest(), outcomeFromProto(r), time.Duration(r.GetColdMs())*time.Millisecond)
	}
	return &hoistv1.EndPlacementResponse{}, nil
}

func placeRequestToProto(shard string, r *enginepool.Request) *hoistv1.PlaceRequest {
	out := &hoistv1.PlaceRequest{
		Pool: shard, Request: r.ID, PromptTokens: uint32(max(r.PromptTokens, 0)), OutputTokens: uint32(max(r.OutputTokens, 0)),
		InputZone: r.InputZone, Excluded: r.Excluded, SlackUs: r.Slack.Microseconds(),
	}
	for _, part := range r.Parts {
		out.Parts = append(out.Parts, &hoistv1.PromptPart{Id: part.ID, Tokens: uint32(max(part.Tokens, 0))})
	}
	return out
}

func placeRequestFromProto(r *hoistv1.PlaceRequest) *enginepool.Request {
	excluded, parts := r.GetExcluded(), r.GetParts()
	out := &enginepool.Request{
		ID: r.GetRequest(), PromptTokens: int(r.GetPromptTokens()), OutputTokens: int(r.GetOutputTokens()),
		InputZone: r.GetInputZone(), Excluded: excluded[:min(len(excluded), maxPlaceParts)],
		Slack: max(time.Duration(r.GetSlackUs())*time.Microsecond, 0),
	}
	for _, part := range parts[:min(len(parts), maxPlaceParts)] {
		out.Parts = append(out.Parts, enginepool.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	return out
}

func outcomeToProto(shard, id string, o enginepool.Outcome, cold time.Duration) *hoistv1.EndPlacementRequest {
	return &hoistv1.EndPlacementRequest{
		Pool: shard, Request: id, Upstream: o.Engine, Result: uint32(o.Result), FirstEventUs: o.FirstEvent.Microseconds(),
		EventGapUs: o.EventGap.Microseconds(), Events: uint32(max(o.Events, 0)), ColdMs: cold.Milliseconds(),
	}
}

func outcomeFromProto(r *hoistv1.EndPlacementRequest) enginepool.Outcome {
	return enginepool.Outcome{
		Engine: r.GetUpstream(), Result: enginepool.Result(min(r.GetResult(), uint32(enginepool.Failed))),
		FirstEvent: max(time.Duration(r.GetFirstEventUs())*time.Microsecond, 0), EventGap: max(time.Duration(r.GetEventGapUs())*time.Microsecond, 0),
		Events: int(r.GetEvents()),
	}
}
