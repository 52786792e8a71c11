// Package replica keeps a copy of the items that operators and upstreams publish in a
// store, together with the position and the time up to which the copy is complete.
//
// A Replica is deterministic and not safe for concurrent use. Invariants:
//   - the position of the copy never decreases, nor does the revision of an item within an era;
//   - the copy holds items of one era;
//   - FreshAt is never later than the time of the request whose response proved that
//     the copy was complete.
//
// The values of large items are transferred apart from the others: a peer sends a Reference in place of such a
// value, so that the other changes do not wait for it. Until the value has arrived, the copy keeps the value that it
// has, and knows that it is outdated.
package replica

import (
	"maps"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Item is one published value. A deleted item has no value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Reference identifies the value if it is transferred separately; Value is then nil.
	Reference Reference
}

// Replica is a copy of the published items.
type Replica struct {
	items    map[string]Item
	position Position
	// outstanding holds the items whose values have not arrived, by key. Their revisions are above those of items.
	outstanding map[string]Item
	// version counts the changes of items and outstanding.
	version uint64
	// lastChangeRevision is the revision of the copy after the last change or removal
	// of an item, in the era of the position.
	lastChangeRevision uint64
	freshAt            clock.Instant
	complete           bool
	// tombstones holds the revisions of deleted items, so that a delayed response does
	// not restore an item, and removals can be passed on.
	tombstones map[string]uint64
	// removalsSince is the revision after which tombstones holds all removals.
	removalsSince uint64
}

// Changes are the differences between two positions of a copy.
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
	return &Replica{items: map[string]Item{}, outstanding: map[string]Item{}, tombstones: map[string]uint64{}}
}

// Complete reports whether the copy has ever been complete.
func (r *Replica) Complete() bool { return r.complete }

// Position returns the position up to which the copy is complete.
func (r *Replica) Position() Position { return r.position }

// HasChangesSince reports whether an item changed or was removed after the position. A copy of a higher era
// is newer than this one. One whose era is unknown is compared by its revision: VMs of older versions know
// nothing else, and need not get all items with each call.
func (r *Replica) HasChangesSince(position Position) bool {
	switch {
	case position.Era > r.position.Era:
		return false
	case position.Era == r.position.Era || position.Era == 0:
		return r.lastChangeRevision > position.Revision
	}
	return true
}

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

// Item returns the item with the key.
func (r *Replica) Item(key string) (Item, bool) {
	item, exists := r.items[key]
	return item, exists
}

// ChangesSince returns the changes after the position, as a delta if the receiver understands it and
// all removals after the position are known. If the position is of another era, or the zero Position, these
// are all items. One whose era is unknown is compared by its revision.
func (r *Replica) ChangesSince(position Position, asDelta bool) Changes {
	return r.changesAfter(position, asDelta, r.withOutstanding())
}

// comparableRevision returns the revision of a position in the era of the copy, or 0 if it is of another era. One whose
// era is unknown is compared by its revision.
func (r *Replica) comparableRevision(position Position) uint64 {
	if position.Era != r.position.Era && position.Era != 0 {
		return 0
	}
	return position.Revision
}

