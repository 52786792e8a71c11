package edge

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// placeTimeout bounds all questions to owners of shards of engines for one attempt. Without an answer
	// this VM chooses by itself.
	placeTimeout = 60 * time.Millisecond
	// placeBackoff is how long an owner is not asked again after it did not answer.
	placeBackoff = time.Second
	// minSkipTime is the time that an owner must have had for its answer to count as not answering. What is
	// left of placeTimeout for a second owner may be too short.
	minSkipTime = placeTimeout / 2
	// endPlacementTimeout bounds the report of the end of a request. If it is lost, the owner counts
	// the request for some seconds more.
	endPlacementTimeout = 500 * time.Millisecond
	// spillWait is the expected wait at the engines of a shard from which on a second shard is asked.
	spillWait = 100 * time.Millisecond
	// locateTimeout bounds the question to another owner where a prompt was read, and minLocateTokens is
	// the number of tokens to read from which on it is asked: reading these takes longer.
	locateTimeout   = 20 * time.Millisecond
	minLocateTokens = 1000
	// maxPlaceTries bounds the engines that owners name for one attempt.
	maxPlaceTries = 2
)

// engineOwners tracks which owners of shards of engines did not answer. The zero value is ready to
// use.
type engineOwners struct {
	mu      sync.Mutex
	skipped map[string]clock.Instant
}

// skip makes an owner count as not answering for some time. It reports whether the owner did not count so
// before.
func (e *engineOwners) skip(name string, now clock.Instant) (isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.skipped == nil {
		e.skipped = map[string]clock.Instant{}
	}
	isNew = now >= e.skipped[name]
	e.skipped[name] = now.Add(placeBackoff)
	return isNew
}

// isSkipped reports whether an owner did not answer a short time ago.
func (e *engineOwners) isSkipped(name string, now clock.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	until, ok := e.skipped[name]
	if ok && now >= until {
		delete(e.skipped, name)
	}
	return ok && now < until
}

// enginePlacement is the placement of a request by the owner of a shard of engines.
type enginePlacement struct {
	enginepool.Placement
	// id identifies the send of the request.
	id    string
	shard *poolShard
	owner fleet.Entry
}

// copyFrom makes the engine copy the parts of the prompt that only an engine of the other shard has.
func (p *enginePlacement) copyFrom(other *enginePlacement) {
	switch {
	case p.CachedTokens+p.CopiedTokens >= other.CachedTokens+other.CopiedTokens:
	case other.CacheSource != "":
		p.CacheSource, p.CopiedTokens = other.CacheSource, max(other.CachedTokens+other.CopiedTokens-p.CachedTokens, 0)
	default:
		p.CacheSource, p.CopiedTokens = other.Engine, max(other.CachedTokens-p.CachedTokens, 0)
	}
}

// placesByOwner reports whether the owners of shards place the requests to a pool. In a small fleet a
// VM sees enough of the load by itself. A VM that has just started does not know the owners yet: when
// all VMs start at once, each would take itself for the owner of all shards.
func (s *Server) placesByOwner(view *View, pool string) bool {
	return s.fleetSize.Load() > s.maxDecidingAlone && s.now().Sub(s.startedAt) >= discoveryTimeout && len(view.ShardsOf[pool]) > 0 && view.ShardsOf[pool][0].engine != nil
}

