package poison

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// At least correlatedCrashes crashed upstreams of one zone within correlationWindow
	// are treated as an infrastructure failure.
	correlationWindow = time.Second
	correlatedCrashes = 3
	// maxRecentCrashes bounds the number of recent crashes kept.
	maxRecentCrashes = 256
)

// crash is the latest crash of an upstream.
type crash struct {
	upstream string
	zone     string
	at       clock.Instant
}

// crashHistory holds the crashes within the correlation window.
type crashHistory struct{ recent []crash }

// add records a crash and reports whether it and earlier crashes of the zone amount to an
// infrastructure failure.
func (h *crashHistory) add(now clock.Instant, upstream, zone string) bool {
	cutoff := now.Add(-correlationWindow)
	kept := h.recent[:0]
	inZone := 1
	for _, earlier := range h.recent {
		if earlier.at <= cutoff || earlier.upstream == upstream {
			continue
		}
		kept = append(kept, earlier)
		if earlier.zone == zone {
			inZone++
		}
	}
	if len(kept) >= maxRecentCrashes {
		kept = kept[1:]
	}
	h.recent = append(kept, crash{upstream: upstream, zone: zone, at: now})
	return inZone >= correlatedCrashes
}
