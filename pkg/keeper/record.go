package keeper

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// record is a member's vote for a key.
type record struct {
	holder Holder
	// otherHolders holds the further holders of a contested record. After a read it may
	// be unknown which of several holders has a majority, so none gets a new vote.
	otherHolders []Holder
	state        State
	expiresAt    clock.Instant
}

func (r *record) isHeldBy(h Holder) bool {
	return r.holder == h || slices.Contains(r.otherHolders, h)
}

// otherHolder returns a holder other than h.
func (r *record) otherHolder(h Holder) Holder {
	if r.holder == h && len(r.otherHolders) > 0 {
		return r.otherHolders[0]
	}
	return r.holder
}

func (r *record) release(h Holder) {
	switch {
	case r.state != Pending || !r.isHeldBy(h):
	case len(r.otherHolders) == 0:
		r.state = Released
	case r.holder == h:
		r.holder, r.otherHolders = r.otherHolders[0], slices.Clone(r.otherHolders[1:])
	default:
		r.otherHolders = slices.DeleteFunc(slices.Clone(r.otherHolders), func(o Holder) bool { return o == h })
	}
	if len(r.otherHolders) == 0 {
		r.otherHolders = nil
	}
}

func (r *record) finish(h Holder) {
	r.holder, r.otherHolders, r.state = h, nil, Finished
}

// merge combines r with another member's record of the same key. Finished takes
// precedence over pending, released removes its holder, and the sets of pending
// holders are combined.
func (r *record) merge(other *record) {
	r.expiresAt = max(r.expiresAt, other.expiresAt)
	switch {
	case r.state == Finished:
	case other.state == Finished:
		r.finish(other.holder)
	case other.state == Released:
		r.release(other.holder)
	case r.state == Released:
		released := r.holder
		r.holder, r.otherHolders, r.state = other.holder, other.otherHolders, Pending
		r.release(released)
	default:
		for _, h := range append([]Holder{other.holder}, other.otherHolders...) {
			if !r.isHeldBy(h) {
				r.otherHolders = append(slices.Clone(r.otherHolders), h)
			}
		}
	}
}
