package edge

import (
	"maps"
	"sync"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// zoneResponses tracks which zones' owners respond to one kind of call.
type zoneResponses struct {
	mu     sync.Mutex
	health placement.ZoneHealth
}

// record records whether an owner responded.
func (z *zoneResponses) record(now clock.Instant, owner fleet.Entry, responded bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if responded {
		z.health.RecordResponse(owner.Zone)
		return
	}
	z.health.RecordTimeout(now, owner.Zone, owner.Name)
}

func (z *zoneResponses) isSuspect(now clock.Instant, zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.health.IsSuspect(now, zone)
}

// isZoneReachable reports whether this VM can reach a zone: its own, one with a VM that is
// reachable, or one without any known VM. A zone whose owners did not respond a moment ago counts
// as unreachable.
func (s *Server) isZoneReachable(zone string) bool {
	if zone == "" || zone == s.settings.Zone {
		return true
	}
	if unreachable := s.unreachableZones.Load(); unreachable != nil && (*unreachable)[zone] {
		return false
	}
	return !s.stageResponses.isSuspect(s.now(), zone)
}

// isZoneSuspect reports whether the membership protocol suspects that a zone is cut off. This shows
// sooner than that it is unreachable, but does not decide who owns its shards.
func (s *Server) isZoneSuspect(zone string) bool {
	suspect := s.suspectZones.Load()
	return suspect != nil && (*suspect)[zone]
}

// takesReservations reports whether the owners of a zone probably respond to reservations.
func (s *Server) takesReservations(zone string) bool {
	if zone == s.settings.Zone {
		return true
	}
	return s.isZoneReachable(zone) && !s.isZoneSuspect(zone) && !s.reservationResponses.isSuspect(s.now(), zone)
}

// updateZones records which zones have VMs but no reachable one, and which are suspect.
func (s *Server) updateZones() {
	unreachable, suspect := s.gossip.unreachableZones(), s.gossip.suspectZones()
	s.unreachableZones.Store(&unreachable)
	previous := s.suspectZones.Swap(&suspect)
	if previous != nil && maps.Equal(*previous, suspect) {
		return
	}
	s.poolRunnersMu.Lock()
	defer s.poolRunnersMu.Unlock()
	for _, runner := range s.poolRunners {
		runner.setSuspectZones(suspect)
	}
}
