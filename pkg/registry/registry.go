// Package registry decides which registered upstreams may receive work.
//
// Entries lapse while the store is down and come back soon after its return. An entry that
// disappears around an outage is therefore kept for a short time; at any other time its
// upstream is gone at once.
//
// A Registry is deterministic and not safe for concurrent use.
package registry

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// returnTime is how long entries that lapsed in an outage take to come back. It is
	// below the two seconds in which no new work may go to an upstream that is gone.
	returnTime = 1700 * time.Millisecond
	// outageWindow is how long after the end of an outage a missing entry counts as lapsed.
	outageWindow = 2 * time.Second
)

// Entry is a registered upstream with what the registry adds.
type Entry struct {
	catalog.Upstream
	// ColdUntil is when its cold start ends.
	ColdUntil clock.Instant
	// Since is when this start of the upstream was first seen.
	Since clock.Instant
}

type record struct {
	entry Entry
	// lapsesAt is set while the entry is missing.
	lapsesAt clock.Instant
}

// Registry holds the upstreams.
type Registry struct {
	records   map[string]*record
	outageEnd clock.Instant
	down      bool
}

// New returns an empty registry.
func New() *Registry { return &Registry{records: map[string]*record{}} }

// Outage records that the store could not be read, or that it can be read again.
func (r *Registry) Outage(now clock.Instant, down bool) {
	if r.down && !down {
		r.outageEnd = now
	}
	r.down = down
}

// Put takes over an entry.
func (r *Registry) Put(now clock.Instant, upstream catalog.Upstream) {
	entry := Entry{Upstream: upstream, ColdUntil: now.Add(upstream.ColdRemaining), Since: now}
	if old := r.records[upstream.ID]; old != nil && old.entry.StartID == upstream.StartID {
		entry.Since = old.entry.Since
	}
	r.records[upstream.ID] = &record{entry: entry}
}

// Remove takes over that an entry is missing.
func (r *Registry) Remove(now clock.Instant, id string) {
	known := r.records[id]
	if known == nil {
		return
	}
	if known.entry.Draining || !r.lapses(now) {
		delete(r.records, id)
		return
	}
	if known.lapsesAt == 0 {
		known.lapsesAt = now.Add(returnTime)
	}
}

// lapses reports whether a missing entry may have lapsed in an outage.
func (r *Registry) lapses(now clock.Instant) bool {
	return r.down || (r.outageEnd != 0 && now.Sub(r.outageEnd) < outageWindow)
}

// Tick removes entries that did not come back, and reports whether there were any.
func (r *Registry) Tick(now clock.Instant) bool {
	removed := false
	for id, known := range r.records {
		if known.lapsesAt != 0 && now >= known.lapsesAt {
			delete(r.records, id)
			removed = true
		}
	}
	return removed
}

// Entries returns all entries by ID.
func (r *Registry) Entries() []Entry {
	out := make([]Entry, 0, len(r.records))
	for _, known := range r.records {
		out = append(out, known.entry)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
