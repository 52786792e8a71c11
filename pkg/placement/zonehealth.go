package placement

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// suspectFailures is the number of hosts of one zone that must time out, without any response
	// from the zone in between, for the zone to count as cut off.
	suspectFailures = 2
	// suspectDuration is how long a zone counts as cut off after the last timeout. The next request
	// to one of its hosts then shows whether it is back.
	suspectDuration = time.Second
)

// ZoneHealth infers from hosts that time out that their zone is cut off from this VM. Otherwise
// each host of the zone would have to time out by itself, at the cost of one request each. The
// zero value knows of no timeout.
type ZoneHealth struct {
	zones map[string]*zoneTimeouts
}

// zoneTimeouts holds the hosts of a zone that timed out since its last response.
type zoneTimeouts struct {
	hosts map[string]bool
	last  clock.Instant
}

// RecordTimeout records that a host of a zone, such as an upstream or a VM, timed out.
func (z *ZoneHealth) RecordTimeout(now clock.Instant, zone, host string) {
	if z.zones == nil {
		z.zones = map[string]*zoneTimeouts{}
	}
	timeouts := z.zones[zone]
	if timeouts == nil || now.Sub(timeouts.last) > 2*suspectDuration {
		timeouts = &zoneTimeouts{hosts: map[string]bool{}}
		z.zones[zone] = timeouts
	}
	timeouts.hosts[host], timeouts.last = true, now
}

// RecordResponse records that a host of a zone responded.
func (z *ZoneHealth) RecordResponse(zone string) { delete(z.zones, zone) }

// IsSuspect reports whether the zone is probably cut off.
func (z *ZoneHealth) IsSuspect(now clock.Instant, zone string) bool {
	timeouts := z.zones[zone]
	return timeouts != nil && len(timeouts.hosts) >= suspectFailures && now.Sub(timeouts.last) < suspectDuration
}
