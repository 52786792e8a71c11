package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/engines"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Headers that identify a stage call.
const (
	headerRequest = "Hoist-Request"
	headerStage   = "Hoist-Stage"
	headerAttempt = "Hoist-Attempt"
)

// callerIDPattern matches the id that a caller sets in the request body. All stages pass
// it on.
var callerIDPattern = regexp.MustCompile(`"id":\s*"([^"]*)"`)

// Upstream emulates one upstream.
type Upstream struct {
	// Entry is the entry of the upstream in the pools table.
	Entry table.Upstream
	// Pool is the pool that contains Entry.
	Pool *table.Pool

	mu        sync.Mutex
	behaviour Behaviour
	stats     Stats
	successes int
	// generation is incremented when Silent is set. While the upstream is silent,
	// connections of earlier generations make no progress.
	generation  int
	crashedAt   time.Time
	conns       map[net.Conn]int
	loadSamples []loadSample
	running     map[string]chan struct{}
	events      []cacheEvent
	eventCount  int
	model       modelState

	seenAttempts  identitySet
	seenStages    identitySet
	seenCallerIDs identitySet
}

// NewUpstream returns an emulated upstream. It reports its load if the behaviour or the
// pool requests it.
func NewUpstream(entry table.Upstream, pool *table.Pool, behaviour Behaviour) *Upstream {
	behaviour.ReportsLoad = behaviour.ReportsLoad || pool.Features.ReportsLoad
	return &Upstream{
		Entry: entry, Pool: pool, behaviour: behaviour,
		conns: map[net.Conn]int{}, running: map[string]chan struct{}{},
		model: modelState{model: engines.ModelDocument(pool.Model)},
	}
}

// Serve listens on the upstream's address until the listener fails.
func (u *Upstream) Serve() error {
	listener, err := net.Listen("tcp", u.Entry.Address)
	if err != nil {
		return err
	}
	return u.ServeListener(listener)
}

// ServeListener serves on a listener until it fails.
func (u *Upstream) ServeListener(listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:               u.Handle,
		Concurrency:           1 << 20,
		MaxRequestBodySize:    64 << 20,
		NoDefaultServerHeader: true,
	}
	return server.Serve(&crashListener{Listener: listener, upstream: u})
}

// Handle serves stage calls, cancellations, orders, cache events and /control/.
func (u *Upstream) Handle(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); path {
	case "/healthz":
	case "/control/stats":
		u.writeJSON(ctx, u.Stats())
	case "/control/behaviour":
		u.handleBehaviour(ctx)
	case "/control/crash":
		u.crash()
	case "/control/reset":
		u.resetStats()
	case "/cancel":
		u.handleCancel(ctx)
	case "/events":
		u.handleEvents(ctx)
	case engines.PathState:
		u.handleState(ctx)
	case engines.PathOrders:
		u.handleOrder(ctx)
	default:
		// Requests with other methods are health checks.
		if ctx.IsPost() {
			u.handleCall(ctx)
		}
	}
}

// Stats returns the counters.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := u.stats
	if u.behaviour.Cold {
		stats.Cold = 1
	}
	stats.Connections = len(u.conns)
	return stats
}

// resetStats sets the counters to zero, except for calls in flight. The sets of seen
// identities are kept.
func (u *Upstream) resetStats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	running := u.stats.InFlight
	u.stats = Stats{InFlight: running, MaxInFlight: running}
}

func (u *Upstream) writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (u *Upstream) handleBehaviour(ctx *fasthttp.RequestCtx) {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := u.behaviour
	if err := json.Unmarshal(ctx.PostBody(), &changed); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if changed.Cold && !u.behaviour.Cold {
		u.successes = 0
	}
	if changed.Silent && !u.behaviour.Silent {
		u.generation++
	}
	u.behaviour = changed
}

// call is one stage call in progress.
type call struct {
	request, stage, attempt string
	callerID                string
	behaviour               Behaviour
	generation              int
	cancelled               chan struct{}
}

