package evaluate

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// coldSlowdown is the ratio of the service times of a cold and a warm upstream.
	coldSlowdown = 2
	// overloadExponent is the power of the utilization by which service times grow above the
	// warm capacity.
	overloadExponent = 1.5
	// serviceTimeSigma is the standard deviation of the logarithm of service times.
	serviceTimeSigma = 0.3
	// coldFailureDelay is the time after which an attempt above the cold capacity fails.
	coldFailureDelay = 200 * time.Millisecond
	// cachedPrefixes is the number of prompt prefixes that an engine keeps.
	cachedPrefixes = 40
	// cachedServiceRatio is the ratio of the service times with and without a cached prefix.
	cachedServiceRatio = 0.6
	crossZoneLatency   = time.Millisecond
)

// server simulates one upstream.
type server struct {
	sim         *simulation
	random      *rand.Rand
	pool        *table.Pool
	entry       table.Upstream
	serviceTime time.Duration

	running     map[*call]bool
	cold        bool
	successes   int
	down        bool
	failureRate float64
	prefixes    []uint64
	// serviceScale multiplies service times; 1 is normal.
	serviceScale float64

	starts, overLimitStarts, prefixHits int
	lastStartNumber                     int
	peakConcurrency                     int
	loadIntegral                        float64
	loadUpdated                         int64
}

// call is one attempt on a server.
type call struct {
	request *request
	stage   int
	prefix  uint64
	started int64
	// startNumber numbers the calls of a server in start order.
	startNumber int
	onEnd       func(dispatch.OutcomeKind, *dispatch.LoadReport)
	done        bool
}

// start runs a call. It calls onEnd once unless the call is cancelled.
func (s *server) start(c *call, sameZone bool) {
	delay := time.Duration(0)
	if !sameZone {
		delay = crossZoneLatency
	}
	if s.down {
		s.sim.schedule(delay, func() { c.end(dispatch.OutcomeRefused, nil) })
		return
	}
	s.updateLoad()
	s.starts++
	s.lastStartNumber++
	c.startNumber = s.lastStartNumber
	s.running[c] = true
	s.peakConcurrency = max(s.peakConcurrency, len(s.running))
	c.started = int64(s.sim.now)
	if s.cold && len(s.running) > s.pool.Capacity.Cold {
		s.overLimitStarts++
		s.successes = 0
		s.sim.schedule(delay+coldFailureDelay, func() { s.finish(c, dispatch.OutcomeFailed) })
		return
	}
	serviceTime := s.drawServiceTime(c) + delay
	kind := dispatch.OutcomeSuccess
	if s.random.Float64() < s.failureRate {
		kind = dispatch.OutcomeFailed
		serviceTime /= 3
	}
	s.sim.schedule(serviceTime, func() { s.finish(c, kind) })
}

// drawServiceTime returns a random, log-normal service time for a call that just started.
func (s *server) drawServiceTime(c *call) time.Duration {
	factor := math.Exp(s.random.NormFloat64()*serviceTimeSigma-serviceTimeSigma*serviceTimeSigma/2) * s.serviceScale
	if load := float64(len(s.running)) / float64(s.pool.Capacity.Warm); load > 1 {
		factor *= math.Pow(load, overloadExponent)
	}
	if s.cold {
		factor *= coldSlowdown
	}
	if c.prefix != 0 && s.lookUpPrefix(c.prefix) {
		factor *= cachedServiceRatio
	}
	return time.Duration(factor * float64(s.serviceTime))
}

// lookUpPrefix reports whether a prefix is cached, and makes it the most recently used one.
func (s *server) lookUpPrefix(prefix uint64) bool {
	for i, known := range s.prefixes {
		if known == prefix {
			s.prefixes = append(append(s.prefixes[:i], s.prefixes[i+1:]...), prefix)
			s.prefixHits++
			return true
		}
	}
	s.prefixes = append(s.prefixes, prefix)
	if len(s.prefixes) > cachedPrefixes {
		s.prefixes = s.prefixes[1:]
	}
	return false
}

func (s *server) finish(c *call, kind dispatch.OutcomeKind) {
	if !s.running[c] {
		return
	}
	report := s.loadReport()
	s.removeCall(c)
	if kind == dispatch.OutcomeSuccess {
		s.successes++
		if s.successes >= s.pool.Capacity.WarmAfter {
			s.cold = false
		}
	}
	c.end(kind, report)
}

func (s *server) loadReport() *dispatch.LoadReport {
	if !s.pool.Features.ReportsLoad {
		return nil
	}
	return &dispatch.LoadReport{InFlight: len(s.running), Cold: s.cold, Warm: !s.cold}
}

// cancel ends a call for the caller. The server stops work only if the pool supports
// cancellation.
func (s *server) cancel(c *call) {
	c.done = true
	if s.pool.Features.Cancel && s.running[c] {
		s.removeCall(c)
	}
}

func (s *server) removeCall(c *call) {
	s.updateLoad()
	delete(s.running, c)
	c.request.work[c.stage] += time.Duration(int64(s.sim.now) - c.started)
	if c.request.done {
		// The request has already been recorded, so work that ends now is wasted.
		c.request.stats.wasted[c.stage] += time.Duration(int64(s.sim.now) - c.started)
		c.request.stats.work[c.stage] += time.Duration(int64(s.sim.now) - c.started)
	}
}

// crash simulates a crash of the process. The server is cold and refuses connections until
// down is reset.
func (s *server) crash() {
	s.down = true
	s.restart()
	for _, c := range s.callsByStart() {
		s.removeCall(c)
		s.sim.schedule(0, func() { c.end(dispatch.OutcomeDied, nil) })
	}
}

// callsByStart returns the running calls in start order; the iteration order of a map would
// make runs nondeterministic.
func (s *server) callsByStart() []*call {
	calls := slices.Collect(maps.Keys(s.running))
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.startNumber, b.startNumber) })
	return calls
}

// restart replaces the process with a cold one.
func (s *server) restart() {
	s.cold = true
	s.successes = 0
	s.prefixes = nil
}

// updateLoad updates the integral of the concurrency over time.
func (s *server) updateLoad() {
	now := int64(s.sim.now)
	s.loadIntegral += float64(len(s.running)) * float64(now-s.loadUpdated)
	s.loadUpdated = now
}

func (c *call) end(kind dispatch.OutcomeKind, report *dispatch.LoadReport) {
	if c.done {
		return
	}
	c.done = true
	c.onEnd(kind, report)
}
