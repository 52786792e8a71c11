package membership

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// minSuspectsOfZone is the number of VMs that must not be alive for their zone to count as cut
	// off.
	minSuspectsOfZone = 2
	// isolationTimeout is how long no message may arrive from any other zone until this one counts
	// as cut off from all of them. Normally several arrive each second.
	isolationTimeout = time.Second
)

// SuspectZones returns the zones, other than the given one, that are probably cut off: more than
// half of their known VMs, and at least two, are not alive. This shows long before each VM of the
// zone was declared unreachable, and to all VMs at about the same time, whereas the requests of one
// VM of a large fleet are too few to find it out. If no other zone was heard of for a while, all of
// them count as cut off.
func (m *Machine) SuspectZones(now clock.Instant, own string) map[string]bool {
	if m.notAliveCount < minSuspectsOfZone || m.catchingUp {
		return nil
	}
	known, notAlive := map[string]int{}, map[string]int{}
	for _, member := range m.members {
		known[member.Zone]++
		notAlive[member.Zone] += member.notAlive()
	}
	isolated := m.isIsolated(now, own)
	suspect := map[string]bool{}
	for zone, n := range notAlive {
		if zone != own && (isolated || (n >= minSuspectsOfZone && 2*n > known[zone])) {
			suspect[zone] = true
		}
	}
	return suspect
}

// isIsolated reports whether no message of another zone has arrived for a while.
func (m *Machine) isIsolated(now clock.Instant, own string) bool {
	for zone, at := range m.lastHeard {
		if zone != own && now.Sub(at) <= isolationTimeout {
			return false
		}
	}
	return true
}