// acquirePlaced asks the owner of a shard for an engine. It returns nil if no owner answers or none
// of the named engines may be used by this VM.
func (t *transaction) acquirePlaced(view *View, request *placement.Request) *lease {
	if !t.s.placesByOwner(view, t.pool) {
		return nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, placeTimeout)
	defer cancel()
	excluded := make([]string, 0, len(t.tried)+len(request.Restrictions)+maxPlaceTries)
	for id := range t.tried {
		excluded = append(excluded, id)
	}
	for id := range request.Restrictions {
		excluded = append(excluded, id)
	}
	for range maxPlaceTries {
		placed := t.placeOnShards(ctx, view, excluded)
		if placed == nil {
			break
		}
		t.locateElsewhere(ctx, view, placed)
		// The view and the signals of upstreams may have changed while the owner was asked.
		view = t.s.view.Load()
		request.Restrictions = t.restrictions(view)
		if l := t.s.upstreams.acquireNamed(view, t.pool, placed, request); l != nil {
			t.s.metrics.recordPlacement(t.pool, &placed.Placement)
			t.s.logger.Info("engine chosen", zap.String("request", t.requestInfo.ID), zap.String("shard", placed.shard.Name), zap.String("owner", placed.owner.Name),
				zap.String("upstream", placed.Engine), zap.Duration("wait", placed.Wait), zap.Duration("expected", placed.Expected),
				zap.Int("prompt", t.requestInfo.PromptTokens), zap.Int("cached", placed.CachedTokens), zap.Int("copied", placed.CopiedTokens))
			return l
		}
		t.s.endPlacement(placed, enginepool.Outcome{Engine: placed.Engine, Result: enginepool.Aborted}, 0)
		excluded = append(excluded, placed.Engine)
	}
	t.s.metrics.placements.WithLabelValues(t.pool, "vm").Inc()
	return nil
}

// placeOnShards asks the owner of the first shard of the request, and that of the second one if the
// engines of the first are busy.
func (t *transaction) placeOnShards(ctx context.Context, view *View, excluded []string) *enginePlacement {
	first, second := t.engineShards(view)
	var best *enginePlacement
	for _, shard := range []*poolShard{first, second} {
		if shard == nil {
			continue
		}
		placed := t.placeOn(ctx, shard, excluded)
		if placed == nil {
			continue
		}
		if best == nil {
			best = placed
		} else {
			worse := placed
			if placed.Expected < best.Expected {
				best, worse = placed, best
			}
			best.copyFrom(worse)
			t.s.endPlacement(worse, enginepool.Outcome{Engine: worse.Engine, Result: enginepool.Aborted}, 0)
		}
		if best.Wait < spillWait {
			break
		}
	}
	return best
}

// locateElsewhere makes the chosen engine copy a prompt that no engine of its shard has read. Another
// shard has if that one was the first one of the prompt until a zone left or returned.
func (t *transaction) locateElsewhere(ctx context.Context, view *View, placed *enginePlacement) {
	shared := 0
	for _, part := range t.engineParts() {
		shared += part.Tokens
	}
	known := placed.CachedTokens + placed.CopiedTokens
	if shared-known < minLocateTokens {
		return
	}
	shard := t.otherShard(view, placed.shard)
	if shard == nil {
		return
	}
	source, tokens := t.locateAt(ctx, shard)
	if tokens = min(tokens, shared); tokens > known {
		placed.CacheSource, placed.CopiedTokens = source, tokens-placed.CachedTokens
	}
}

// otherShard returns the first shard of the prompt other than the given one, also if its engines are out
// of service; nil if there is none that can be reached.
func (t *transaction) otherShard(view *View, chosen *poolShard) *poolShard {
	var shards []*poolShard
	var options []enginepool.Shard
	for _, shard := range view.ShardsOf[t.pool] {
		if shard != chosen && len(shard.members) > 0 && t.s.takesReservations(shard.Zone) {
			shards = append(shards, shard)
			options = append(options, enginepool.Shard{Name: shard.hash, Engines: len(shard.members)})
		}
	}
	if i, _ := enginepool.RankShards(t.shardKey(), options); i >= 0 {
		return shards[i]
	}
	return nil
}

// locateAt asks the owner of a shard which engine has read the beginning of the prompt.
func (t *transaction) locateAt(ctx context.Context, shard *poolShard) (source string, tokens int) {
	s := t.s
	owner := s.gossip.owner(shard.resource())
	if owner.Name == s.settings.VM {
		if runner := s.engineRunner(shard.Name); runner != nil {
			return runner.locate(t.engineParts())
		}
		return "", 0
	}
	if s.engineOwners.isSkipped(owner.Name, s.now()) {
		return "", 0
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	message := placeRequestToProto(shard.Name, t.engineRequest(shard, nil))
	message.Locate = true
	err := s.peers.callBriefly(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) error {
		response, err := client.Place(ctx, message)
		if err == nil && response.GetOwner() == "" {
			source, tokens = response.GetCacheSource(), int(response.GetCachedTokens())
		}
		return err
	})
	if err != nil {
		s.logger.Debug("cached parts of a prompt not located", zap.String("request", t.requestInfo.ID), zap.String("owner", owner.Name), obs.ErrorField(err))
	}
	return source, tokens
}

