// Package fleet keeps the directory of the VMs in a fleet without a published VM list,
// and decides which VM owns which resource, such as a pool of stages. VMs discover each
// other through a few seeds and through the directory entries in messages; the membership
// machine decides which of them are reachable.
//
// A Directory is deterministic and not safe for concurrent use. Invariants:
//   - of two entries for the same VM name the newer one is kept: that of the later
//     process start, or the later version of the same start; what VMs of an older version
//     do not pass on is kept from the latest entry that has it, whatever their order;
//   - an entry that was unreachable for the whole retention time is deleted;
//   - if two VMs that reach each other claim the same resource, both agree on which one
//     releases its claim.
package fleet

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

const (
	// unreachableRetention is how long an unreachable VM stays in the directory. Until
	// then it counts when limits are divided among VMs, since it may be running behind
	// a partition.
	unreachableRetention = 30 * time.Second
	// recentChangeWindow is how long a changed entry takes precedence over others in
	// messages. Each VM sends several messages in this time.
	recentChangeWindow = 2 * time.Second
	// reachableMaxAge is the age of the last observation up to which a VM counts as
	// reachable; each tick of the membership machine makes an observation.
	reachableMaxAge = 500 * time.Millisecond
)

// trackedEntry is the entry of another VM with local observations.
type trackedEntry struct {
	Entry
	// startSeenAt is when the VM's current process start was first seen, changedAt when the
	// entry last changed, and lastReachableAt when the VM was last observed as reachable.
	startSeenAt     clock.Instant
	changedAt       clock.Instant
	lastReachableAt clock.Instant
	// unresponsive is set when a call to the VM failed, until a message of the VM arrives.
	unresponsive bool
	// ownershipFromCalls holds what calls reported about the VM's ownership of keys
	// since its entry changed. It overrides the claims in the entry.
	ownershipFromCalls map[Key]bool
}

// owns reports whether the VM owns the key according to the latest report or its claims.
func (e *trackedEntry) owns(key Key) bool {
	if owns, ok := e.ownershipFromCalls[key]; ok {
		return owns
	}
	return e.Claimed(key)
}

func (e *trackedEntry) setOwnership(key Key, owns bool) {
	if e.ownershipFromCalls == nil {
		e.ownershipFromCalls = map[Key]bool{}
	}
	e.ownershipFromCalls[key] = owns
}

// maxEntries bounds the directory. It is about three times the design size of a fleet, so that messages
// with names that do not exist cannot take the memory of a VM.
const maxEntries = 1024

// Directory holds the entries of all known VMs.
type Directory struct {
	self    Entry
	entries map[string]*trackedEntry
	names   []string
	// cursor is the position in names of the last entry chosen in round-robin order.
	cursor    int
	startedAt clock.Instant
	// version counts the changes to which VMs are leaving and which claim what.
	version uint64
	// dropped are the addresses of entries that were deleted since the last call of TakeDropped.
	dropped []string
}

// New returns a directory that holds only this VM.
func New(now clock.Instant, self Entry) *Directory {
	return &Directory{self: self, entries: map[string]*trackedEntry{}, startedAt: now}
}

// Self returns the entry of this VM.
func (d *Directory) Self() Entry { return d.self }

// Version changes when a VM starts leaving, gets or loses access to the store or the upstreams, or its claims
// change.
func (d *Directory) Version() uint64 { return d.version }

// Leave marks this VM as shutting down.
func (d *Directory) Leave() {
	d.self.Leaving = true
	d.bumpVersion()
}

func (d *Directory) bumpVersion() {
	d.self.Version++
	d.version++
}

// Merge merges entries of a message, and reports whether it added a VM or a new process
// start, which may have another address.
func (d *Directory) Merge(now clock.Instant, entries []Entry) bool {
	added := false
	for _, entry := range entries {
		if entry.Name == "" || entry.Address == "" || entry.Name == d.self.Name {
			continue
		}
		old := d.entries[entry.Name]
		if old == nil {
			if len(d.entries) >= maxEntries {
				continue
			}
			d.entries[entry.Name] = &trackedEntry{Entry: entry, startSeenAt: now, changedAt: now, lastReachableAt: now}
			d.rebuildNames()
			d.version++
			added = true
			continue
		}
		entry, isNews := entry.merged(&old.Entry)
		if !isNews {
			continue
		}
		if entry.Started != old.Started {
			old.startSeenAt, old.lastReachableAt = now, now
			added = true
		}
		old.Entry, old.changedAt, old.ownershipFromCalls = entry, now, nil
		d.version++
	}
	return added
}

func (d *Directory) rebuildNames() {
	d.names = d.names[:0]
	for name := range d.entries {
		d.names = append(d.names, name)
	}
	slices.Sort(d.names)
}

