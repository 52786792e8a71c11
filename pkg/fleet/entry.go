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
	// Leaving is set once the VM is shutting down.
	Leaving bool
	// Store says whether the VM reads the store for others.
	Store StoreAccess
	// Partitioned is set while the VM is partitioned from all upstreams.
	Partitioned bool
	// Capacity is the CPU capacity of the VM in thousandths of a core.
	Capacity uint32
	// Claims are the keys that the VM claims to own.
	Claims []Key
}

// Claimed reports whether the VM claims the key.
func (e *Entry) Claimed(key Key) bool { return slices.Contains(e.Claims, key) }

// isNewer reports whether the entry is a later state of the same VM than old.
func (e *Entry) isNewer(old *Entry) bool {
	if e.Started != old.Started {
		return e.Started > old.Started
	}
	return e.Version > old.Version
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
