package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// A key has one owner in each part of the fleet whose VMs reach each other. A VM claims a
// key that nobody claims, and keeps it as long as it runs: a new owner knows less than the
// old one. Claims travel with the directory. If two VMs claim a key, as after a partition,
// the one that comes later in a fixed order yields to the other.

const (
	// settleTime is how long a VM must have been running before it claims a key, so that a
	// VM that restarts in a loop takes over nothing. It counts only if another VM has been
	// running for longer.
	settleTime = 3 * time.Second
	// strongPart is the part of the largest capacity from which a VM is preferred as owner.
	// An owner takes the calls of the whole fleet for its pool.
	strongPart = 0.5
)

// Yielded is a key that this VM gave up.
type Yielded struct {
	Name string
	// To is the VM that should own it now; its name is empty if there is none.
	To Entry
}

// Owner returns the VM that owns the name as far as this one knows: a reachable VM that
// claims it, or else the one that should claim it. It is false if there is no such VM.
func (r *Roster) Owner(now clock.Instant, name string) (Entry, bool) {
	if claimant := r.claimant(now, name); claimant != nil {
		return *claimant, true
	}
	candidates := r.Ranking(now, name)
	if len(candidates) == 0 {
		return Entry{}, false
	}
	return candidates[0], true
}

// claimant returns the reachable VM that claims the name, or nil.
func (r *Roster) claimant(now clock.Instant, name string) *Entry {
	key := KeyOf(name)
	var best *Entry
	if r.self.Claimed(key) && !r.self.Leaving {
		best = &r.self
	}
	for _, other := range r.names {
		known := r.entries[other]
		if !known.owns(key) || !r.isReachable(now, known) || known.doubted {
			continue
		}
		if best == nil || compareClaimants(name, &known.Entry, best) < 0 {
			best = &known.Entry
		}
	}
	return best
}

// Ranking returns the VMs that may own a name in order of preference. VMs with the same
// directory return the same order; VMs that a call could not reach come last.
func (r *Roster) Ranking(now clock.Instant, name string) []Entry {
	candidates := r.Reachable(now)
	if !r.self.Leaving {
		candidates = append(candidates, r.self)
	}
	oldest, largest := uint64(0), uint32(0)
	for _, entry := range candidates {
		if oldest == 0 || entry.Started < oldest {
			oldest = entry.Started
		}
		largest = max(largest, entry.Capacity)
	}
	tier := func(entry Entry) int {
		switch {
		case r.isDoubted(entry.Name):
			return 3
		case entry.Started > oldest+uint64(settleTime.Milliseconds()) && r.isYoung(now, entry.Name):
			return 2
		case float64(entry.Capacity) < strongPart*float64(largest):
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b Entry) int {
		if c := cmp.Compare(tier(a), tier(b)); c != 0 {
			return c
		}
		return compareWeights(name, &a, &b)
	})
	return candidates
}

// Claim makes this VM say that it owns the name, and reports whether it did not before.
func (r *Roster) Claim(name string) bool {
	key := KeyOf(name)
	if r.self.Leaving || r.self.Claimed(key) {
		return false
	}
	r.self = r.self.withClaim(key)
	r.changeSelf()
	return true
}

// Settle claims the names that nobody claims and this VM should own, and gives up those
// that another VM should have. It reports whether this VM claimed any.
func (r *Roster) Settle(now clock.Instant, names []string) (claimed []string, yielded []Yielded) {
	for _, name := range names {
		key := KeyOf(name)
		owner, ok := r.Owner(now, name)
		isOwn := ok && owner.Name == r.self.Name
		switch {
		case r.self.Claimed(key) && !isOwn:
			r.self = r.self.withoutClaim(key)
			r.changeSelf()
			yielded = append(yielded, Yielded{Name: name, To: owner})
		case isOwn && r.Claim(name):
			claimed = append(claimed, name)
		}
	}
	return claimed, yielded
}

// Told takes over that a VM owns the name, as another VM said that was taken for the owner.
func (r *Roster) Told(name, owner string) {
	if known := r.entries[owner]; known != nil {
		known.tell(KeyOf(name), true)
		known.doubted = false
	}
}

// Denied takes over that a VM says it does not own the name.
func (r *Roster) Denied(name, vm string) {
	if known := r.entries[vm]; known != nil {
		known.tell(KeyOf(name), false)
	}
}

// Doubt excludes a VM from ownership after a call to it failed, until a message of its own
// arrives. Membership takes seconds to find many VMs lost at once, and a pool that goes back
// to a lost VM meanwhile costs each stage its time once more.
func (r *Roster) Doubt(name string) {
	if entry := r.entries[name]; entry != nil {
		entry.doubted = true
	}
}

// Heard takes over that a message of the VM's own arrived.
func (r *Roster) Heard(name string) {
	if entry := r.entries[name]; entry != nil {
		entry.doubted = false
	}
}

// Doubted returns the reachable VMs that are doubted, by name. They should be asked for a
// message.
func (r *Roster) Doubted(now clock.Instant) []Entry {
	var out []Entry
	for _, name := range r.names {
		if entry := r.entries[name]; entry.doubted && r.isReachable(now, entry) {
			out = append(out, entry.Entry)
		}
	}
	return out
}

func (r *Roster) isDoubted(name string) bool {
	entry := r.entries[name]
	return entry != nil && entry.doubted
}

// isYoung reports whether the start of a VM was learnt less than the settle time ago.
func (r *Roster) isYoung(now clock.Instant, name string) bool {
	if name == r.self.Name {
		return now.Sub(r.begun) < settleTime
	}
	entry := r.entries[name]
	return entry != nil && now.Sub(entry.learnt) < settleTime
}