// engineShards returns the shards to ask for an engine: the first ones of the prompt among those that
// can be reached. Without shared parts of a prompt, those in the zone of large inputs come first. With
// them they do not: reading a long part once more takes an engine tens of milliseconds, and moving
// the inputs to the engines that have it a few.
func (t *transaction) engineShards(view *View) (first, second *poolShard) {
	var shards []*poolShard
	for _, shard := range view.ShardsOf[t.pool] {
		if len(shard.entries) > 0 && t.s.takesReservations(shard.Zone) {
			shards = append(shards, shard)
		}
	}
	i, j := enginepool.RankShards(t.shardKey(), shardOptions(shards))
	if i < 0 {
		return nil, nil
	}
	first = shards[i]
	if j >= 0 {
		second = shards[j]
	}
	inputZone := t.inputZone()
	if inputZone == "" || first.Zone == "" || first.Zone == inputZone || len(t.promptParts()) > 0 {
		return first, second
	}
	var local []*poolShard
	for _, shard := range shards {
		if shard.Zone == inputZone {
			local = append(local, shard)
		}
	}
	if i, _ := enginepool.RankShards(t.shardKey(), shardOptions(local)); i >= 0 {
		return local[i], first
	}
	return first, second
}

func shardOptions(shards []*poolShard) []enginepool.Shard {
	options := make([]enginepool.Shard, 0, len(shards))
	for _, shard := range shards {
		options = append(options, enginepool.Shard{Name: shard.hash, Engines: len(shard.entries)})
	}
	return options
}

// shardKey returns the hash by which the shards are ranked: that of the last shared part of the
// prompt or, without one, that of the request.
func (t *transaction) shardKey() rendezvous.Hash {
	if t.route.HasPromptPrefixes {
		if parts := t.promptParts(); len(parts) > 0 {
			return rendezvous.Hash(parts[len(parts)-1])
		}
	}
	return rendezvous.HashOf(t.requestInfo.ID)
}

// engineZone returns the zone of the engines that will probably run the request, or "" if any may.
func (t *transaction) engineZone() string {
	if first, _ := t.engineShards(t.view); first != nil {
		return first.Zone
	}
	return ""
}

// placeOn asks the owner of a shard for an engine. It returns nil if the owner does not answer, has
// changed, or has no engine for the request.
func (t *transaction) placeOn(ctx context.Context, shard *poolShard, excluded []string) *enginePlacement {
	s := t.s
	owner := s.gossip.owner(shard.resource())
	request := t.engineRequest(shard, excluded)
	if owner.Name == s.settings.VM {
		runner := s.engineRunner(shard.Name)
		if runner == nil {
			return nil
		}
		placed, ok := runner.place(request)
		if !ok {
			return nil
		}
		return &enginePlacement{Placement: placed, id: request.ID, shard: shard, owner: owner}
	}
	if s.engineOwners.isSkipped(owner.Name, s.now()) {
		return nil
	}
	response := t.callPlace(ctx, owner, shard, request)
	if response == nil || response.GetUpstream() == "" {
		return nil
	}
	return &enginePlacement{Placement: placementFromProto(response), id: request.ID, shard: shard, owner: owner}
}

// placementFromProto decodes what an owner answered. Figures that no request has become 0.
func placementFromProto(r *hoistv1.PlaceResponse) enginepool.Placement {
	tokens := func(n uint32) int {
		if n > maxPlaceTokens {
			return 0
		}
		return int(n)
	}
	placed := enginepool.Placement{
		Engine: r.GetUpstream(), Expected: durationFromProto(r.GetExpectedUs(), time.Microsecond), Wait: durationFromProto(r.GetWaitUs(), time.Microsecond),
		CachedTokens: tokens(r.GetCachedTokens()),
	}
	if r.GetCacheSource() != placed.Engine {
		placed.CacheSource = r.GetCacheSource()
	}
	if placed.CacheSource != "" {
		placed.CopiedTokens = tokens(r.GetCopiedTokens())
	}
	return placed
}

