// Package fleet keeps the directory of the VMs of a fleet that has no published VM list.
// VMs learn of each other from a few seeds and from the entries that messages carry; the
// membership machine decides which of them are reachable.
//
// A Roster is deterministic and not safe for concurrent use. Invariants:
//   - of two entries with one name the one of the later process start is kept, and
//     "leaving" is never taken back within one start;
//   - an entry that was unreachable for the whole retention is forgotten.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

const (
	// retention is how long an unreachable VM stays in the directory. It still counts for
	// shares of limits, since it may be alive behind a partition.
	retention = 30 * time.Second
	// settleTime is how long a VM must have been running before it owns pools, so that a
	// VM that restarts in a loop takes over nothing. It counts only if another VM has been
	// running for longer.
	settleTime = 3 * time.Second
)

// Entry describes one VM.
type Entry struct {
	Name    string
	Zone    string
	Address string
	// Leaving is set once the VM is shutting down.
	Leaving bool
	// Started is the start of its process in milliseconds since the Unix epoch.
	Started uint64
}

// known is an entry with the time when it was last heard of.
type known struct {
	Entry
	learnt    clock.Instant
	reachable clock.Instant
	// doubtedUntil is set when a call to the VM failed.
	doubtedUntil clock.Instant
}

// Roster is the directory.
type Roster struct {
	self    Entry
	entries map[string]*known
	names   []string
	// rotation is the position of the entries that go into the next message.
	rotation int
	begun    clock.Instant
}

// New returns a directory that holds only this VM.
func New(now clock.Instant, self Entry) *Roster {
	return &Roster{self: self, entries: map[string]*known{}, begun: now}
}

// Self returns the entry of this VM.
func (r *Roster) Self() Entry { return r.self }

// Leave marks this VM as shutting down.
func (r *Roster) Leave() { r.self.Leaving = true }

// Learn takes over entries of a message and reports whether a VM or an address is new.
func (r *Roster) Learn(now clock.Instant, entries []Entry) bool {
	changed := false
	for _, entry := range entries {
		if entry.Name == "" || entry.Address == "" || entry.Name == r.self.Name {
			continue
		}
		old := r.entries[entry.Name]
		if old == nil {
			r.entries[entry.Name] = &known{Entry: entry, learnt: now, reachable: now}
			r.sortNames()
			changed = true
			continue
		}
		if entry.Started < old.Started {
			continue
		}
		if entry.Started == old.Started {
			old.Leaving = old.Leaving || entry.Leaving
			continue
		}
		changed = true
		old.Entry, old.learnt, old.reachable = entry, now, now
	}
	return changed
}

func (r *Roster) sortNames() {
	r.names = r.names[:0]
	for name := range r.entries {
		r.names = append(r.names, name)
	}
	slices.Sort(r.names)
}

// Members returns the list for the membership machine.
func (r *Roster) Members() []membership.Member {
	out := make([]membership.Member, 0, len(r.names))
	for _, name := range r.names {
		entry := r.entries[name]
		out = append(out, membership.Member{Name: name, Zone: entry.Zone, Address: entry.Address})
	}
	return out
}

// Observe takes over which VMs are reachable, and reports whether one was forgotten.
func (r *Roster) Observe(now clock.Instant, states []membership.MemberState) bool {
	for _, state := range states {
		entry := r.entries[state.Name]
		if entry == nil {
			continue
		}
		if state.Status != membership.Unreachable {
			entry.reachable = now
		}
	}
	before := len(r.names)
	for name, entry := range r.entries {
		if now.Sub(entry.reachable) > retention {
			delete(r.entries, name)
		}
	}
	if len(r.entries) == before {
		return false
	}
	r.sortNames()
	return true
}

// Doubt excludes a VM from ownership for a time, after a call to it failed.
func (r *Roster) Doubt(now clock.Instant, name string, pause time.Duration) {
	if entry := r.entries[name]; entry != nil {
		entry.doubtedUntil = max(entry.doubtedUntil, now.Add(pause))
	}
}

// Announce returns up to n entries for a message, this VM first. Leaving VMs go before the
// others, which take turns.
func (r *Roster) Announce(n int) []Entry {
	out := []Entry{r.self}
	for _, name := range r.names {
		if entry := r.entries[name]; entry.Leaving && len(out) < n {
			out = append(out, entry.Entry)
		}
	}
	for range r.names {
		if len(out) >= n {
			break
		}
		r.rotation = (r.rotation + 1) % len(r.names)
		if entry := r.entries[r.names[r.rotation]]; !entry.Leaving {
			out = append(out, entry.Entry)
		}
	}
	return out
}

// Size returns the number of VMs that may be running, this one included.
func (r *Roster) Size() int { return len(r.names) + 1 }

// Entry returns the entry of a VM.
func (r *Roster) Entry(name string) (Entry, bool) {
	if name == r.self.Name {
		return r.self, true
	}
	entry := r.entries[name]
	if entry == nil {
		return Entry{}, false
	}
	return entry.Entry, true
}

// Reachable returns the other VMs that are reachable and not shutting down, by name.
func (r *Roster) Reachable(now clock.Instant) []Entry {
	var out []Entry
	for _, name := range r.names {
		entry := r.entries[name]
		if entry.Leaving || now.Sub(entry.reachable) > reachableSlack {
			continue
		}
		out = append(out, entry.Entry)
	}
	return out
}

// reachableSlack is the age of the last observation at which a VM still counts as
// reachable; observations come with each tick of the membership machine.
const reachableSlack = 500 * time.Millisecond

// Owners returns the VMs that may own a key in order of preference. All VMs with the same
// directory return the same order; VMs that a call could not reach come last.
func (r *Roster) Owners(now clock.Instant, key string) []Entry {
	candidates := r.Reachable(now)
	if !r.self.Leaving {
		candidates = append(candidates, r.self)
	}
	oldest := uint64(0)
	for _, entry := range candidates {
		if oldest == 0 || entry.Started < oldest {
			oldest = entry.Started
		}
	}
	weight := func(entry Entry) int {
		switch {
		case r.doubted(now, entry.Name):
			return 2
		case entry.Started > oldest+uint64(settleTime.Milliseconds()) && r.isYoung(now, entry.Name):
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b Entry) int {
		if c := cmp.Compare(weight(a), weight(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return candidates
}

func (r *Roster) doubted(now clock.Instant, name string) bool {
	entry := r.entries[name]
	return entry != nil && entry.doubtedUntil > now
}

// isYoung reports whether the start of a VM was learnt less than the settle time ago.
func (r *Roster) isYoung(now clock.Instant, name string) bool {
	if name == r.self.Name {
		return now.Sub(r.begun) < settleTime
	}
	entry := r.entries[name]
	return entry != nil && now.Sub(entry.learnt) < settleTime
}
