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
	r.items, r.tombstones = make(map[string]Item, len(items)), map[string]uint64{}
	var changed []Item
	for _, item := range items {
		if item.Deleted {
			continue
		}
		r.items[item.Key] = item
		if old, existed := before[item.Key]; !existed || !bytes.Equal(old.Value, item.Value) {
			changed = append(changed, item)
		}
	}
	for key := range before {
		if _, exists := r.items[key]; !exists {
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
