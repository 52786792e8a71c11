// Package replica keeps a copy of the items that operators and upstreams publish in a
// store, together with the revision and the instant up to which the copy is complete.
//
// A Replica is deterministic and not safe for concurrent use. Invariants:
//   - the revision of an item and of the copy never decreases;
//   - the instant of completeness is never later than the request whose answer proved it.
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
	// changedAt is the revision of the copy when an item last changed or was removed.
	changedAt uint64
	freshAt   clock.Instant
	complete  bool
	// deleted holds the revisions of removed items, so that a late page does not bring an
	// item back.
	deleted map[string]uint64
}

// New returns an empty copy that is not complete.
func New() *Replica {
	return &Replica{items: map[string]Item{}, deleted: map[string]uint64{}}
}

// Complete reports whether the copy has been complete at some time.
func (r *Replica) Complete() bool { return r.complete }

// Revision returns the revision up to which the copy is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// ChangedAt returns the revision up to which the copy was complete after its last change.
func (r *Replica) ChangedAt() uint64 { return r.changedAt }

// FreshAt returns the latest instant at which the copy is known to have been complete.
func (r *Replica) FreshAt() clock.Instant { return r.freshAt }

// Items returns all items by key.
func (r *Replica) Items() []Item {
	out := make([]Item, 0, len(r.items))
	for _, item := range r.items {
		out = append(out, item)
	}
	slices.SortFunc(out, func(a, b Item) int { return compare(a.Key, b.Key) })
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Since returns the items that changed after the revision, by key, and all keys.
func (r *Replica) Since(revision uint64) (changed []Item, keys []string) {
	for _, item := range r.Items() {
		keys = append(keys, item.Key)
		if item.Revision > revision {
			changed = append(changed, item)
		}
	}
	return changed, keys
}

// Apply takes over changes that make the copy complete up to the revision, as known by a
// request that was sent at the instant. It returns the items that changed.
func (r *Replica) Apply(changes []Item, revision uint64, sent clock.Instant) []Item {
	var changed []Item
	for _, item := range changes {
		if r.put(item) {
			changed = append(changed, item)
		}
	}
	r.confirm(revision, sent, changed)
	return changed
}

// Replace takes over a whole listing that began at the revision. Items that are not
// listed and are not newer than the listing are removed.
func (r *Replica) Replace(listed []Item, revision uint64, sent clock.Instant) []Item {
	if r.complete && revision < r.revision {
		// An older state of the store must not remove what was learnt since.
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
	r.confirm(revision, sent, changed)
	return changed
}

// Merge takes over the state of a peer that is complete up to the revision: its items that
// changed after the revision of this copy, and all its keys.
func (r *Replica) Merge(changes []Item, keys []string, revision uint64, fresh clock.Instant) []Item {
	if r.complete && revision < r.revision {
		return nil
	}
	present := make(map[string]bool, len(keys))
	for _, key := range keys {
		present[key] = true
	}
	var changed []Item
	for _, item := range changes {
		if r.put(item) {
			changed = append(changed, item)
		}
	}
	if revision > r.revision || !r.complete {
		changed = append(changed, r.prune(present, revision)...)
	}
	r.confirm(revision, fresh, changed)
	return changed
}

// Confirm takes over from a peer that nothing changed between the revision of this copy,
// which it names, and the peer's.
func (r *Replica) Confirm(asked, revision uint64, fresh clock.Instant) {
	if r.complete && asked == r.revision && revision >= asked {
		r.confirm(revision, fresh, nil)
	}
}

func (r *Replica) prune(present map[string]bool, revision uint64) []Item {
	var removed []Item
	for _, item := range r.Items() {
		if present[item.Key] || item.Revision > revision {
			continue
		}
		gone := Item{Key: item.Key, Revision: revision, Deleted: true}
		r.put(gone)
		removed = append(removed, gone)
	}
	return removed
}

// put reports whether the item is newer than what is known of its key.
func (r *Replica) put(item Item) bool {
	if item.Revision <= r.items[item.Key].Revision || item.Revision <= r.deleted[item.Key] {
		return false
	}
	if item.Deleted {
		_, known := r.items[item.Key]
		delete(r.items, item.Key)
		r.deleted[item.Key] = item.Revision
		return known
	}
	delete(r.deleted, item.Key)
	r.items[item.Key] = item
	return true
}

func (r *Replica) confirm(revision uint64, at clock.Instant, changed []Item) {
	if !r.complete || at.After(r.freshAt) {
		r.freshAt = at
	}
	r.revision = max(r.revision, revision)
	r.complete = true
	if len(changed) > 0 {
		r.changedAt = r.revision
	}
	if len(r.deleted) > maxDeleted {
		// Items deleted long ago cannot come back in a page that is still under way.
		clear(r.deleted)
	}
}

// maxDeleted bounds the memory of deleted keys.
const maxDeleted = 4096
