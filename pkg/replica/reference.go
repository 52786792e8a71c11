package replica

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Reference identifies a value that is transferred apart from its item. The zero Reference refers to none.
type Reference struct {
	// Hash is the XXH64 of the value.
	Hash uint64
	// Size is the size of the value in bytes, at least 1.
	Size int
}

// ReferenceTo returns the reference to a value.
func ReferenceTo(value []byte) Reference {
	if len(value) == 0 {
		return Reference{}
	}
	return Reference{Hash: xxhash.Sum64(value), Size: len(value)}
}

// IsReference reports whether the value of the item is transferred separately.
func (i Item) IsReference() bool { return i.Reference != Reference{} }

// HasValuesAfter reports whether the values of all items that changed after the position are here. Until then, there is
// no answer for a peer that takes no references: it could hold no position between the changes that are here.
func (r *Replica) HasValuesAfter(position Position) bool {
	for _, item := range r.outstanding {
		if item.Revision > r.comparableRevision(position) {
			return false
		}
	}
	return true
}

// withOutstanding returns the items, those whose values have not arrived as references.
func (r *Replica) withOutstanding() map[string]Item {
	if len(r.outstanding) == 0 {
		return r.items
	}
	items := maps.Clone(r.items)
	maps.Copy(items, r.outstanding)
	return items
}

// ValueByHash returns the value of an item by its hash, or nil.
func (r *Replica) ValueByHash(hash uint64) []byte {
	for _, item := range r.items {
		if ReferenceTo(item.Value).Hash == hash {
			return item.Value
		}
	}
	return nil
}

// Outstanding returns the items whose values have not arrived, sorted by key.
func (r *Replica) Outstanding() []Item {
	items := slices.Collect(maps.Values(r.outstanding))
	slices.SortFunc(items, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	return items
}

// IsOutstanding reports whether the value of the item with the key has not arrived.
func (r *Replica) IsOutstanding(key string) bool {
	_, isOutstanding := r.outstanding[key]
	return isOutstanding
}

// Version identifies the content of the copy. It is another one after each change.
func (r *Replica) Version() uint64 { return r.version }

// Supply completes an item with its value, which has arrived; the item was outstanding in the given era. The value
// may have been overtaken by a later one that is still outstanding. It returns the item if the copy changed.
func (r *Replica) Supply(era uint64, item Item) []Item {
	latest, isOutstanding := r.outstanding[item.Key]
	switch {
	case isOutstanding && latest.Reference == item.Reference:
		item.Revision = latest.Revision
	case era != r.position.Era:
		return nil
	}
	item.Reference = Reference{}
	return r.put(item)
}

// putOutstanding records an item whose value has not arrived. Peers that ask for changes learn of it at once.
func (r *Replica) putOutstanding(item Item) {
	if item.Revision <= r.outstanding[item.Key].Revision {
		return
	}
	r.version++
	r.outstanding[item.Key] = item
	r.lastChangeRevision = max(r.lastChangeRevision, item.Revision)
}
