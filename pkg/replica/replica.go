// Package replica keeps a copy of the items that operators and upstreams publish in a
// store, together with the revision and the time up to which the copy is complete.
//
// A Replica is deterministic and not safe for concurrent use. Invariants:
//   - the revision of an item and of the copy never decreases;
//   - FreshAt is never later than the time of the request whose response proved that
//     the copy was complete.
package replica

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Item is one published value. A deleted item has no value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Replica is a copy of the published items.
type Replica struct {
	items    map[string]Item
	revision uint64
	// lastChangeRevision is the revision of the copy after the last change or removal
	// of an item.
	lastChangeRevision uint64
	freshAt            clock.Instant
	complete           bool
	// tombstones holds the revisions of deleted items, so that a delayed response does
	// not restore an item, and removals can be passed on.
	tombstones map[string]uint64
	// removalsSince is the revision after which tombstones holds all removals.
	removalsSince uint64
}

// Changes are the differences between two revisions of a copy.
type Changes struct {
	// Items are the items that changed, sorted by key.
	Items []Item
	// IsDelta is set if Items also holds all removed items. Otherwise Keys holds all keys of the
	// copy, and items with other keys were removed.
	IsDelta bool
	Keys    []string
}

// New returns an empty copy that is not complete.
func New() *Replica {
	return &Replica{items: map[string]Item{}, tombstones: map[string]uint64{}}
}

// Complete reports whether the copy has ever been complete.
func (r *Replica) Complete() bool { return r.complete }

// Revision returns the revision up to which the copy is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// LastChangeRevision returns the revision up to which the copy was complete after its
// last change.
func (r *Replica) LastChangeRevision() uint64 { return r.lastChangeRevision }

// FreshAt returns the latest time at which the copy is known to have been complete.
func (r *Replica) FreshAt() clock.Instant { return r.freshAt }

// Items returns all items, sorted by key.
func (r *Replica) Items() []Item {
	out := make([]Item, 0, len(r.items))
	for _, item := range r.items {
		out = append(out, item)
	}
	slices.SortFunc(out, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ChangesSince returns the changes after the revision, as a delta if the receiver understands it and
// all removals after the revision are known.
func (r *Replica) ChangesSince(revision uint64, asDelta bool) Changes {
	changes := Changes{IsDelta: asDelta && r.complete && revision >= r.removalsSince}
	for _, item := range r.items {
		if item.Revision > revision {
			changes.Items = append(changes.Items, item)
		}
		if !changes.IsDelta {
			changes.Keys = append(changes.Keys, item.Key)
		}
	}
	if changes.IsDelta {
		for key, removed := range r.tombstones {
			if removed > revision {
				changes.Items = append(changes.Items, Item{Key: key, Revision: removed, Deleted: true})
			}
		}
	}
	slices.SortFunc(changes.Items, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	slices.Sort(changes.Keys)
	return changes
}

// Apply applies changes that complete the copy up to the revision, as returned for a
// request sent at sentAt. It returns the items that changed.
func (r *Replica) Apply(changes []Item, revision uint64, sentAt clock.Instant) []Item {
	var changed []Item
	for _, item := range changes {
		if r.put(item) {
			changed = append(changed, item)
		}
	}
	r.advance(revision, sentAt, changed)
	return changed
}

// Replace applies a full listing that started at the revision, and returns the items
// that changed. Items that are neither listed nor newer than the listing are removed.
func (r *Replica) Replace(listed []Item, revision uint64, sentAt clock.Instant) []Item {
	if r.complete && revision < r.revision {
		// A listing of an older state must not remove newer items.
		return nil
	}
	keys := make(map[string]bool, len(listed))
	var changed []Item
	for _, item := range listed {
		keys[item.Key] = true
		if r.put(item) {
			changed = append(changed, item)
		}
	}
	changed = append(changed, r.prune(keys, revision)...)
	r.advance(revision, sentAt, changed)
	return changed
}

// Merge applies the state of a peer that is complete up to the revision: the peer's changes after
// the revision of this copy. It returns the items that changed.
func (r *Replica) Merge(changes Changes, revision uint64, freshAt clock.Instant) []Item {
	if r.complete && revision < r.revision {
		return nil
	}
	var changed []Item
	for _, item := range changes.Items {
		if r.put(item) {
			changed = append(changed, item)
		}
	}
	if !changes.IsDelta && (revision > r.revision || !r.complete) {
		present := make(map[string]bool, len(changes.Keys))
		for _, key := range changes.Keys {
			present[key] = true
		}
		changed = append(changed, r.prune(present, revision)...)
	}
	r.advance(revision, freshAt, changed)
	return changed
}

// Confirm applies a peer's answer that nothing changed between the requested revision
// and the peer's. It has no effect if this copy is no longer at the requested revision.
func (r *Replica) Confirm(requested, revision uint64, freshAt clock.Instant) {
	if r.complete && requested == r.revision && revision >= requested {
		r.advance(revision, freshAt, nil)
	}
}

func (r *Replica) prune(present map[string]bool, revision uint64) []Item {
	var removed []Item
	for _, item := range r.Items() {
		if present[item.Key] || item.Revision > revision {
			continue
		}
		tombstone := Item{Key: item.Key, Revision: revision, Deleted: true}
		r.put(tombstone)
		removed = append(removed, tombstone)
	}
	return removed
}

// put applies an item if it is newer than the known state of its key, and reports
// whether the copy changed.
func (r *Replica) put(item Item) bool {
	if item.Revision <= r.items[item.Key].Revision || item.Revision <= r.tombstones[item.Key] {
		return false
	}
	if item.Deleted {
		_, existed := r.items[item.Key]
		delete(r.items, item.Key)
		r.tombstones[item.Key] = item.Revision
		return existed
	}
	delete(r.tombstones, item.Key)
	r.items[item.Key] = item
	return true
}

func (r *Replica) advance(revision uint64, freshAt clock.Instant, changed []Item) {
	if !r.complete || freshAt.After(r.freshAt) {
		r.freshAt = freshAt
	}
	r.revision = max(r.revision, revision)
	if !r.complete {
		r.complete, r.removalsSince = true, r.revision
	}
	if len(changed) > 0 {
		r.lastChangeRevision = r.revision
	}
	if len(r.tombstones) > maxTombstones {
		// Items deleted long ago cannot reappear in a delayed response.
		clear(r.tombstones)
		r.removalsSince = r.revision
	}
}

// maxTombstones bounds the memory used by deleted keys.
const maxTombstones = 4096
