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
}

// NewZonesOut returns a set without zones.
func NewZonesOut() *ZonesOut { return &ZonesOut{keptUntil: map[string]clock.Instant{}} }

// Put takes a zone out of service.
func (z *ZonesOut) Put(zone string) { z.keptUntil[zone] = 0 }

// Remove returns a zone to service.
func (z *ZonesOut) Remove(zone string) { delete(z.keptUntil, zone) }

// Keep keeps a zone out of service for zoneKeepTime that the store has lost with its return from a copy. It
// has no effect on a zone in service.
func (z *ZonesOut) Keep(now clock.Instant, zone string) {
	if until, isOut := z.keptUntil[zone]; isOut && until == 0 {
		z.keptUntil[zone] = now.Add(zoneKeepTime)
	}
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
