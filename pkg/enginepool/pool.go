// Package enginepool places requests on the engines of one shard of a pool. It runs at the one VM
// that owns the shard.
//
// A VM of a large fleet has only a few requests at each engine, so its own requests tell little
// about the load there. The owner of a shard is asked for each request, and so knows all of them:
// how many prompt tokens each engine has yet to read, which parts of prompts it has read before,
// and how fast it is. It chooses the engine with the earliest expected first event.
//
// A Pool is deterministic and not safe for concurrent use. Invariants:
//   - a request is in flight at one engine at most;
//   - the tokens and requests in flight of an engine are the sums over its flights;
//   - an engine holds a part of a prompt exactly if its bit is set in the holders of that part.
package enginepool

import (
	"math"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// maxTokens bounds the tokens of one request, and maxFlights the requests in flight of one shard. No
// request and no shard reaches them; they keep a malformed message from occupying an engine for hours
// and from exhausting the memory of the owner.
const (
	maxTokens  = 1 << 21
	maxFlights = 1 << 16
)

// maxEngines is the number of engines of a shard whose caches are tracked. Shards are smaller; see
// stagepool.Partition.
const maxEngines = 64

// Limits describe the engines of a pool. A limit of 0 means that there is none.
type Limits struct {
	// Concurrency is the number of requests that an engine processes at a time.
	Concurrency int
	// CacheTokens is the memory of an engine for running requests and cached parts of prompts, in
	// tokens.
	CacheTokens int64
	// CopyTimePerToken is the time in nanoseconds to copy a cached token from another engine of the
	// zone; 0 if engines do not copy.
	CopyTimePerToken float64
}

// Engine identifies an engine of the shard.
type Engine struct {
	ID   string
	Zone string
	// Start tells apart the starts of an engine under one ID.
	Start int64
	// ColdUntil is the end of a cold start.
	ColdUntil clock.Instant
	// OutOfService is set if the engine gets no requests. Others may still copy from it.
	OutOfService bool
}

// engine is the state of an engine at the owner.
type engine struct {
	Engine
	// hash is the hash of the ID.
	hash rendezvous.Hash
	// index is the bit of the engine in the holders of parts; -1 if its cache is not tracked.
	index     int
	inService bool
	// registered is set while the engine belongs to the shard.
	registered bool
	// running and tokens are the requests in flight and the memory that they need, in tokens.
	running int
	tokens  int64
	// readUntil is when the engine will have read the prompts in flight.
	readUntil clock.Instant
	pace      pace
	cache     cache
	report    load
	// health holds the backoff after failures.
	health placement.Upstream
}

// flight is a request in flight.
type flight struct {
	engine   *engine
	placedAt clock.Instant
	expires  clock.Instant
	tokens   int64
	// readTokens are the prompt tokens that the engine had to read, readTime the time for them and
	// wait the expected time for the prompts ahead.
	readTokens int
	readTime   time.Duration
	wait       time.Duration
	// parts are the parts that the request brought to the engine.
	parts [maxParts]uint64
	count int
}

// Pool is the state of a shard at its owner.
type Pool struct {
	limits  Limits
	engines []*engine
	byID    map[string]*engine
	flights map[string]*flight
	free    []*flight
	parts   parts
	time    timeModel
	gap     mean
	// offers and sources are reused between placements.
	offers  []offer
	sources []*engine
	// duration is the typical time of a request at an engine.
	duration  mean
	expiredAt clock.Instant
}

// New returns a pool without engines.
func New() *Pool {
	return &Pool{byID: map[string]*engine{}, flights: map[string]*flight{}, parts: newParts(), time: newTimeModel()}
}

// Configure sets the limits and the engines of the shard. Requests in flight at other engines
// continue. An engine that has started again has lost its cache and its requests.
func (p *Pool) Configure(limits Limits, engines []Engine) {
	p.limits = limits
	for _, e := range p.engines {
		e.inService, e.registered = false, false
	}
	for _, entry := range engines {
		known := p.byID[entry.ID]
		if known != nil && known.Start != entry.Start {
			p.remove(known)
			known = nil
		}
		if known == nil {
			known = p.add(entry)
		}
		known.Zone, known.inService, known.registered = entry.Zone, !entry.OutOfService, true
		known.ColdUntil = max(known.ColdUntil, entry.ColdUntil)
	}
	for _, e := range slices.Clone(p.engines) {
		if !e.registered && e.running == 0 {
			p.remove(e)
		}
	}
}

func (p *Pool) add(entry Engine) *engine {
	e := &engine{Engine: entry, hash: rendezvous.HashOf(entry.ID), index: p.freeIndex()}
	p.byID[e.ID] = e
	p.engines = append(p.engines, e)
	return e
}

// freeIndex returns a bit that no engine uses, or -1.
func (p *Pool) freeIndex() int {
	used := uint64(0)
	for _, e := range p.engines {
		if e.index >= 0 {
			used |= 1 << e.index
		}
	}
	for i := range maxEngines {
		if used&(1<<i) == 0 {
			return i
		}
	}
	return -1
}

func (p *Pool) remove(e *engine) {
	for id, f := range p.flights {
		if f.engine == e {
			p.drop(0, id, f)
		}
	}
	p.parts.evictAll(e)
	delete(p.byID, e.ID)
	p.engines = slices.DeleteFunc(p.engines, func(other *engine) bool { return other == e })
}

// drop removes a flight. An engine without flights has nothing left to read, whatever was expected.
func (p *Pool) drop(now clock.Instant, id string, f *flight) {
	f.engine.running--
	if f.engine.running == 0 {
		f.engine.readUntil = min(f.engine.readUntil, now)
	}
	f.engine.tokens -= f.tokens
	delete(p.flights, id)
	p.free = append(p.free, f)
}

// InFlight returns the number of requests in flight.
func (p *Pool) InFlight() int { return len(p.flights) }

const (
	// expiryInterval is the time between two searches for flights whose end was never reported.
	expiryInterval = time.Second
	// flightDurations and flightSlack bound a flight whose VM does not report its end: the VM may
	// have died. They are multiples of, and a time beyond, the typical duration.
	flightDurations = 4
	flightSlack     = 2 * time.Second
	// defaultDuration is the typical duration of a request before one has ended.
	defaultDuration = 2 * time.Second
)

// expire drops the flights whose end should have been reported.
func (p *Pool) expire(now clock.Instant) {
	if now.Sub(p.expiredAt) < expiryInterval {
		return
	}
	p.expiredAt = now
	for id, f := range p.flights {
		if now >= f.expires {
			p.drop(now, id, f)
		}
	}
}

// maxFlightTime returns the time after which a flight is dropped if its end is not reported.
func (p *Pool) maxFlightTime() time.Duration {
	return flightDurations*p.duration.or(defaultDuration) + flightSlack
}

// mean is a moving average of durations. The zero value has no sample.
type mean struct{ value float64 }

// add moves the average towards a sample by its weight, at most 1.
func (m *mean) add(sample time.Duration, weight float64) {
	if m.value == 0 {
		m.value = float64(sample)
		return
	}
	m.value += weight * (float64(sample) - m.value)
}

// or returns the average, or otherwise without a sample.
func (m *mean) or(otherwise time.Duration) time.Duration {
	if m.value == 0 {
		return otherwise
	}
	return time.Duration(math.Round(m.value))
}
