package enginepool

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// Times of the simulated engines of normal pace.
const (
	simFirstEvent   = 40 * time.Millisecond
	simReadPerToken = 12 * time.Microsecond
	simGap          = 30 * time.Millisecond
)

// simLoad is a load on a pool of engines that is replayed against a way to choose engines.
type simLoad struct {
	vms     int
	engines int
	// slowShare is the share of engines that are slow by slowPace.
	slowShare float64
	slowPace  float64
	// perSecond is the rate of requests for each engine.
	perSecond float64
	// subjects is the number of long shared parts, of subjectTokens each; hotShare is the share of
	// requests that have the first of them.
	subjects      int
	subjectTokens int
	hotShare      float64
	seconds       int
}

// simRequest is a request of a load.
type simRequest struct {
	at      clock.Instant
	vm      int
	id      string
	subject int
	own     int
	events  int
}

// simEngine is an engine as it really is.
type simEngine struct {
	id        string
	pace      float64
	readUntil clock.Instant
	cached    map[int]bool
	served    int
}

// chooser chooses engines for the requests of a load.
type chooser interface {
	// choose returns the engine of a request, and the one to copy its subject from or -1.
	choose(now clock.Instant, r *simRequest) (engine, source int)
	// end is called when a request has ended.
	end(now clock.Instant, r *simRequest, engine int, firstEvent, gap time.Duration)
}

// simResult is what the callers of a load saw.
type simResult struct {
	firstEvents []time.Duration
	// readAgain is the number of tokens of subjects that were read although an engine had them.
	readAgain int
	busiest   float64
}

func (r *simResult) quantile(q float64) time.Duration {
	slices.Sort(r.firstEvents)
	return r.firstEvents[int(q*float64(len(r.firstEvents)-1))]
}

// simEnd is the end of a request in a simulation.
type simEnd struct {
	at         clock.Instant
	request    *simRequest
	engine     int
	firstEvent time.Duration
	gap        time.Duration
}

type simEnds []simEnd

func (e simEnds) Len() int           { return len(e) }
func (e simEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEnds) Push(x any)        { *e = append(*e, x.(simEnd)) }
func (e *simEnds) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// newEngines returns the engines of a load.
func (l *simLoad) newEngines() []*simEngine {
	out := make([]*simEngine, l.engines)
	for i := range out {
		out[i] = &simEngine{id: fmt.Sprint("engine-", i), pace: 1, cached: map[int]bool{}}
		if float64(i) < l.slowShare*float64(l.engines) {
			out[i].pace = l.slowPace
		}
	}
	return out
}

// requests draws the requests of a load.
func (l *simLoad) requests(seed uint64) []*simRequest {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []*simRequest
	now := clock.Instant(time.Second)
	end := now.Add(time.Duration(l.seconds) * time.Second)
	for {
		now = now.Add(time.Duration(r.ExpFloat64() / (l.perSecond * float64(l.engines)) * float64(time.Second)))
		if now > end {
			return out
		}
		request := &simRequest{at: now, vm: r.IntN(l.vms), id: fmt.Sprint("request-", len(out)), subject: r.IntN(l.subjects), events: 4 + r.IntN(40)}
		if r.Float64() < l.hotShare {
			request.subject = 0
		}
		request.own = int(min(3000*math.Exp(r.NormFloat64()), 50_000))
		out = append(out, request)
	}
}

// replay runs a load. The first fifth of its time is not measured.
func (l *simLoad) replay(seed uint64, engines []*simEngine, c chooser) simResult {
	var result simResult
	var ends simEnds
	requests := l.requests(seed)
	measureFrom := clock.Instant(time.Second).Add(time.Duration(l.seconds) * time.Second / 5)
	for _, r := range requests {
		for len(ends) > 0 && ends[0].at <= r.at {
			end := heap.Pop(&ends).(simEnd)
			c.end(end.at, end.request, end.engine, end.firstEvent, end.gap)
		}
		index, source := c.choose(r.at, r)
		e := engines[index]
		tokens := r.own
		copying := time.Duration(0)
		switch {
		case e.cached[r.subject]:
		case source >= 0 && engines[source].cached[r.subject]:
			copying = copySetupTime
		default:
			tokens += l.subjectTokens
			if slices.ContainsFunc(engines, func(other *simEngine) bool { return other.cached[r.subject] }) && r.at >= measureFrom {
				result.readAgain += l.subjectTokens
			}
		}
		e.cached[r.subject] = true
		start := max(e.readUntil, r.at).Add(copying)
		e.readUntil = start.Add(time.Duration(float64(tokens) * float64(simReadPerToken) * e.pace))
		firstEvent := e.readUntil.Add(time.Duration(float64(simFirstEvent) * e.pace)).Sub(r.at)
		gap := time.Duration(float64(simGap) * e.pace)
		heap.Push(&ends, simEnd{r.at.Add(firstEvent + time.Duration(r.events)*gap), r, index, firstEvent, gap})
		if r.at >= measureFrom {
			result.firstEvents = append(result.firstEvents, firstEvent)
			e.served++
		}
	}
	for _, e := range engines {
		result.busiest = max(result.busiest, float64(e.served)*float64(l.engines)/float64(len(result.firstEvents)))
	}
	return result
}