// Members returns the member list for the membership machine.
func (d *Directory) Members() []membership.Member {
	out := make([]membership.Member, 0, len(d.names))
	for _, name := range d.names {
		entry := d.entries[name]
		out = append(out, membership.Member{Name: name, Zone: entry.Zone, Address: entry.Address})
	}
	return out
}

// UpdateReachability records which VMs are reachable and drops those that were
// unreachable for too long. It reports whether it dropped any.
func (d *Directory) UpdateReachability(now clock.Instant, states []membership.MemberState) bool {
	for _, state := range states {
		entry := d.entries[state.Name]
		if entry == nil {
			continue
		}
		if state.Status != membership.Unreachable {
			entry.lastReachableAt = now
		}
	}
	before := len(d.names)
	for _, name := range d.names {
		if entry := d.entries[name]; now.Sub(entry.lastReachableAt) > unreachableRetention {
			delete(d.entries, name)
			d.dropped = append(d.dropped, entry.Address)
		}
	}
	if len(d.entries) == before {
		return false
	}
	d.rebuildNames()
	return true
}

// TakeDropped returns the addresses of the VMs that left the directory since the last call.
func (d *Directory) TakeDropped() []string {
	out := d.dropped
	d.dropped = nil
	return out
}

// EntriesForMessage returns up to n entries for a message, this VM's first. Up to half
// of them are recently changed ones; the others are sent in round-robin order.
func (d *Directory) EntriesForMessage(now clock.Instant, n int) []Entry {
	out := []Entry{d.self}
	included := map[string]bool{}
	add := func(entry *trackedEntry) {
		if !included[entry.Name] {
			included[entry.Name] = true
			out = append(out, entry.Entry)
		}
	}
	for _, entry := range d.recentlyChanged(now) {
		if len(out) > n/2 {
			break
		}
		add(entry)
	}
	for range d.names {
		if len(out) >= n {
			break
		}
		d.cursor = (d.cursor + 1) % len(d.names)
		add(d.entries[d.names[d.cursor]])
	}
	return out
}

// recentlyChanged returns the entries that changed lately, the latest first.
func (d *Directory) recentlyChanged(now clock.Instant) []*trackedEntry {
	var out []*trackedEntry
	for _, name := range d.names {
		if entry := d.entries[name]; now.Sub(entry.changedAt) < recentChangeWindow {
			out = append(out, entry)
		}
	}
	slices.SortStableFunc(out, func(a, b *trackedEntry) int { return int(b.changedAt.Sub(a.changedAt)) })
	return out
}

// Digest identifies the set of known process starts. Two directories with the same set have the
// same digest; a different set has the same one only by chance.
func (d *Directory) Digest() uint64 {
	digest := d.self.startHash()
	for _, entry := range d.entries {
		digest ^= entry.startHash()
	}
	// 0 stands for an unknown digest.
	return max(digest, 1)
}

// Entries returns the entries of all known VMs, this one first and the others sorted by name.
func (d *Directory) Entries() []Entry {
	out := make([]Entry, 0, len(d.names)+1)
	out = append(out, d.self)
	for _, name := range d.names {
		out = append(out, d.entries[name].Entry)
	}
	return out
}

// Size returns the number of VMs that may be running, including this one.
func (d *Directory) Size() int { return len(d.names) + 1 }

// Entry returns the entry of a VM.
func (d *Directory) Entry(name string) (Entry, bool) {
	if name == d.self.Name {
		return d.self, true
	}
	entry := d.entries[name]
	if entry == nil {
		return Entry{}, false
	}
	return entry.Entry, true
}

// Reachable returns the other VMs that are reachable and not shutting down, sorted by name.
func (d *Directory) Reachable(now clock.Instant) []Entry {
	var out []Entry
	for _, name := range d.names {
		if entry := d.entries[name]; d.isReachable(now, entry) {
			out = append(out, entry.Entry)
		}
	}
	return out
}

// IsAlone reports whether no other VM is reachable.
func (d *Directory) IsAlone(now clock.Instant) bool {
	for _, entry := range d.entries {
		if d.isReachable(now, entry) {
			return false
		}
	}
	return true
}

// UnreachableZones returns the zones of which VMs are known but none is reachable.
func (d *Directory) UnreachableZones(now clock.Instant) map[string]bool {
	out := map[string]bool{}
	for _, entry := range d.entries {
		out[entry.Zone] = true
	}
	for _, entry := range d.entries {
		if d.isReachable(now, entry) {
			delete(out, entry.Zone)
		}
	}
	return out
}

func (d *Directory) isReachable(now clock.Instant, entry *trackedEntry) bool {
	return !entry.Leaving && now.Sub(entry.lastReachableAt) <= reachableMaxAge
}
