package resume

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// History tracks which software versions the upstreams of each pool have had. The zero value has seen
// nothing.
type History struct {
	// since is the time from which on all versions are known; 0 if none is.
	since clock.Instant
	// leftAt holds when the last upstream of a version left; 0 while there are some.
	leftAt map[Origin]clock.Instant
}

// Observe records the pools and versions of all upstreams that are registered now.
func (h *History) Observe(now clock.Instant, present map[Origin]bool) {
	if h.leftAt == nil {
		h.leftAt = map[Origin]clock.Instant{}
	}
	if h.since == 0 {
		h.since = now
	}
	for known, left := range h.leftAt {
		if left == 0 && !present[known] {
			h.leftAt[known] = now
		}
	}
	for origin := range present {
		h.leftAt[origin] = 0
	}
}

// Interrupt records that versions may have come and gone without being observed until now.
func (h *History) Interrupt(now clock.Instant) {
	if h.since != 0 {
		h.since = now
	}
}

// Expire drops the versions that left before the given time.
func (h *History) Expire(before clock.Instant) {
	for known, left := range h.leftAt {
		if left != 0 && left < before {
			delete(h.leftAt, known)
		}
	}
}

// Find returns what the versions of a pool say of the streams that began there from one instant to another.
// All changes of the versions up to currentAt must have been observed.
func (h *History) Find(pool string, from, to, currentAt clock.Instant) Answer {
	var found Answer
	for version := range h.Versions(pool, from) {
		found = found.Merge(Answer{Certainty: Sole, Origin: version})
	}
	if found.Certainty == Sole && (h.since > from || currentAt < to) {
		// Another version may have left before this VM knew the upstreams, or joined since.
		return Answer{}
	}
	return found
}

// Versions returns the versions of a pool that have had upstreams since an instant.
func (h *History) Versions(pool string, since clock.Instant) map[Origin]bool {
	versions := map[Origin]bool{}
	for known, left := range h.leftAt {
		if known.Pool == pool && (left == 0 || left >= since) {
			versions[known] = true
		}
	}
	return versions
}