// ownerChooser asks the owners of the shards.
type ownerChooser struct {
	load   *simLoad
	shards []Shard
	pools  []*Pool
	// shardOf and ids are the shard and the ID of each engine, and index the engine of each ID.
	shardOf []int
	ids     []string
	index   map[string]int
}

// newOwnerChooser divides the engines into shards of up to perShard.
func newOwnerChooser(l *simLoad, engines []*simEngine, perShard int) *ownerChooser {
	c := &ownerChooser{load: l, index: map[string]int{}}
	for first := 0; first < len(engines); first += perShard {
		part := engines[first:min(first+perShard, len(engines))]
		pool := New()
		var entries []Engine
		for i, e := range part {
			c.index[e.id] = first + i
			c.ids = append(c.ids, e.id)
			c.shardOf = append(c.shardOf, len(c.pools))
			entries = append(entries, Engine{ID: e.id, Zone: "z", Start: 1})
		}
		pool.Configure(Limits{Concurrency: 64, CacheTokens: 500_000, CopyTimePerToken: 300}, entries)
		c.shards = append(c.shards, Shard{Name: rendezvous.HashOf(fmt.Sprint("shard-", len(c.pools))), Engines: len(part)})
		c.pools = append(c.pools, pool)
	}
	return c
}

func (c *ownerChooser) request(r *simRequest) *Request {
	id := uint64(rendezvous.HashOf(fmt.Sprint("subject-", r.subject)))
	return &Request{
		ID: r.id, Parts: []Part{{ID: id, Tokens: c.load.subjectTokens}}, PromptTokens: c.load.subjectTokens + r.own, OutputTokens: 8 * r.events,
		Slack: time.Second,
	}
}

func (c *ownerChooser) choose(now clock.Instant, r *simRequest) (engine, source int) {
	request := c.request(r)
	first, _ := RankShards(rendezvous.Hash(request.Parts[0].ID), c.shards)
	placed, ok := c.pools[first].Place(now, request)
	if !ok {
		panic("no engine")
	}
	source = -1
	if placed.CacheSource != "" {
		source = c.index[placed.CacheSource]
	}
	return c.index[placed.Engine], source
}

func (c *ownerChooser) end(now clock.Instant, r *simRequest, engine int, firstEvent, gap time.Duration) {
	c.pools[c.shardOf[engine]].End(now, r.id, Outcome{Engine: c.ids[engine], FirstEvent: firstEvent, EventGap: gap, Events: r.events})
}

// vmChooser lets each VM choose from its own requests.
type vmChooser struct {
	load *simLoad
	// upstreams holds for each VM the engines as it sees them.
	upstreams [][]*placement.Upstream
}

func newVMChooser(l *simLoad, engines []*simEngine) *vmChooser {
	c := &vmChooser{load: l}
	for range l.vms {
		var ups []*placement.Upstream
		for _, e := range engines {
			ups = append(ups, &placement.Upstream{ID: e.id, Zone: "z"})
		}
		c.upstreams = append(c.upstreams, ups)
	}
	return c
}

func (c *vmChooser) choose(now clock.Instant, r *simRequest) (engine, source int) {
	request := &placement.Request{
		Prefix: []placement.PrefixLevel{{Part: rendezvous.HashOf(fmt.Sprint("subject-", r.subject))}}, Zone: "z",
		FleetWeight: float64(c.load.vms) / 8,
	}
	choice, _ := placement.Pick(now, request, c.upstreams[r.vm])
	choice.Upstream.RecordStart(now)
	source = -1
	if choice.CacheSource != nil {
		source = slices.Index(c.upstreams[r.vm], choice.CacheSource)
	}
	return slices.Index(c.upstreams[r.vm], choice.Upstream), source
}

func (c *vmChooser) end(now clock.Instant, r *simRequest, engine int, firstEvent, _ time.Duration) {
	u := c.upstreams[r.vm][engine]
	u.RecordEnd()
	u.RecordSuccess(now, float64(firstEvent)/float64(500*time.Millisecond))
}
