package fleet

import "slices"

// StoreAccess says whether a VM that reads the store for others gets answers.
type StoreAccess uint8

const (
	// NoStoreAccess is stated by VMs that do not read the store for others, and by older versions.
	NoStoreAccess StoreAccess = iota
	// ReadsStore means that the store answered the last read.
	ReadsStore
	// LostStore means that it did not.
	LostStore
)

// Readers returns the VMs from which the others get the published items: the first n of a ranking that
// read the store, or the first n of all if none is known to.
func Readers(ranking []Entry, n int) []Entry {
	if readers := KnownReaders(ranking, n); len(readers) > 0 {
		return readers
	}
	return ranking[:min(n, len(ranking))]
}

// KnownReaders returns the first n VMs of a ranking that are known to read the store.
func KnownReaders(ranking []Entry, n int) []Entry {
	var readers []Entry
	for _, entry := range ranking {
		if entry.Store == ReadsStore && len(readers) < n {
			readers = append(readers, entry)
		}
	}
	return readers
}

// AreReadersLost reports whether the first n VMs of a ranking all state that the store does not answer
// them, and no other VM reads it.
func AreReadersLost(ranking []Entry, n int) bool {
	first := ranking[:min(n, len(ranking))]
	return len(first) > 0 && len(KnownReaders(ranking, 1)) == 0 &&
		!slices.ContainsFunc(first, func(e Entry) bool { return e.Store != LostStore })
}

// SetStoreAccess states in the entry of this VM whether it reads the store, and returns what the entry
// stated before.
func (d *Directory) SetStoreAccess(access StoreAccess) StoreAccess {
	before := d.self.Store
	if before != access {
		d.self.Store = access
		d.bumpVersion()
	}
	return before
}
