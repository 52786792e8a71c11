package partition

import (
	"cmp"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// probeExpiry is how long the end of a probe is awaited, which its sender reports after ProbeTimeout.
	probeExpiry = 2 * ProbeTimeout
	// recentProbes is the number of past probes that the choice of the next one takes into account.
	recentProbes = 8
)

// Upstream is an upstream that may be probed.
type Upstream struct {
	// Address is its IP:port.
	Address string
	Pool    string
	Zone    string
	// HasReport is set if it answers a query other than its liveness check, so that it is preferred.
	HasReport bool
}

// Probe is a query to send on a new connection, with a timeout of ProbeTimeout.
type Probe struct {
	ID      uint64
	Address string
}

// runningProbe is a probe whose end is awaited.
type runningProbe struct {
	address string
	started clock.Instant
}

// probes holds the probes of a round, or of the time while partitioned.
type probes struct {
	lastID   uint64
	running  map[uint64]runningProbe
	failed   []string
	answered int
	// recent holds the addresses of the latest probes.
	recent []string
}

func newProbes() probes { return probes{running: map[uint64]runningProbe{}} }

// start starts a probe of each address.
func (p *probes) start(now clock.Instant, addresses []string) []Probe {
	p.failed, p.answered = nil, 0
	var out []Probe
	for _, address := range addresses {
		p.lastID++
		p.running[p.lastID] = runningProbe{address: address, started: now}
		p.recent = append(p.recent, address)
		out = append(out, Probe{ID: p.lastID, Address: address})
	}
	p.recent = p.recent[max(len(p.recent)-recentProbes, 0):]
	return out
}

// isRunning reports whether the end of a probe is awaited.
func (p *probes) isRunning(id uint64) bool {
	_, ok := p.running[id]
	return ok
}

// end ends a probe and returns it. It returns false if the probe was cancelled.
func (p *probes) end(id uint64, answered bool) (probe runningProbe, ok bool) {
	probe, ok = p.running[id]
	if !ok {
		return runningProbe{}, false
	}
	delete(p.running, id)
	if answered {
		p.answered++
	} else {
		p.failed = append(p.failed, probe.address)
	}
	return probe, true
}

// expired returns the probes whose end was not reported in time, in the order in which they were started.
func (p *probes) expired(now clock.Instant) []uint64 {
	var ids []uint64
	for id, probe := range p.running {
		if now.Sub(probe.started) >= probeExpiry {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// cancel forgets the probes that are running.
func (p *probes) cancel() {
	clear(p.running)
	p.failed, p.answered = nil, 0
}

// probeOrder decides between upstreams that are equal in how they spread the probes.
type probeOrder struct {
	// isLast reports whether an upstream is to be probed only if there is no other one, and isAvoided whether
	// it is to be probed only if others would spread the probes no better.
	isLast    func(address string) bool
	isAvoided func(address string) bool
	// recent are the upstreams that were probed lately.
	recent []string
	hash   rendezvous.Hash
}

// order returns the order for the next probes. While partitioned, they move on from upstream to upstream.
func (d *Detector) order() probeOrder {
	order := probeOrder{hash: rendezvous.Hash(d.seed + d.probes.lastID)}
	order.isLast = func(address string) bool { _, ok := d.returned[address]; return ok }
	order.isAvoided = func(address string) bool {
		_, failed := d.failures[address]
		_, failedAlone := d.failedAlone[address]
		return failed || failedAlone
	}
	if d.state == Partitioned {
		order.recent = d.probes.recent
	}
	return order
}

// spread counts the probes by pool and zone.
type spread struct {
	pools, zones map[string]int
	pairs        map[[2]string]int
}

func (s *spread) add(u *Upstream) {
	s.pools[u.Pool]++
	s.zones[u.Zone]++
	s.pairs[[2]string{u.Pool, u.Zone}]++
}

// chooseSpread returns the addresses of up to n upstreams, spread over pools and zones.
func chooseSpread(upstreams []Upstream, n int, order probeOrder) []string {
	counts := spread{pools: map[string]int{}, zones: map[string]int{}, pairs: map[[2]string]int{}}
	for i := range upstreams {
		if slices.Contains(order.recent, upstreams[i].Address) {
			counts.add(&upstreams[i])
		}
	}
	var chosen []string
	for len(chosen) < min(n, len(upstreams)) {
		best := -1
		for i := range upstreams {
			if slices.Contains(chosen, upstreams[i].Address) {
				continue
			}
			if best < 0 || counts.compare(&upstreams[i], &upstreams[best], order) < 0 {
				best = i
			}
		}
		if best < 0 {
			break
		}
		counts.add(&upstreams[best])
		chosen = append(chosen, upstreams[best].Address)
	}
	return chosen
}

// compare orders upstreams by how well they extend the probes; the first one is probed next.
func (s *spread) compare(a, b *Upstream, order probeOrder) int {
	return cmp.Or(
		compareBools(order.isLast(a.Address), order.isLast(b.Address)),
		cmp.Compare(s.pools[a.Pool], s.pools[b.Pool]),
		cmp.Compare(s.zones[a.Zone], s.zones[b.Zone]),
		cmp.Compare(s.pairs[[2]string{a.Pool, a.Zone}], s.pairs[[2]string{b.Pool, b.Zone}]),
		compareBools(order.isAvoided(a.Address), order.isAvoided(b.Address)),
		compareBools(!a.HasReport, !b.HasReport),
		cmp.Compare(order.weight(a), order.weight(b)),
		cmp.Compare(a.Address, b.Address),
	)
}

func (o *probeOrder) weight(u *Upstream) uint64 {
	return rendezvous.WeightOf(rendezvous.HashOf(u.Address), o.hash)
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