// changesAfter returns those of the given items, by key, that changed after the position.
func (r *Replica) changesAfter(position Position, asDelta bool, items map[string]Item) Changes {
	revision := r.comparableRevision(position)
	asDelta = asDelta && revision == position.Revision
	changes := Changes{IsDelta: asDelta && r.complete && revision > 0 && revision >= r.removalsSince}
	for _, item := range items {
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

// Apply applies changes that complete the copy up to the position, as returned for a
// request sent at sentAt. It returns the items that changed. Changes of another era have no effect.
func (r *Replica) Apply(changes []Item, at Position, sentAt clock.Instant) []Item {
	if at.Era != r.position.Era {
		return nil
	}
	var changed []Item
	for _, item := range changes {
		changed = append(changed, r.put(item)...)
	}
	r.advance(at.Revision, sentAt, changed)
	return changed
}

// Replace applies a full listing that started at the position, and returns the items
// that changed. Items that are neither listed nor newer than the listing are removed.
// A listing of a higher era replaces the copy as a whole.
func (r *Replica) Replace(listed []Item, at Position, sentAt clock.Instant) []Item {
	if r.complete && at.Compare(r.position) < 0 {
		// A listing of an older state must not remove newer items.
		return nil
	}
	if at.Era > r.position.Era {
		return r.adoptEra(listed, at, sentAt)
	}
	keys := make(map[string]bool, len(listed))
	var changed []Item
	for _, item := range listed {
		keys[item.Key] = true
		changed = append(changed, r.put(item)...)
	}
	changed = append(changed, r.prune(keys, at.Revision)...)
	r.forgetRemovalsBefore(at.Revision)
	r.advance(at.Revision, sentAt, changed)
	return changed
}

// canMerge reports whether Merge of these changes has an effect. A state of a higher era must be whole: a
// peer that does not know the era of this copy may send only what is newer than its revision.
func (r *Replica) canMerge(changes Changes, at Position) bool {
	if at.Era > r.position.Era {
		return changes.IsWhole()
	}
	return at.Era == r.position.Era && (!r.complete || at.Revision >= r.position.Revision)
}

// Merge applies the state of a peer that is complete up to the position: the peer's changes after
// the position of this copy. It returns the items that changed.
func (r *Replica) Merge(changes Changes, at Position, freshAt clock.Instant) []Item {
	if !r.canMerge(changes, at) {
		return nil
	}
	if at.Era > r.position.Era {
		return r.adoptEra(changes.Items, at, freshAt)
	}
	var changed []Item
	for _, item := range changes.Items {
		changed = append(changed, r.put(item)...)
	}
	if !changes.IsDelta && (at.Revision > r.position.Revision || !r.complete) {
		present := make(map[string]bool, len(changes.Keys))
		for _, key := range changes.Keys {
			present[key] = true
		}
		changed = append(changed, r.prune(present, at.Revision)...)
		r.forgetRemovalsBefore(at.Revision)
	}
	r.advance(at.Revision, freshAt, changed)
	return changed
}

// Confirm applies a peer's answer that nothing changed between the requested position
// and the peer's. It has no effect if this copy is no longer at the requested position, or if the
// peer's is of another era.
func (r *Replica) Confirm(requested, at Position, freshAt clock.Instant) {
	if r.complete && requested == r.position && at.Era == requested.Era && at.Revision >= requested.Revision {
		r.advance(at.Revision, freshAt, nil)
	}
}

func (r *Replica) prune(present map[string]bool, revision uint64) []Item {
	var removed []Item
	for _, key := range r.keys() {
		if present[key] || max(r.items[key].Revision, r.outstanding[key].Revision) > revision {
			continue
		}
		tombstone := Item{Key: key, Revision: revision, Deleted: true}
		r.put(tombstone)
		removed = append(removed, tombstone)
	}
	return removed
}

// keys returns the keys of all items, sorted.
func (r *Replica) keys() []string {
	keys := slices.Collect(maps.Keys(r.items))
	for key := range r.outstanding {
		if _, exists := r.items[key]; !exists {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// forgetRemovalsBefore records that removals up to the revision of a state may be unknown: items that were
// created and removed after the revision of this copy are not in it.
func (r *Replica) forgetRemovalsBefore(revision uint64) {
	if revision > r.position.Revision {
		r.removalsSince = revision
	}
}

// put applies an item if it is newer than the known state of its key, and returns it if the copy changed. An item
// whose value is referred to changes the copy once the value has arrived.
func (r *Replica) put(item Item) []Item {
	if item.Revision <= r.items[item.Key].Revision || item.Revision <= r.tombstones[item.Key] {
		return nil
	}
	if item.IsReference() {
		known, exists := r.items[item.Key]
		if !exists || ReferenceTo(known.Value) != item.Reference {
			r.putOutstanding(item)
			return nil
		}
		item.Value, item.Reference = known.Value, Reference{}
	}
	r.version++
	if outdated, exists := r.outstanding[item.Key]; exists && item.Revision >= outdated.Revision {
		delete(r.outstanding, item.Key)
		// Peers that learnt of the outstanding value here must learn of this change.
		r.lastChangeRevision = max(r.lastChangeRevision, item.Revision)
	}
	if item.Deleted {
		_, existed := r.items[item.Key]
		delete(r.items, item.Key)
		r.tombstones[item.Key] = item.Revision
		if !existed {
			return nil
		}
		return []Item{item}
	}
	delete(r.tombstones, item.Key)
	r.items[item.Key] = item
	return []Item{item}
}

func (r *Replica) advance(revision uint64, freshAt clock.Instant, changed []Item) {
	if !r.complete || freshAt.After(r.freshAt) {
		r.freshAt = freshAt
	}
	r.position.Revision = max(r.position.Revision, revision)
	if !r.complete {
		r.complete, r.removalsSince = true, r.position.Revision
	}
	if len(changed) > 0 {
		r.lastChangeRevision = r.position.Revision
	}
	for _, item := range changed {
		// Pages of a listing may have items that changed after its position.
		r.lastChangeRevision = max(r.lastChangeRevision, item.Revision)
	}
	if len(r.tombstones) > maxTombstones {
		// Items deleted long ago cannot reappear in a delayed response.
		clear(r.tombstones)
		r.removalsSince = r.position.Revision
	}
}

// maxTombstones bounds the memory used by deleted keys.
const maxTombstones = 4096
