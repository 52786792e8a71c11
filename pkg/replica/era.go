package replica

import (
	"bytes"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// adoptEra replaces the content of the copy by that of a higher era. It returns the items whose values differ
// and those that are no longer there. Nothing that was known of removals holds in the new era.
func (r *Replica) adoptEra(items []Item, at Position, freshAt clock.Instant) []Item {
	before := r.items
	r.items, r.tombstones, r.outstanding = make(map[string]Item, len(items)), map[string]uint64{}, map[string]Item{}
	r.version++
	var changed []Item
	for _, item := range items {
		if item.Deleted {
			continue
		}
		if old, existed := before[item.Key]; item.IsReference() && existed && ReferenceTo(old.Value) == item.Reference {
			item.Value, item.Reference = old.Value, Reference{}
		}
		if item.IsReference() {
			r.outstanding[item.Key] = item
			continue
		}
		r.items[item.Key] = item
		if old, existed := before[item.Key]; !existed || !bytes.Equal(old.Value, item.Value) {
			changed = append(changed, item)
		}
	}
	for key := range before {
		_, exists := r.items[key]
		if _, isOutstanding := r.outstanding[key]; !exists && !isOutstanding {
			changed = append(changed, Item{Key: key, Revision: at.Revision, Deleted: true})
		}
	}
	r.position, r.freshAt, r.complete = at, freshAt, true
	r.lastChangeRevision, r.removalsSince = at.Revision, at.Revision
	slices.SortFunc(changed, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	return changed
}

// IsWhole reports whether the changes hold all items of the copy that they come from.
func (c *Changes) IsWhole() bool {
	if c.IsDelta || len(c.Keys) != len(c.Items) {
		return false
	}
	for i, item := range c.Items {
		if item.Deleted || item.Key != c.Keys[i] {
			return false
		}
	}
	return true
}
