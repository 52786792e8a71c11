package poison

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// attributedCrash is the crash of one upstream while it ran a fingerprint.
type attributedCrash struct {
	upstream string
	zone     string
	at       clock.Instant
	// confirmedAt is when no later crash can revoke the attribution any more.
	confirmedAt clock.Instant
	// local is set if this gateway observed the crash.
	local bool
	// published is set if the crash need not be reported to other gateways any more.
	published bool
}

// entry is the state of one fingerprint.
type entry struct {
	crashes   []attributedCrash
	expiresAt clock.Instant
	// running is set while an isolated run is in progress, so that concurrent sends of
	// one request cannot crash an upstream each.
	running bool
}

// addCrash attributes the crash of an upstream; each upstream counts once.
func (e *entry) addCrash(upstream, zone string, at, confirmedAt clock.Instant) {
	e.expiresAt = max(e.expiresAt, at.Add(EntryLifetime))
	for i := range e.crashes {
		if e.crashes[i].upstream == upstream {
			e.crashes[i].confirmedAt = min(e.crashes[i].confirmedAt, confirmedAt)
			return
		}
	}
	if len(e.crashes) >= maxCrashesPerEntry {
		return
	}
	local := zone != ""
	e.crashes = append(e.crashes, attributedCrash{
		upstream: upstream, zone: zone, at: at, confirmedAt: confirmedAt, local: local, published: !local,
	})
}

func (e *entry) confirmedCrashes(now clock.Instant) int {
	count := 0
	for i := range e.crashes {
		if now >= e.crashes[i].confirmedAt {
			count++
		}
	}
	return count
}

// revoke removes crashes in the zone that this gateway observed after the given time.
func (e *entry) revoke(zone string, since clock.Instant) {
	kept := e.crashes[:0]
	for _, c := range e.crashes {
		if c.local && c.zone == zone && c.at > since {
			continue
		}
		kept = append(kept, c)
	}
	e.crashes = kept
}

// takeNewlyConfirmed returns the upstreams of all confirmed crashes if one of them is
// not published yet, and marks them as published. Otherwise it returns nil.
func (e *entry) takeNewlyConfirmed(now clock.Instant) []string {
	unpublished := false
	var upstreams []string
	for i := range e.crashes {
		c := &e.crashes[i]
		if now < c.confirmedAt {
			continue
		}
		upstreams = append(upstreams, c.upstream)
		if !c.published {
			unpublished, c.published = true, true
		}
	}
	if !unpublished {
		return nil
	}
	return upstreams
}

// lessProtective orders entries for eviction: fewer confirmed crashes first, then the
// earlier expiry.
func (e *entry) lessProtective(other *entry, now clock.Instant) bool {
	count, otherCount := e.confirmedCrashes(now), other.confirmedCrashes(now)
	if count != otherCount {
		return count < otherCount
	}
	return e.expiresAt < other.expiresAt
}
