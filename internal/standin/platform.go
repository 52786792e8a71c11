// Package standin emulates the platform and upstreams of hoist-agent and hoist-gateway for
// tests, relays connections with simulated network partitions, generates open-loop load and
// measures gateway overhead. Package platform/standin emulates the platform of hoist-edge.
package standin

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxReadsPerSecond is the rate limit of the configuration service over all readers.
const maxReadsPerSecond = 2000

// Platform emulates the configuration service of the platform.
type Platform struct {
	mu            sync.Mutex
	values        map[string]*platformValue
	staleValues   map[string]platformValue
	stats         PlatformStats
	windowStart   time.Time
	readsInWindow int
	outage        bool
	vmListLag     time.Duration
	changed       chan struct{}
}

// PlatformStats are the counters of the configuration service.
type PlatformStats struct {
	// Reads counts all calls; a watch counts once, however long it waits.
	Reads int `json:"reads"`
	// Limited counts calls that were rejected by the rate limit.
	Limited int `json:"limited"`
	// MaxPerSecond is the largest number of calls within one second.
	MaxPerSecond int `json:"max_per_second"`
	// Waiting is the number of reads and watches in progress.
	Waiting int `json:"waiting"`
	// Current revisions of the published values.
	RoutesRevision uint64 `json:"routes_revision"`
	PoolsRevision  uint64 `json:"pools_revision"`
	VMsRevision    uint64 `json:"vms_revision"`
}

type platformValue struct {
	revision uint64
	data     []byte
}

// NewPlatform returns a Platform without values.
func NewPlatform() *Platform {
	return &Platform{values: map[string]*platformValue{}, changed: make(chan struct{})}
}

// Set publishes a new revision of a value. The VM list is published after its lag.
func (p *Platform) Set(name string, data []byte) {
	p.mu.Lock()
	lag := p.vmListLag
	p.mu.Unlock()
	if name == "vms" && lag > 0 {
		time.AfterFunc(lag, func() { p.publish(name, data) })
		return
	}
	p.publish(name, data)
}

func (p *Platform) publish(name string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := p.values[name]
	if value == nil {
		value = &platformValue{}
		p.values[name] = value
	}
	value.revision++
	value.data = data
	p.notifyWatches()
}

// notifyWatches wakes all waiting watches. The caller holds the mutex.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handle serves reads and watches under /v1/values/ and run-time control under /control/.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	enabled := string(ctx.QueryArgs().Peek("on")) == "true"
	switch {
	case strings.HasPrefix(path, "/v1/values/"):
		p.handleRead(ctx, strings.TrimPrefix(path, "/v1/values/"))
	case strings.HasPrefix(path, "/control/values/") && ctx.IsPut():
		p.Set(strings.TrimPrefix(path, "/control/values/"), append([]byte(nil), ctx.PostBody()...))
	case path == "/control/outage":
		p.setOutage(enabled)
	case path == "/control/stale":
		p.setStale(enabled)
	case path == "/control/list-lag":
		p.setVMListLag(string(ctx.QueryArgs().Peek("lag")))
	case path == "/control/reads":
		ctx.SetBodyString(strconv.Itoa(p.Stats().Reads))
	case path == "/control/stats":
		ctx.SetContentType("application/json")
		_ = json.NewEncoder(ctx).Encode(p.Stats())
	case path == "/healthz":
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Stats returns the counters and revisions.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	for name, revision := range map[string]*uint64{"routes": &stats.RoutesRevision, "pools": &stats.PoolsRevision, "vms": &stats.VMsRevision} {
		if value := p.values[name]; value != nil {
			*revision = value.revision
		}
	}
	return stats
}

func (p *Platform) setOutage(enabled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = enabled
	p.notifyWatches()
}

// setStale makes readers see the present values until it is disabled again; values that
// are published meanwhile become visible then.
func (p *Platform) setStale(enabled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleValues = nil
	if enabled {
		p.staleValues = map[string]platformValue{}
		for name, value := range p.values {
			p.staleValues[name] = *value
		}
	}
	p.notifyWatches()
}

func (p *Platform) setVMListLag(text string) {
	lag, _ := time.ParseDuration(text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmListLag = lag
}

// allowRead counts a call and reports whether it is within the rate limit.
func (p *Platform) allowRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.windowStart) >= time.Second {
		p.windowStart, p.readsInWindow = now, 0
	}
	p.readsInWindow++
	p.stats.Reads++
	p.stats.MaxPerSecond = max(p.stats.MaxPerSecond, p.readsInWindow)
	if p.readsInWindow > maxReadsPerSecond {
		p.stats.Limited++
		return false
	}
	return true
}

// visibleValue returns the value that readers see, and a channel that is closed at the next
// change.
func (p *Platform) visibleValue(name string) (value platformValue, outage bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleValues != nil {
		return p.staleValues[name], p.outage, p.changed
	}
	if published := p.values[name]; published != nil {
		value = *published
	}
	return value, p.outage, p.changed
}

func (p *Platform) handleRead(ctx *fasthttp.RequestCtx, name string) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait, _ := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	if !p.allowRead() {
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	p.addWaiting(1)
	defer p.addWaiting(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		value, outage, changed := p.visibleValue(name)
		if outage {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		if value.revision > after {
			ctx.Response.Header.Set("Revision", strconv.FormatUint(value.revision, 10))
			ctx.SetBody(value.data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
	}
}

func (p *Platform) addWaiting(delta int) {
	p.mu.Lock()
	p.stats.Waiting += delta
	p.mu.Unlock()
}
