package replica

import "cmp"

// Position is a state of the store. The store starts a new era when it returns from a copy of an earlier
// state: revisions go back then, and are given out again for other changes. A higher era is newer, whatever
// its revision.
type Position struct {
	// Era is 0 if it is unknown.
	Era      uint64
	Revision uint64
}

// Compare returns a negative number if p is older than q, 0 if they are equal, and a positive number otherwise.
func (p Position) Compare(q Position) int {
	if order := cmp.Compare(p.Era, q.Era); order != 0 {
		return order
	}
	return cmp.Compare(p.Revision, q.Revision)
}