func (u *Upstream) handleCall(ctx *fasthttp.RequestCtx) {
	c := u.beginCall(ctx)
	if c == nil {
		return
	}
	defer u.endCall(c)
	if c.behaviour.Hang || u.isSilent(ctx.Conn()) {
		<-c.cancelled
		return
	}
	if c.behaviour.CrashBody != "" && containsText(ctx.PostBody(), c.behaviour.CrashBody) {
		u.crash()
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	serviceTime := time.Duration(c.behaviour.ServiceTime)
	if c.behaviour.Cold && c.behaviour.ColdServiceTime > 0 {
		serviceTime = time.Duration(c.behaviour.ColdServiceTime)
	}
	if !u.waitServiceTime(c, serviceTime) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	u.respond(ctx, c)
}

// beginCall counts a call. It returns nil if the call is rejected and the response is complete.
func (u *Upstream) beginCall(ctx *fasthttp.RequestCtx) *call {
	header := &ctx.Request.Header
	c := &call{
		request: string(header.Peek(headerRequest)), stage: string(header.Peek(headerStage)),
		attempt: string(header.Peek(headerAttempt)), cancelled: make(chan struct{}),
	}
	identity := c.request + "/" + c.stage + "/" + c.attempt
	duplicate := c.request != "" && u.seenAttempts.add(identity)
	repeat := c.request != "" && u.seenStages.add(c.request+"/"+c.stage)
	differentIDs := false
	c.callerID, differentIDs = extractCallerID(ctx.PostBody())
	repeatedID := c.callerID != "" && u.seenCallerIDs.add(c.stage+"/"+c.callerID)
	priority, _ := strconv.Atoi(string(header.Peek("Hoist-Priority")))

	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.Calls++
	u.stats.Duplicates += boolToInt(duplicate)
	u.stats.Repeats += boolToInt(repeat)
	u.stats.RepeatedIDs += boolToInt(repeatedID)
	u.stats.Mixed += boolToInt(differentIDs)
	u.stats.MaxPriority = max(u.stats.MaxPriority, priority)
	b := &u.behaviour
	c.behaviour, c.generation = *b, u.generation
	if status := u.rejectionStatus(b); status != 0 {
		u.setIdentityHeaders(ctx, c)
		u.addLoadHeader(ctx)
		ctx.SetStatusCode(status)
		return nil
	}
	if b.ForeignNext > 0 {
		b.ForeignNext--
		c.behaviour.Foreign = true
	}
	u.stats.InFlight++
	u.stats.MaxInFlight = max(u.stats.MaxInFlight, u.stats.InFlight)
	u.running[identity] = c.cancelled
	if b.Cold && b.ColdCapacity > 0 && u.stats.InFlight > b.ColdCapacity {
		u.stats.OverCold++
		if b.CrashOnOverload {
			u.crashLocked()
		}
	}
	return c
}

// rejectionStatus returns the status of a call that is rejected, or 0 if the call runs. The
// caller holds the mutex.
func (u *Upstream) rejectionStatus(b *Behaviour) int {
	switch {
	case b.FailStatus != 0:
		return b.FailStatus
	case b.FailNext > 0:
		b.FailNext--
		return fasthttp.StatusInternalServerError
	case b.Capacity > 0 && u.stats.InFlight >= b.Capacity:
		u.stats.Rejected++
		return fasthttp.StatusServiceUnavailable
	}
	return 0
}

func (u *Upstream) endCall(c *call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.InFlight--
	identity := c.request + "/" + c.stage + "/" + c.attempt
	if u.running[identity] == c.cancelled {
		delete(u.running, identity)
	}
}

// waitServiceTime waits for the service time. It returns false if the call was cancelled or
// the upstream crashed in the meantime.
func (u *Upstream) waitServiceTime(c *call, serviceTime time.Duration) bool {
	if serviceTime > 0 {
		timer := time.NewTimer(serviceTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.cancelled:
			return false
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashedAt.IsZero()
}

func (u *Upstream) respond(ctx *fasthttp.RequestCtx, c *call) {
	u.setIdentityHeaders(ctx, c)
	u.mu.Lock()
	u.stats.Completed++
	u.successes++
	if u.behaviour.Cold && u.behaviour.WarmAfter > 0 && u.successes >= u.behaviour.WarmAfter {
		u.behaviour.Cold = false
	}
	u.addLoadHeader(ctx)
	u.addCacheEvent(c.callerID)
	u.mu.Unlock()
	if containsText(ctx.Request.Header.Peek("Accept"), "text/event-stream") {
		u.streamTokens(ctx, c)
		return
	}
	u.writeBody(ctx, c)
}

func (u *Upstream) writeBody(ctx *fasthttp.RequestCtx, c *call) {
	if c.callerID == "" {
		ctx.SetBody(ctx.PostBody())
		fmt.Fprintf(ctx, " > %s", u.Entry.Name)
		return
	}
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"id":%q,"upstream":%q,"stage":%q}`, c.callerID, u.Entry.Name, c.stage)
}

// setIdentityHeaders echoes the identity of the call, or a different one if Foreign is set.
func (u *Upstream) setIdentityHeaders(ctx *fasthttp.RequestCtx, c *call) {
	if c.behaviour.NoIdentity {
		return
	}
	request := c.request
	if c.behaviour.Foreign {
		request = "foreign-" + request
	}
	ctx.Response.Header.Set(headerRequest, request)
	ctx.Response.Header.Set(headerStage, c.stage)
	ctx.Response.Header.Set(headerAttempt, c.attempt)
}

// extractCallerID returns the first caller id in a body and reports whether the body also
// contains a different one.
func extractCallerID(body []byte) (string, bool) {
	matches := callerIDPattern.FindAllSubmatch(body, -1)
	if len(matches) == 0 {
		return "", false
	}
	id := string(matches[0][1])
	for _, match := range matches[1:] {
		if string(match[1]) != id {
			return id, true
		}
	}
	return id, false
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
