package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/resume"
)

// A stream of which no VM has a record, as after a restart of all VMs, was begun by an engine that still
// caches the last part of its prompt, which only that request has. The VM that owns a shard of engines
// lists their caches for all others.

const (
	// cachesTimeout bounds the search for the engine that began a stream, and cacheListTimeout the query to
	// one engine.
	cachesTimeout    = 500 * time.Millisecond
	cacheListTimeout = 300 * time.Millisecond
	// cacheListInterval is the least time between two queries to an engine, since each delays its work.
	cacheListInterval = 2 * time.Second
	// cacheListRetention is how long a list is kept after its query.
	cacheListRetention = 10 * time.Second
	// maxCacheListBytes bounds the list of an engine.
	maxCacheListBytes = 4 << 20
	// maxPartID bounds the ID of a part of a prompt in messages between VMs.
	maxPartID = 256
)

// cacheList is what an engine caches.
type cacheList struct {
	// start is the process start of the engine.
	start    int64
	listedAt clock.Instant
	// tokens holds the number of cached tokens by the ID of a part.
	tokens map[string]int
}

// cacheLists holds the lists of engines by their IDs. The zero value is ready to use.
type cacheLists struct {
	queries singleflight.Group

	mu    sync.Mutex
	lists map[string]cacheList
}

// recent returns the list of an engine unless it may be queried again.
func (c *cacheLists) recent(now clock.Instant, entry *registry.Entry) (cacheList, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list, ok := c.lists[entry.ID]
	return list, ok && list.start == entry.StartID && now.Sub(list.listedAt) < cacheListInterval
}

func (c *cacheLists) set(id string, list cacheList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lists == nil {
		c.lists = map[string]cacheList{}
	}
	c.lists[id] = list
}

func (c *cacheLists) expire(now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.lists, func(_ string, list cacheList) bool { return now.Sub(list.listedAt) > cacheListRetention })
}

// cacheListOf returns what an engine caches, which may be some time old. An engine that does not answer
// counts as caching nothing until it may be queried again.
func (s *Server) cacheListOf(entry *registry.Entry) cacheList {
	if list, ok := s.cacheLists.recent(s.now(), entry); ok {
		return list
	}
	value, _, _ := s.cacheLists.queries.Do(entry.ID, func() (any, error) {
		list := cacheList{start: entry.StartID}
		var err error
		if list.tokens, err = s.queryCache(entry); err != nil {
			s.logger.Info("cache of an engine not listed", zap.String("upstream", entry.ID), obs.ErrorField(err))
		}
		list.listedAt = s.now()
		s.cacheLists.set(entry.ID, list)
		return list, nil
	})
	return value.(cacheList)
}

func (s *Server) queryCache(entry *registry.Entry) (map[string]int, error) {
	if !s.signals.mayCall(instanceOf(entry), "cache_list") {
		return nil, errWithheld
	}
	ctx, cancel := context.WithTimeout(context.Background(), cacheListTimeout)
	defer cancel()
	body, err := s.queryEngine(ctx, entry, s.dialect.EncodeCacheQuery(entry.Address, entry.ID), maxCacheListBytes)
	if err != nil {
		return nil, err
	}
	return s.dialect.DecodeCacheList(body)
}

// cachedVersions returns the software versions of the engines of a shard that cache all of a part of a prompt.
func (s *Server) cachedVersions(shard *poolShard, part PrefixPart) []string {
	now := s.now()
	warm := slices.DeleteFunc(slices.Clone(shard.entries), func(entry *registry.Entry) bool { return entry.ColdUntil > now })
	keeping := askAll(s.contain, "cache of an engine", warm, func(entry *registry.Entry) *registry.Entry {
		if tokens, ok := s.cacheListOf(entry).tokens[part.ID]; ok && tokens >= part.Tokens {
			return entry
		}
		return nil
	})
	versions := map[string]bool{}
	for range warm {
		if entry := <-keeping; entry != nil {
			versions[entry.SoftwareVersion] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// FindCached returns the software versions of the engines of a shard that cache a part of a prompt.
func (f fleetServer) FindCached(_ context.Context, r *hoistv1.FindCachedRequest) (*hoistv1.FindCachedResponse, error) {
	if r.GetPart() == "" || len(r.GetPart()) > maxPartID || r.GetTokens() > maxPlaceTokens {
		return nil, errMalformedPart
	}
	view := f.s.view.Load()
	if view == nil || view.Shards[r.GetShard()] == nil || view.Shards[r.GetShard()].engine == nil {
		return nil, errUnknownShard
	}
	part := PrefixPart{ID: r.GetPart(), Tokens: int(r.GetTokens())}
	return &hoistv1.FindCachedResponse{Versions: f.s.cachedVersions(view.Shards[r.GetShard()], part)}, nil
}

// errMalformedPart refuses a question that no VM asks.
var errMalformedPart = status.Error(codes.InvalidArgument, "malformed part of a prompt")

// askCaches returns what the caches of the engines say of the origin of the stream.
func (t *transaction) askCaches() resume.Answer {
	parts := t.requestInfo.PromptPrefix
	if len(parts) == 0 || !t.route.HasPromptPrefixes || len(parts[len(parts)-1].ID) > maxPartID {
		return resume.Answer{}
	}
	ctx, cancel := context.WithTimeout(t.ctx, cachesTimeout)
	defer cancel()
	shards := slices.DeleteFunc(slices.Clone(t.view.ShardsOf[t.pool]), func(shard *poolShard) bool {
		return shard.engine == nil || len(shard.entries) == 0
	})
	answers := askAll(t.s.contain, "question for caches", shards, func(shard *poolShard) []string {
		return t.s.askCachesOf(ctx, shard, parts[len(parts)-1])
	})
	var answer resume.Answer
	for range shards {
		for _, version := range <-answers {
			answer = answer.Merge(resume.Answer{Certainty: resume.Cached, Origin: resume.Origin{Pool: t.pool, Version: version}})
		}
	}
	return answer
}

// askCachesOf asks the owner of a shard. Without an answer nothing is known.
func (s *Server) askCachesOf(ctx context.Context, shard *poolShard, part PrefixPart) []string {
	owner := s.gossip.owner(shard.resource())
	if owner.Name == s.settings.VM {
		return s.cachedVersions(shard, part)
	}
	request := &hoistv1.FindCachedRequest{Shard: shard.Name, Part: part.ID, Tokens: tokensToProto(part.Tokens)}
	var response *hoistv1.FindCachedResponse
	err := s.peers.callBriefly(ctx, owner, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.FindCached(ctx, request)
		return err
	})
	if err != nil {
		s.logger.Info("caches of engines not asked", zap.String("shard", shard.Name), zap.String("owner", owner.Name), obs.ErrorField(err))
		return nil
	}
	return response.GetVersions()
}