// callPlace calls the owner of a shard. It returns nil if the owner does not answer or has changed.
func (t *transaction) callPlace(ctx context.Context, owner fleet.Entry, shard *poolShard, request *enginepool.Request) *hoistv1.PlaceResponse {
	s := t.s
	if ctx.Err() != nil {
		return nil
	}
	asked := s.now()
	var response *hoistv1.PlaceResponse
	err := s.peers.callBriefly(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.Place(ctx, placeRequestToProto(shard.Name, request))
		return err
	})
	if err != nil {
		if t.ctx.Err() == nil {
			s.skipEngineOwner(owner, ctx.Err() != nil && s.now().Sub(asked) < minSkipTime)
			s.logger.Info("owner of engines did not answer; choosing without it", zap.String("request", t.requestInfo.ID),
				zap.String("shard", shard.Name), zap.String("owner", owner.Name), obs.ErrorField(err))
		}
		return nil
	}
	if response.GetOwner() != "" {
		s.gossip.recordRedirect(shard.Name, owner.Name, redirectFromProto(response.GetOwner(), response.GetOwnerEntry()))
		return nil
	}
	return response
}

// skipEngineOwner makes an owner that did not answer count as such, unless it had too little time, and checks
// whether its connection is broken without an error.
func (s *Server) skipEngineOwner(owner fleet.Entry, hadLittleTime bool) {
	if hadLittleTime || !s.engineOwners.skip(owner.Name, s.now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endPlacementTimeout)
		defer cancel()
		// A ping without an answer closes the connection, so that the next call opens another one.
		err := s.peers.callWithoutPing(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) error {
			_, err := client.Ping(ctx, &hoistv1.PingRequest{})
			return err
		})
		s.logger.Debug("owner of engines checked", zap.String("owner", owner.Name), obs.ErrorField(err))
	}()
}

// engineRequest describes the request for the placement on an engine of a shard. Each question has its own
// ID: callers may use the ID of a request several times.
func (t *transaction) engineRequest(shard *poolShard, excluded []string) *enginepool.Request {
	excluded = slices.DeleteFunc(slices.Clone(excluded), func(id string) bool {
		return !slices.ContainsFunc(shard.entries, func(entry *registry.Entry) bool { return entry.ID == id })
	})
	return &enginepool.Request{
		ID: t.s.nextPlacementID(), PromptTokens: t.requestInfo.PromptTokens, OutputTokens: t.requestInfo.expectedOutput(),
		InputZone: t.inputZone(), Excluded: excluded, Slack: max(t.due.Sub(t.s.now()), 0), Parts: t.engineParts(),
	}
}

// engineParts returns the shared parts of the prompt by which an engine is chosen.
func (t *transaction) engineParts() []enginepool.Part {
	if !t.route.HasPromptPrefixes {
		return nil
	}
	var parts []enginepool.Part
	for i, part := range t.promptParts() {
		parts = append(parts, enginepool.Part{ID: uint64(part), Tokens: t.requestInfo.PromptPrefix[i].Tokens})
	}
	return parts
}

// nextPlacementID returns an ID that no other question to an owner has, also not one of an earlier process
// of this VM.
func (s *Server) nextPlacementID() string {
	return s.settings.VM + "/" + strconv.FormatInt(int64(s.startedAt), 36) + "/" + strconv.FormatInt(s.placementCount.Add(1), 36)
}

// endPlacement reports the end of a request to the owner that placed it, without waiting.
func (s *Server) endPlacement(placed *enginePlacement, outcome enginepool.Outcome, cold time.Duration) {
	if placed.owner.Name == s.settings.VM {
		if runner := s.findEngineRunner(placed.shard.Name); runner != nil {
			runner.end(placed.id, outcome, cold)
		}
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endPlacementTimeout)
		defer cancel()
		err := s.peers.callBriefly(ctx, placed.owner, func(ctx context.Context, client hoistv1.FleetClient) error {
			_, err := client.EndPlacement(ctx, outcomeToProto(placed.shard.Name, placed.id, outcome, cold))
			return err
		})
		if err != nil {
			s.logger.Debug("failed to report the end of a request to the owner of its engine", zap.String("owner", placed.owner.Name), obs.ErrorField(err))
		}
	}()
}
