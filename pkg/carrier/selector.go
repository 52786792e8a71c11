// Package carrier chooses the VMs that carry connections to upstreams for a VM that is partitioned from
// all upstreams. Open connections are spread by least load over a few VMs, which differ from one
// partitioned VM to the next. A VM that could not carry a connection is passed over with exponential
// backoff. The package does no I/O and reads no clock.
package carrier

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// maxCarriers bounds the VMs in use at a time, since each takes a connection between the VMs and
	// regular pings.
	maxCarriers = 8
	// otherZoneCost is how many times the load of a VM in another zone counts, since a connection through
	// it crosses zones.
	otherZoneCost = 2
	// defaultCapacity stands for the capacity of a VM that does not state it, in thousandths of a core.
	defaultCapacity = 1000
	// initialBackoff is how long a VM is passed over after a failure. It doubles with each further failure
	// up to maxBackoff, which is short since a busy VM soon has room again.
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
	// unsupportedBackoff is how long a VM is passed over whose version carries no connections.
	unsupportedBackoff = 30 * time.Second
	// failureMemory is how long after the end of a backoff the next failure still doubles it.
	failureMemory = 10 * time.Second
)

// vm is what a Selector knows of one VM.
type vm struct {
	// open is the number of open connections through the VM.
	open int
	// backoff is the length of the last backoff, which ends at retryAt; 0 if there was no failure.
	backoff time.Duration
	retryAt clock.Instant
	// unsupported is set if the backoff is that of a VM whose version carries no connections.
	unsupported bool
}

// Selector chooses carriers for one VM. It must not be used concurrently.
type Selector struct {
	self string
	zone string
	vms  map[string]*vm
}

// New returns a Selector for the VM with the name and the zone.
func New(self, zone string) *Selector {
	return &Selector{self: self, zone: zone, vms: map[string]*vm{}}
}

// Select returns the VM that should carry the next connection. The candidates are the reachable VMs; those
// that are leaving, partitioned, in backoff or in tried are not chosen. It returns false if none is left.
func (s *Selector) Select(now clock.Instant, candidates []fleet.Entry, tried []string) (fleet.Entry, bool) {
	s.forgetFailures(now)
	eligible := s.eligible(now, candidates, tried)
	if len(eligible) == 0 {
		return fleet.Entry{}, false
	}
	s.sortByPreference(eligible)
	// MinFunc returns the first of several minima, so preference decides between equal costs.
	return slices.MinFunc(eligible[:min(len(eligible), maxCarriers)], func(a, b fleet.Entry) int {
		return cmp.Compare(s.cost(&a), s.cost(&b))
	}), true
}

// HasCarrier reports whether some candidate may carry connections, at present or after its backoff. VMs whose
// versions carry no connections do not count.
func (s *Selector) HasCarrier(now clock.Instant, candidates []fleet.Entry) bool {
	return slices.ContainsFunc(candidates, func(entry fleet.Entry) bool {
		return s.isUsable(&entry) && !(s.isInBackoff(now, entry.Name) && s.vms[entry.Name].unsupported)
	})
}

func (s *Selector) eligible(now clock.Instant, candidates []fleet.Entry, tried []string) []fleet.Entry {
	var out []fleet.Entry
	for _, entry := range candidates {
		if s.isUsable(&entry) && !s.isInBackoff(now, entry.Name) && !slices.Contains(tried, entry.Name) {
			out = append(out, entry)
		}
	}
	return out
}

// isUsable reports whether a reachable VM may carry connections, apart from its backoff.
func (s *Selector) isUsable(entry *fleet.Entry) bool {
	return entry.Name != s.self && !entry.Leaving && !entry.Partitioned
}

func (s *Selector) isInBackoff(now clock.Instant, name string) bool {
	known := s.vms[name]
	return known != nil && now.Before(known.retryAt)
}

// sortByPreference puts the VMs of this VM's zone first, and orders the others by a hash that differs from
// one partitioned VM to the next.
func (s *Selector) sortByPreference(entries []fleet.Entry) {
	slices.SortFunc(entries, func(a, b fleet.Entry) int {
		if inZone := a.Zone == s.zone; inZone != (b.Zone == s.zone) {
			if inZone {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(rendezvous.Weight(s.self, b.Name), rendezvous.Weight(s.self, a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
}

// cost returns the load of the VM with one more connection, relative to its capacity.
func (s *Selector) cost(entry *fleet.Entry) float64 {
	open := s.Open(entry.Name) + 1
	capacity := entry.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	cost := float64(open) / float64(capacity)
	if entry.Zone != s.zone {
		cost *= otherZoneCost
	}
	return cost
}

// Begin counts a connection through the VM, from the attempt to open it.
func (s *Selector) Begin(name string) { s.vm(name).open++ }

// End records the end of a connection that was counted by Begin.
func (s *Selector) End(name string) {
	if known := s.vm(name); known.open > 0 {
		known.open--
	}
}

// Open returns the number of connections through a VM that were begun and have not ended.
func (s *Selector) Open(name string) int {
	if known := s.vms[name]; known != nil {
		return known.open
	}
	return 0
}

// RecordSuccess ends the backoff of a VM that opened a connection.
func (s *Selector) RecordSuccess(name string) {
	known := s.vm(name)
	known.backoff, known.retryAt, known.unsupported = 0, 0, false
}

// RecordFailure begins a backoff of a VM that could not carry a connection. Failures of connections that
// were attempted before the backoff began do not prolong it.
func (s *Selector) RecordFailure(now clock.Instant, name string) {
	known := s.vm(name)
	if now.Before(known.retryAt) {
		return
	}
	known.backoff = min(max(2*known.backoff, initialBackoff), maxBackoff)
	known.retryAt, known.unsupported = now.Add(known.backoff), false
}

// RecordUnsupported begins the backoff of a VM whose version carries no connections.
func (s *Selector) RecordUnsupported(now clock.Instant, name string) {
	known := s.vm(name)
	known.backoff, known.retryAt, known.unsupported = initialBackoff, now.Add(unsupportedBackoff), true
}

func (s *Selector) vm(name string) *vm {
	known := s.vms[name]
	if known == nil {
		known = &vm{}
		s.vms[name] = known
	}
	return known
}

// forgetFailures removes what is of no use any more.
func (s *Selector) forgetFailures(now clock.Instant) {
	for name, known := range s.vms {
		if now.Sub(known.retryAt) <= failureMemory {
			continue
		}
		if known.backoff = 0; known.open == 0 {
			delete(s.vms, name)
		}
	}
}
