// Package registry decides which registered upstreams may receive work.
//
// Entries expire while the store is down, and upstreams register again soon after it is
// back. An entry that disappears during or shortly after an outage is therefore kept
// for a short time; at any other time it is removed immediately.
//
// The store may also return from a copy of an earlier state. What it lists then is older than what is known
// here until the upstreams have written again, so a state that an upstream itself made later stays in force.
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
	// reregistrationGrace is how long an upstream whose entry expired in an outage may
	// take to register again. It is below the limit of two seconds after which no new
	// work may go to a removed upstream.
	reregistrationGrace = 1700 * time.Millisecond
	// postOutageWindow is how long after the end of an outage a missing entry counts as
	// expired.
	postOutageWindow = 2 * time.Second
)

// Entry is a registered upstream with local state.
type Entry struct {
	catalog.Upstream
	// ColdUntil is when the upstream's cold start ends.
	ColdUntil clock.Instant
	// FirstSeen is when this process start of the upstream was first seen.
	FirstSeen clock.Instant
}

type record struct {
	// entry is replaced, not changed, so that it can be shared.
	entry *Entry
	// removeAt is when a missing entry will be removed. It is zero while the entry is
	// present.
	removeAt clock.Instant
}

// Registry holds the upstreams.
type Registry struct {
	records map[string]*record
	// ids holds the keys of records, sorted.
	ids           []string
	outageEndedAt clock.Instant
	storeDown     bool
	// removed holds upstreams that were removed a short time ago, and withheld those of them that a copy of
	// the store lists.
	removed  map[string]removal
	withheld map[string]withheld
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[string]*record{}, removed: map[string]removal{}, withheld: map[string]withheld{}}
}

// SetStoreDown records whether the store is unavailable.
func (r *Registry) SetStoreDown(now clock.Instant, down bool) {
	if r.storeDown && !down {
		r.outageEndedAt = now
	}
	r.storeDown = down
}

// Put adds or replaces an entry.
func (r *Registry) Put(now clock.Instant, upstream catalog.Upstream) {
	entry := &Entry{Upstream: upstream, ColdUntil: now.Add(upstream.ColdRemaining), FirstSeen: now}
	if old := r.records[upstream.ID]; old != nil && old.entry.StartID == upstream.StartID {
		entry.FirstSeen = old.entry.FirstSeen
	}
	if at, found := slices.BinarySearch(r.ids, upstream.ID); !found {
		r.ids = slices.Insert(r.ids, at, upstream.ID)
	}
	r.records[upstream.ID] = &record{entry: entry}
	delete(r.removed, upstream.ID)
	delete(r.withheld, upstream.ID)
}

// drop deletes an entry.
func (r *Registry) drop(now clock.Instant, id string) {
	r.remember(now, r.records[id].entry.Upstream)
	delete(r.records, id)
	if at, found := slices.BinarySearch(r.ids, id); found {
		r.ids = slices.Delete(r.ids, at, at+1)
	}
}

// Remove records that an entry is missing from the store.
func (r *Registry) Remove(now clock.Instant, id string) {
	delete(r.withheld, id)
	rec := r.records[id]
	if rec == nil {
		return
	}
	if rec.entry.Draining || !r.mayHaveExpired(now) {
		r.drop(now, id)
		return
	}
	if rec.removeAt == 0 {
		rec.removeAt = now.Add(reregistrationGrace)
	}
}

// mayHaveExpired reports whether a missing entry may have expired because of an outage.
func (r *Registry) mayHaveExpired(now clock.Instant) bool {
	return r.storeDown || (r.outageEndedAt != 0 && now.Sub(r.outageEndedAt) < postOutageWindow)
}

// Tick removes entries that were not registered again in time, and reports whether there were any.
func (r *Registry) Tick(now clock.Instant) bool {
	changed := false
	for id, rec := range r.records {
		if rec.removeAt != 0 && now >= rec.removeAt {
			r.drop(now, id)
			changed = true
		}
	}
	r.forgetRemovals(now)
	return changed
}

// Get returns the entry with the ID, or nil. The caller must not change it.
func (r *Registry) Get(id string) *Entry {
	if rec := r.records[id]; rec != nil {
		return rec.entry
	}
	return nil
}

// Entries returns all entries, sorted by ID. The caller must not change them.
func (r *Registry) Entries() []*Entry {
	out := make([]*Entry, 0, len(r.ids))
	for _, id := range r.ids {
		out = append(out, r.records[id].entry)
	}
	return out
}
