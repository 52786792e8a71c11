package registry

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// zoneKeepTime is how long a zone stays out of service that a copy of the store does not list, unless its
// item is written or removed before.
const zoneKeepTime = 10 * time.Second

// ZonesOut holds the zones that operators took out of service. It is deterministic and not safe for
// concurrent use.
type ZonesOut struct {
	// keptUntil holds the end of the time for which a zone that is no longer listed stays out; 0 for a listed
	// one.
	keptUntil map[string]clock.Instant
	// decided holds the zones that the store has written in this era, and those that were kept out in it. A
	// peer's word does not count for them, so that no zone is kept for longer than zoneKeepTime.
	decided map[string]bool
}

// NewZonesOut returns a set without zones.
func NewZonesOut() *ZonesOut {
	return &ZonesOut{keptUntil: map[string]clock.Instant{}, decided: map[string]bool{}}
}

// BeginEra records that the store has returned from a copy. Zones that are already kept out are not kept anew.
func (z *ZonesOut) BeginEra() {
	clear(z.decided)
	for zone, until := range z.keptUntil {
		if until != 0 {
			z.decided[zone] = true
		}
	}
}

// Put takes a zone out of service.
func (z *ZonesOut) Put(zone string) {
	z.keptUntil[zone] = 0
	z.decided[zone] = true
}

// Remove returns a zone to service.
func (z *ZonesOut) Remove(zone string) {
	delete(z.keptUntil, zone)
	z.decided[zone] = true
}

// Keep keeps a zone out of service for zoneKeepTime that the store has lost with its return from a copy, and
// reports whether it does. It has no effect on a zone in service.
func (z *ZonesOut) Keep(now clock.Instant, zone string) bool {
	until, isOut := z.keptUntil[zone]
	if !isOut || until != 0 {
		return false
	}
	z.keepOut(now, zone)
	return true
}

// KeepForPeer keeps a zone out of service for zoneKeepTime that a peer keeps out, and reports whether it does.
// It has no effect on a zone that is out, or that was decided on in this era.
func (z *ZonesOut) KeepForPeer(now clock.Instant, zone string) bool {
	if _, isOut := z.keptUntil[zone]; isOut || z.decided[zone] {
		return false
	}
	z.keepOut(now, zone)
	return true
}

func (z *ZonesOut) keepOut(now clock.Instant, zone string) {
	z.keptUntil[zone] = now.Add(zoneKeepTime)
	z.decided[zone] = true
}

// Tick returns zones to service that were kept out long enough, and returns their names.
func (z *ZonesOut) Tick(now clock.Instant) []string {
	var expired []string
	for zone, until := range z.keptUntil {
		if until != 0 && now >= until {
			delete(z.keptUntil, zone)
			expired = append(expired, zone)
		}
	}
	slices.Sort(expired)
	return expired
}

// Zones returns a copy of the set.
func (z *ZonesOut) Zones() map[string]bool {
	out := make(map[string]bool, len(z.keptUntil))
	for zone := range z.keptUntil {
		out[zone] = true
	}
	return out
}
