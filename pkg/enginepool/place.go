package enginepool

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// interferenceWeight is the cost of reading a prompt for each stream that runs at the engine,
	// as a fraction of the reading time: the engine reads chunks of the prompt between the tokens
	// of its streams, whose events come later by that.
	interferenceWeight = 0.12
	// readWeight is the cost of reading relative to waiting. The reading of one request delays
	// those that come after it.
	readWeight = 1.25
	// slackDivisor sets how much later than at the fastest engine the first event may come for the
	// sake of an engine that has to read less: the time that is left then, divided by it. Within
	// that time waiting costs the fraction slackWaitWeight of reading, since the caller does not
	// notice it and the work is saved for others.
	slackDivisor    = 4
	slackWaitWeight = 0.2
	// evictionWeight is the cost of a token that makes the engine evict another one, relative to the
	// time to read it: some of what is evicted will be asked for again.
	evictionWeight = 0.1
	// copyWeight is the cost of the work of a copied token, relative to reading it.
	copyWeight = 0.1
	// preferenceWeight is the probability that the engine which a part of a prompt prefers has it
	// although this owner does not know: a previous owner may have placed it there.
	preferenceWeight = 0.5
	// maxPreferredPace is the pace up to which an engine is preferred by a part.
	maxPreferredPace = 1.5
	// copySetupTime is the time that a copy of cached tokens takes besides the transfer.
	copySetupTime = 5 * time.Millisecond
	// crossZoneCopyFactor is how much longer a copy between zones takes.
	crossZoneCopyFactor = 2
	// otherZoneCost is the cost of moving large inputs to an engine in another zone.
	otherZoneCost = 5 * time.Millisecond
	// memoryFraction is the fraction of the memory that requests in flight may fill, since the
	// output of a request may be longer than expected.
	memoryFraction = 0.9
)

// Request is a request to place.
type Request struct {
	ID string
	// Parts are the parts of the prompt that other requests may share, in prompt order.
	Parts []Part
	// PromptTokens is the size of the whole prompt, and OutputTokens the expected size of the
	// output.
	PromptTokens int
	OutputTokens int
	// InputZone is the zone that holds large inputs of the request; empty if there are none.
	InputZone string
	// Slack is the time in which the first event should come; 0 if there is no objective.
	Slack time.Duration
	// Excluded are the engines that must not be chosen.
	Excluded []string
}

// Placement is the engine chosen for a request, with what decided.
type Placement struct {
	Engine string
	// CacheSource is the engine from which the chosen one should copy parts of the prompt; empty
	// if there is none.
	CacheSource string
	// Expected is the expected time to the first event, of which Wait is the time for the prompts
	// ahead.
	Expected time.Duration
	Wait     time.Duration
	// CachedTokens is the number of tokens that the engine has read before, and CopiedTokens that
	// of those it should copy.
	CachedTokens int
	CopiedTokens int
}

// offer is what an engine costs for a request.
type offer struct {
	engine *engine
	source *engine
	cost   float64
	wait   time.Duration
	// read is the time until the first event after the wait, of which readTime is spent on
	// readTokens.
	read       time.Duration
	readTime   time.Duration
	readTokens int
	pace       float64
	cached     int
	copied     int
	// work is the work that the request makes for the engines, in nanoseconds of their time.
	work float64
}

// Place chooses an engine and counts the request as in flight there until End. It returns false
// if no engine may take it now: none is in service, warm and out of backoff, or has room for it.
func (p *Pool) Place(now clock.Instant, r *Request) (Placement, bool) {
	p.expire(now)
	if old := p.flights[r.ID]; old != nil {
		p.drop(now, r.ID, old)
	}
	if len(p.flights) >= maxFlights {
		return Placement{}, false
	}
	r.limit()
	best := p.choose(now, r)
	if best == nil {
		return Placement{}, false
	}
	p.start(now, r, best)
	placed := Placement{
		Engine: best.engine.ID, Expected: best.expected(), Wait: best.wait, CachedTokens: best.cached, CopiedTokens: best.copied,
	}
	if best.source != nil {
		placed.CacheSource = best.source.ID
	}
	return placed, true
}

// Locate returns the engine from which the longest beginning of a prompt can be copied, and its size in
// tokens; "" and 0 if no engine has read any of it.
func (p *Pool) Locate(now clock.Instant, prompt []Part) (engine string, tokens int) {
	holders := p.parts.holders(now, prompt)
	p.findSources(&holders)
	if len(p.sources) == 0 {
		return "", 0
	}
	return p.sources[0].ID, holders.longest
}

