package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// Key identifies a resource that one VM of the fleet owns, such as a pool of stages.
type Key uint64

// KeyOf returns the key for the name of a resource. Claims are sent as hashes, so that an
// entry stays small with many pools.
func KeyOf(resource string) Key { return Key(xxhash.Sum64String(resource)) }

// Entry describes one VM. An entry is not modified after it has been shared.
type Entry struct {
	Name    string
	Zone    string
	Address string
	// Started is the start time of the VM's process in milliseconds since the Unix epoch.
	Started uint64
	// Version counts the changes of Leaving, Store, Partitioned and Claims since the process start.
	Version uint64
	// TableFormat is the version of the exchange of published items that the VM speaks; 0 for older versions.
	TableFormat uint32
	// IsPartial is set if this version of the entry came through a VM of a lower TableFormat, which does not
	// pass on what it does not know. Store and Partitioned are then those of WholeVersion.
	IsPartial    bool
	WholeVersion uint64
	// Leaving is set once the VM is shutting down.
	Leaving bool
	// Store says whether the VM reads the store for others.
	Store StoreAccess
	// Partitioned is set while the VM is partitioned from all upstreams.
	Partitioned bool
	// Capacity is the CPU capacity of the VM in thousandths of a core.
	Capacity uint32
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if unknown. It is constant while the VM runs, and VMs of
	// older versions do not pass it on.
	LinkMbps uint32
	// Claims are the keys that the VM claims to own.
	Claims []Key
}

// Claimed reports whether the VM claims the key.
func (e *Entry) Claimed(key Key) bool { return slices.Contains(e.Claims, key) }

// merged returns what is known from two entries of the same VM, in any order, and reports whether that is more than
// the known one says. A VM does not change its format while it runs, so that an entry of the same start without
// one came through an older VM.
func (e Entry) merged(known *Entry) (Entry, bool) {
	if e.Started != known.Started {
		return e, e.Started > known.Started
	}
	latest := e
	if known.Version >= e.Version {
		latest = *known
	}
	whole := latest
	for _, candidate := range []*Entry{&e, known} {
		if candidate.wholeVersion() > whole.wholeVersion() {
			whole = *candidate
		}
	}
	latest.TableFormat, latest.Store, latest.Partitioned = whole.TableFormat, whole.Store, whole.Partitioned
	latest.IsPartial, latest.WholeVersion = false, 0
	if from := whole.wholeVersion(); from >= 0 && from < int64(latest.Version) {
		latest.IsPartial, latest.WholeVersion = true, uint64(from)
	}
	latest.LinkMbps = max(e.LinkMbps, known.LinkMbps)
	return latest, e.Version > known.Version || e.wholeVersion() > known.wholeVersion() || e.LinkMbps > known.LinkMbps
}

// wholeVersion returns the version from which Store and Partitioned come, or -1 if the VM is not known to state its
// format.
func (e *Entry) wholeVersion() int64 {
	switch {
	case e.IsPartial:
		return int64(e.WholeVersion)
	case e.TableFormat > 0:
		return int64(e.Version)
	}
	return -1
}

// WholeFormat returns the table format whose fields this version of the entry has.
func (e *Entry) WholeFormat() uint32 {
	if e.IsPartial {
		return 0
	}
	return e.TableFormat
}

// startHash identifies the process start of the VM.
func (e *Entry) startHash() uint64 {
	return rendezvous.WeightOf(rendezvous.HashOf(e.Name), rendezvous.Hash(e.Started))
}

// withClaim returns the entry with the key added to the claims.
func (e Entry) withClaim(key Key) Entry {
	if !e.Claimed(key) {
		e.Claims = append(slices.Clone(e.Claims), key)
	}
	return e
}

// withoutClaim returns the entry with the key removed from the claims.
func (e Entry) withoutClaim(key Key) Entry {
	e.Claims = slices.DeleteFunc(slices.Clone(e.Claims), func(k Key) bool { return k == key })
	return e
}

// compareClaimants orders VMs that claim the same resource; the first one keeps it. The
// order only depends on data that is the same on all VMs.
func compareClaimants(resource Resource, a, b *Entry) int {
	if inZone := a.Zone == resource.Zone; resource.Zone != "" && inZone != (b.Zone == resource.Zone) {
		if inZone {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
		return c
	}
	return compareWeights(resource.Name, a, b)
}

func compareWeights(resource string, a, b *Entry) int {
	if c := cmp.Compare(rendezvous.Weight(resource, b.Name), rendezvous.Weight(resource, a.Name)); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}
