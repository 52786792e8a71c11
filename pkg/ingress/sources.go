package ingress

import (
	"net/netip"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// maxSources bounds the addresses that are counted, which is several times the VMs of a fleet.
	maxSources = 2048
	// sourceWindow is the time over which the datagrams of an address are counted.
	sourceWindow = time.Second
)

// Sources bounds the datagrams of each source address. It must not be used concurrently.
type Sources struct {
	limit  int
	start  clock.Instant
	counts map[netip.Addr]int
}

// NewSources returns a bound of limit datagrams a second for each address.
func NewSources(limit int) *Sources {
	return &Sources{limit: limit, counts: map[netip.Addr]int{}}
}

// Allow reports whether a datagram of the address may be handled.
func (s *Sources) Allow(now clock.Instant, source netip.Addr) bool {
	if now.Sub(s.start) >= sourceWindow {
		s.start = now
		clear(s.counts)
	}
	n, known := s.counts[source]
	if n >= s.limit || !known && len(s.counts) >= maxSources {
		return false
	}
	s.counts[source] = n + 1
	return true
}
