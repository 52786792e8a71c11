package standin

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// maxCacheEvents limits the cache events that an upstream keeps.
const maxCacheEvents = 4096

// loadSample is the load at a point in time.
type loadSample struct {
	at       time.Time
	inFlight int
	cold     bool
}

// addLoadHeader adds the load as of LoadLag ago to a response. The caller holds the mutex.
func (u *Upstream) addLoadHeader(ctx *fasthttp.RequestCtx) {
	if !u.behaviour.ReportsLoad {
		return
	}
	now := time.Now()
	current := loadSample{at: now, inFlight: u.stats.InFlight, cold: u.behaviour.Cold}
	if lag := time.Duration(u.behaviour.LoadLag); lag > 0 {
		u.loadSamples = append(u.loadSamples, current)
		for len(u.loadSamples) > 1 && u.loadSamples[1].at.Before(now.Add(-lag)) {
			u.loadSamples = u.loadSamples[1:]
		}
		current = u.loadSamples[0]
	}
	state := "warm"
	if current.cold {
		state = "cold"
	}
	ctx.Response.Header.Set("Hoist-Load", fmt.Sprintf("in_flight=%d; state=%s", current.inFlight, state))
}

// cacheEvent reports that the upstream has cached the prefix of a request.
type cacheEvent struct {
	Sequence int    `json:"sequence"`
	ID       string `json:"id"`

	visibleAt time.Time
}

// addCacheEvent records a cache event. The caller holds the mutex.
func (u *Upstream) addCacheEvent(id string) {
	if id == "" {
		return
	}
	u.eventCount++
	if gap := u.behaviour.EventGap; gap > 0 && u.eventCount%gap == 0 {
		return
	}
	u.events = append(u.events, cacheEvent{
		Sequence: u.eventCount, ID: id, visibleAt: time.Now().Add(time.Duration(u.behaviour.EventLag)),
	})
	if len(u.events) > maxCacheEvents {
		u.events = u.events[len(u.events)-maxCacheEvents:]
	}
}

// handleEvents returns the visible cache events after the sequence number in the query.
func (u *Upstream) handleEvents(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("after")))
	now := time.Now()
	events := []cacheEvent{}
	u.mu.Lock()
	for _, event := range u.events {
		if event.Sequence > after && !event.visibleAt.After(now) {
			events = append(events, event)
		}
	}
	u.mu.Unlock()
	u.writeJSON(ctx, events)
}
