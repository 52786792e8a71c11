// Package fleet keeps the directory of the VMs of a fleet that has no published VM list,
// and decides which VM owns what. VMs learn of each other from a few seeds and from the
// entries that messages carry; the membership machine decides which of them are reachable.
//
// A Roster is deterministic and not safe for concurrent use. Invariants:
//   - of two entries with one name the later one is kept: that of the later process start,
//     or the later version of the same start;
//   - an entry that was unreachable for the whole retention is forgotten;
//   - of two VMs that claim a name and reach each other, the same one yields at both.
package fleet

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

const (
	// retention is how long an unreachable VM stays in the directory. It still counts for
	// shares of limits, since it may be alive behind a partition.
	retention = 30 * time.Second
	// newsTime is how long a changed entry goes before others in messages. Each VM sends
	// several messages in this time.
	newsTime = 2 * time.Second
	// reachableSlack is the age of the last observation at which a VM still counts as
	// reachable; observations come with each tick of the membership machine.
	reachableSlack = 500 * time.Millisecond
)

// known is an entry with the time when it was last heard of.
type known struct {
	Entry
	// learnt is when the start of the VM was first heard of, and changed when the entry last
	// changed.
	learnt    clock.Instant
	changed   clock.Instant
	reachable clock.Instant
	// doubted is set when a call to the VM failed, until it is heard of again.
	doubted bool
	// told holds what calls brought about the claims of the VM since its entry changed.
	told map[Key]bool
}

// owns reports whether the VM claims the key as far as is known.
func (k *known) owns(key Key) bool {
	if owns, ok := k.told[key]; ok {
		return owns
	}
	return k.Claimed(key)
}

func (k *known) tell(key Key, owns bool) {
	if k.told == nil {
		k.told = map[Key]bool{}
	}
	k.told[key] = owns
}

// Roster is the directory.
type Roster struct {
	self    Entry
	entries map[string]*known
	names   []string
	// rotation is the position of the entries that go into the next message.
	rotation int
	begun    clock.Instant
	// version counts the changes of who leaves and who claims what.
	version uint64
}

// New returns a directory that holds only this VM.
func New(now clock.Instant, self Entry) *Roster {
	return &Roster{self: self, entries: map[string]*known{}, begun: now}
}

// Self returns the entry of this VM.
func (r *Roster) Self() Entry { return r.self }

// Version changes when a VM begins to leave or its claims change.
func (r *Roster) Version() uint64 { return r.version }

// Leave marks this VM as shutting down.
func (r *Roster) Leave() {
	r.self.Leaving = true
	r.changeSelf()
}

func (r *Roster) changeSelf() {
	r.self.Version++
	r.version++
}

// Learn takes over entries of a message and reports whether a VM or an address is new.
func (r *Roster) Learn(now clock.Instant, entries []Entry) bool {
	isNew := false
	for _, entry := range entries {
		if entry.Name == "" || entry.Address == "" || entry.Name == r.self.Name {
			continue
		}
		old := r.entries[entry.Name]
		if old == nil {
			r.entries[entry.Name] = &known{Entry: entry, learnt: now, changed: now, reachable: now}
			r.sortNames()
			r.version++
			isNew = true
			continue
		}
		if !entry.isNewer(&old.Entry) {
			continue
		}
		if entry.Started != old.Started {
			old.learnt, old.reachable = now, now
			isNew = true
		}
		old.Entry, old.changed, old.told = entry, now, nil
		r.version++
	}
	return isNew
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

// Announce returns up to n entries for a message, this VM first. Up to half of them changed
// of late; the others take turns.
func (r *Roster) Announce(now clock.Instant, n int) []Entry {
	out := []Entry{r.self}
	isOut := map[string]bool{}
	add := func(known *known) {
		if !isOut[known.Name] {
			isOut[known.Name] = true
			out = append(out, known.Entry)
		}
	}
	for _, entry := range r.news(now) {
		if len(out) > n/2 {
			break
		}
		add(entry)
	}
	for range r.names {
		if len(out) >= n {
			break
		}
		r.rotation = (r.rotation + 1) % len(r.names)
		add(r.entries[r.names[r.rotation]])
	}
	return out
}

// news returns the entries that changed of late, the latest first.
func (r *Roster) news(now clock.Instant) []*known {
	var out []*known
	for _, name := range r.names {
		if entry := r.entries[name]; now.Sub(entry.changed) < newsTime {
			out = append(out, entry)
		}
	}
	slices.SortStableFunc(out, func(a, b *known) int { return int(b.changed.Sub(a.changed)) })
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
		if entry := r.entries[name]; r.isReachable(now, entry) {
			out = append(out, entry.Entry)
		}
	}
	return out
}

func (r *Roster) isReachable(now clock.Instant, entry *known) bool {
	return !entry.Leaving && now.Sub(entry.reachable) <= reachableSlack
}