// limit bounds the figures of a request that another VM sent. Parts without tokens are nothing to cache,
// and a prompt is no smaller than its parts.
func (r *Request) limit() {
	r.PromptTokens, r.OutputTokens = min(max(r.PromptTokens, 0), maxTokens), min(max(r.OutputTokens, 0), maxTokens)
	r.Parts = r.Parts[:min(len(r.Parts), maxParts)]
	shared := 0
	for i, part := range r.Parts {
		if part.ID == privatePart || part.Tokens <= 0 || part.Tokens > maxTokens-shared {
			r.Parts = r.Parts[:i]
			break
		}
		shared += part.Tokens
	}
	r.PromptTokens = max(r.PromptTokens, shared)
}

// choose returns the offer of the best engine, or nil if none may take the request.
func (p *Pool) choose(now clock.Instant, r *Request) *offer {
	holders := p.parts.holders(now, r.Parts)
	p.findSources(&holders)
	p.offers = p.offers[:0]
	fastest := -1
	for _, e := range p.engines {
		if !p.isAvailable(now, e, r) {
			continue
		}
		p.offers = append(p.offers, offer{engine: e})
		last := len(p.offers) - 1
		p.fill(now, &p.offers[last], r, &holders)
		if fastest < 0 || p.offers[last].cost < p.offers[fastest].cost {
			fastest = last
		}
	}
	if fastest < 0 {
		return nil
	}
	preferred := p.prefer(r, &holders)
	best := &p.offers[fastest]
	limit := best.expected() + max(r.Slack-best.expected(), 0)/slackDivisor
	for i := range p.offers {
		if o := &p.offers[i]; o.expected() <= limit && o.workCost() < best.workCost() {
			best = o
		}
	}
	if preferred != nil && preferred != best && best.source == nil {
		best.source = preferred.engine
	}
	return best
}

// prefer makes an engine cheaper for a request whose last shared part no engine is known to have, and
// returns its offer; nil if there is no such part. It is the first engine by rendezvous hashing, so
// that parts are found again after a change of the owner, which loses what the old one knew.
func (p *Pool) prefer(r *Request, holders *partHolders) *offer {
	shared := len(r.Parts)
	if holders.count == shared {
		return nil
	}
	var preferred *offer
	highest, unknown := uint64(0), 0
	for i := range p.offers {
		o := &p.offers[i]
		weight := rendezvous.WeightOf(rendezvous.Hash(r.Parts[shared-1].ID), o.engine.hash)
		if o.pace <= maxPreferredPace && (preferred == nil || weight > highest) {
			preferred, highest = o, weight
		}
	}
	if preferred == nil {
		return nil
	}
	for _, part := range r.Parts[holders.count:shared] {
		unknown += part.Tokens
	}
	gain := preferenceWeight * float64(p.time.reading(unknown, preferred.pace))
	preferred.work -= gain
	preferred.cost -= gain
	return preferred
}

// expected returns the expected time to the first event.
func (o *offer) expected() time.Duration { return o.wait + o.read }

// workCost returns the cost of an offer that is early enough for its caller.
func (o *offer) workCost() float64 {
	return o.work + slackWaitWeight*o.cost
}

// isAvailable reports whether an engine may take a request.
func (p *Pool) isAvailable(now clock.Instant, e *engine, r *Request) bool {
	switch {
	case !e.inService, e.ColdUntil > now, e.health.InBackoff(now):
		return false
	case p.limits.CacheTokens > 0 && e.running > 0 && float64(e.usedTokens(now)+r.tokens()) > memoryFraction*float64(p.limits.CacheTokens):
		return false
	}
	return !slices.Contains(r.Excluded, e.ID)
}

// tokens is the memory that the request needs, in tokens.
func (r *Request) tokens() int64 { return int64(r.PromptTokens) + int64(r.OutputTokens) }

