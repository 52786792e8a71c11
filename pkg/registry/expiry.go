package registry

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// NextRemoval returns when Tick next removes a missing entry, and whether there is one.
func (r *Registry) NextRemoval() (clock.Instant, bool) {
	var next clock.Instant
	for _, rec := range r.records {
		if rec.removeAt != 0 && (next == 0 || rec.removeAt < next) {
			next = rec.removeAt
		}
	}
	return next, next != 0
}