// fill computes what the engine of an offer costs for a request.
func (p *Pool) fill(now clock.Instant, o *offer, r *Request, holders *partHolders) {
	e := o.engine
	pace := e.pace.factor(now, p.gap)
	o.pace = pace
	o.cached, o.wait = holders.cachedAt(e), p.wait(now, e)
	o.readTokens = max(r.PromptTokens-o.cached, 0)
	o.read = p.time.firstEvent(o.readTokens, pace)
	if source := p.sourceFor(e); source != nil && holders.longest > o.cached {
		copied := holders.longest - o.cached
		copyTime := p.copyTime(e, source, copied)
		if read := p.time.firstEvent(o.readTokens-copied, pace) + copyTime; read < o.read {
			o.source, o.copied, o.read = source, copied, read
			o.readTokens -= copied
		}
	}
	o.readTime = p.time.reading(o.readTokens, pace)
	streams := float64(e.running + e.report.running(now))
	o.cost = float64(o.wait) + float64(o.read) + (readWeight-1+interferenceWeight*streams)*float64(o.readTime)
	if r.InputZone != "" && e.Zone != r.InputZone {
		o.cost += float64(otherZoneCost)
	}
	o.work = p.work(e, r, o)
	o.cost = (o.cost + o.work - float64(o.readTime)) * e.health.ErrorFactor(now)
}

// work returns the work that a request makes: reading, copying, and reading again what the engine
// evicts for it.
func (p *Pool) work(e *engine, r *Request, o *offer) float64 {
	work := float64(o.readTime) + copyWeight*float64(p.time.reading(o.copied, 1))
	if p.limits.CacheTokens > 0 {
		added := r.tokens() - int64(o.cached)
		evicted := min(max(e.cache.tokens+added-p.limits.CacheTokens, 0), added)
		work += evictionWeight * float64(p.time.reading(int(evicted), 1))
	}
	return work
}

// wait returns the time until the engine begins to read another prompt: it reads those in flight
// first, and takes no more requests than it processes at a time.
func (p *Pool) wait(now clock.Instant, e *engine) time.Duration {
	wait := max(e.readUntil.Sub(now), 0) + e.report.wait(now)
	running := e.running + e.report.running(now)
	if p.limits.Concurrency > 0 && running >= p.limits.Concurrency {
		perPlace := p.duration.or(defaultDuration) / time.Duration(p.limits.Concurrency)
		wait = max(wait, time.Duration(running-p.limits.Concurrency+1)*perPlace)
	}
	return wait
}

// findSources finds the engines from which others can copy the longest beginning of a prompt that some
// engine has read: the one of each zone that reads least.
func (p *Pool) findSources(holders *partHolders) {
	p.sources = p.sources[:0]
	if p.limits.CopyTimePerToken <= 0 || holders.longest == 0 {
		return
	}
	for _, e := range p.engines {
		if holders.cachedAt(e) < holders.longest {
			continue
		}
		at := slices.IndexFunc(p.sources, func(other *engine) bool { return other.Zone == e.Zone })
		switch {
		case at < 0:
			p.sources = append(p.sources, e)
		case e.readUntil < p.sources[at].readUntil:
			p.sources[at] = e
		}
	}
}

// sourceFor returns the engine from which another one should copy: one of its own zone, if there is
// one; nil if there is none at all.
func (p *Pool) sourceFor(to *engine) *engine {
	var source *engine
	for _, e := range p.sources {
		if e == to {
			continue
		}
		if e.Zone == to.Zone {
			return e
		}
		source = e
	}
	return source
}

func (p *Pool) copyTime(to, from *engine, tokens int) time.Duration {
	perToken := p.limits.CopyTimePerToken
	if to.Zone != from.Zone {
		perToken *= crossZoneCopyFactor
	}
	return copySetupTime + time.Duration(perToken*float64(tokens))
}

// start counts the request as in flight at the engine of the offer.
func (p *Pool) start(now clock.Instant, r *Request, o *offer) {
	e := o.engine
	f := p.newFlight()
	*f = flight{
		engine: e, placedAt: now, expires: now.Add(p.maxFlightTime()), tokens: r.tokens(),
		readTokens: o.readTokens, readTime: o.readTime, wait: o.wait,
	}
	p.flights[r.ID] = f
	e.running++
	e.tokens += f.tokens
	e.readUntil = max(e.readUntil, now).Add(o.readTime)
	shared := 0
	for _, part := range r.Parts {
		shared += part.Tokens
		if p.parts.add(e, part, e.readUntil) {
			f.parts[f.count] = part.ID
			f.count++
		}
	}
	p.parts.addPrivate(e, max(r.PromptTokens-shared, 0)+r.OutputTokens)
	p.parts.evict(e, p.limits.CacheTokens)
}

func (p *Pool) newFlight() *flight {
	if n := len(p.free); n > 0 {
		f := p.free[n-1]
		p.free = p.free[:n-1]
		return f
	}
	return &flight{}
}
