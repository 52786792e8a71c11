package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// Each resource, such as a pool of stages, has one owner in every group of VMs that reach each
// other. A VM claims a resource that no VM claims and keeps it while it runs, since a new owner
// lacks the state of the old one. Claims are sent with the directory entries. If two VMs claim
// the same resource, as after a partition, the one that comes later in a fixed order releases
// its claim.
//
// A VM that is partitioned from all upstreams cannot act as an owner, so its claims do not count, and as
// a candidate it comes after all others. If the reachable VMs are all partitioned, this has no effect.

const (
	// claimDelay is how long a VM must have been running before it is preferred as an
	// owner, so that a VM that restarts in a loop does not take over pools. It only
	// applies if another VM has been running for longer.
	claimDelay = 3 * time.Second
	// preferredCapacityRatio is the fraction of the largest VM's capacity from which a VM
	// is a preferred owner. An owner handles the calls of the whole fleet for its pool.
	preferredCapacityRatio = 0.5
	// preferredLinkRatio is the fraction of the largest bandwidth from which a VM is a preferred owner of a resource
	// that sends the tables.
	preferredLinkRatio = 0.5
)

// Resource is something that one VM owns.
type Resource struct {
	Name string
	// Zone is the zone whose VMs should own the resource, since it has to do with that zone alone;
	// empty if VMs of all zones are equal. VMs of other zones own it only if none of that zone is
	// reachable.
	Zone string
	// SendsTables is set if the owner sends the published items to many VMs, so that the bandwidth of its link counts.
	SendsTables bool
}

// ReleasedClaim is a resource whose claim this VM released.
type ReleasedClaim struct {
	Resource Resource
	// NewOwner is the VM that should own the resource now. It is empty if there is none.
	NewOwner Entry
}

// Owner returns the VM that owns the resource as far as this VM knows: a reachable VM that
// claims it, or otherwise the one that should claim it. It returns false if there is none.
func (d *Directory) Owner(now clock.Instant, resource Resource) (Entry, bool) {
	hasConnected := d.hasConnected(now)
	claimant := d.claimant(now, resource, func(e *Entry) bool { return !hasConnected || !e.Partitioned })
	if claimant != nil && (resource.Zone == "" || claimant.Zone == resource.Zone) {
		return *claimant, true
	}
	candidates := d.candidates(now, resource)
	if len(candidates) == 0 {
		return Entry{}, false
	}
	if hasConnected {
		demotePartitioned(candidates)
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int { return a.compare(&b) })
	if claimant != nil && best.tier > maxPreferredTier {
		// No settled VM of the resource's zone could take it over.
		return *claimant, true
	}
	return best.entry, true
}

// IsClaimed reports whether this VM or a reachable one claims the resource, including VMs that are
// partitioned from all upstreams.
func (d *Directory) IsClaimed(now clock.Instant, resource Resource) bool {
	return d.claimant(now, resource, func(*Entry) bool { return true }) != nil
}

// claimant returns the reachable VM that claims the resource, or nil. Only claims of eligible VMs count.
func (d *Directory) claimant(now clock.Instant, resource Resource, isEligible func(*Entry) bool) *Entry {
	key := KeyOf(resource.Name)
	var best *Entry
	if d.self.Claimed(key) && !d.self.Leaving && isEligible(&d.self) {
		best = &d.self
	}
	for _, vm := range d.names {
		entry := d.entries[vm]
		if !entry.owns(key) || !d.isReachable(now, entry) || entry.unresponsive || !isEligible(&entry.Entry) {
			continue
		}
		if best == nil || compareClaimants(resource, &entry.Entry, best) < 0 {
			best = &entry.Entry
		}
	}
	return best
}

// Tiers of candidates; a lower one is preferred.
const (
	tierPreferred = iota
	tierSmall
	tierRecentlyStarted
	tierUnresponsive
	// tierOtherZone is added for a VM that is not in the zone of the resource.
	tierOtherZone
	// tierPartitioned is added for a VM that is partitioned from all upstreams, so that it comes after all
	// others.
	tierPartitioned = 2 * tierOtherZone

	// maxPreferredTier is the highest tier to which a claim moves while the claimant is reachable.
	maxPreferredTier = tierSmall
)

// candidate is a VM that may own a resource, with what decides the order of the candidates.
type candidate struct {
	entry  Entry
	tier   int
	weight uint64
}

// compare orders candidates; the first one should own the resource.
func (c *candidate) compare(other *candidate) int {
	if order := cmp.Compare(c.tier, other.tier); order != 0 {
		return order
	}
	if order := cmp.Compare(other.weight, c.weight); order != 0 {
		return order
	}
	return cmp.Compare(c.entry.Name, other.entry.Name)
}

// Ranking returns the VMs that may own a resource in order of preference. VMs with the same
// directory return the same order; unresponsive VMs come last. It does not depend on which VMs are
// partitioned from all upstreams: they still read the store and relay its tables.
func (d *Directory) Ranking(now clock.Instant, resource Resource) []Entry {
	candidates := d.candidates(now, resource)
	slices.SortFunc(candidates, func(a, b candidate) int { return a.compare(&b) })
	out := make([]Entry, 0, len(candidates))
	for i := range candidates {
		out = append(out, candidates[i].entry)
	}
	return out
}

// candidates returns the VMs that may own a resource, in no particular order.
func (d *Directory) candidates(now clock.Instant, resource Resource) []candidate {
	out := make([]candidate, 0, len(d.names)+1)
	for _, name := range d.names {
		if entry := d.entries[name]; d.isReachable(now, entry) {
			out = append(out, candidate{entry: entry.Entry})
		}
	}
	if !d.self.Leaving {
		out = append(out, candidate{entry: d.self})
	}
	oldest, largest, fastest := uint64(0), uint32(0), uint32(0)
	for i := range out {
		if oldest == 0 || out[i].entry.Started < oldest {
			oldest = out[i].entry.Started
		}
		largest = max(largest, out[i].entry.Capacity)
		if resource.Zone == "" || out[i].entry.Zone == resource.Zone {
			fastest = max(fastest, out[i].entry.LinkMbps)
		}
	}
	key := rendezvous.HashOf(resource.Name)
	for i := range out {
		c := &out[i]
		c.weight = rendezvous.WeightOf(key, rendezvous.HashOf(c.entry.Name))
		switch {
		case d.isUnresponsive(c.entry.Name):
			c.tier = tierUnresponsive
		case c.entry.Started > oldest+uint64(claimDelay.Milliseconds()) && d.startedRecently(now, c.entry.Name):
			c.tier = tierRecentlyStarted
		case float64(c.entry.Capacity) < preferredCapacityRatio*float64(largest):
			c.tier = tierSmall
		case resource.SendsTables && float64(c.entry.LinkMbps) < preferredLinkRatio*float64(fastest):
			c.tier = tierSmall
		}
		if resource.Zone != "" && c.entry.Zone != resource.Zone {
			c.tier += tierOtherZone
		}
	}
	return out
}

// Claim adds the resource to this VM's claims, and reports whether the claim is new.
func (d *Directory) Claim(resource string) bool {
	key := KeyOf(resource)
	if d.self.Leaving || d.self.Claimed(key) {
		return false
	}
	d.self = d.self.withClaim(key)
	d.bumpVersion()
	return true
}

// UpdateClaims claims the resources that no VM claims and this VM should own, and releases
// claims to resources that another VM should own. It returns both. Claims to other resources,
// which do not exist any more, are dropped.
func (d *Directory) UpdateClaims(now clock.Instant, resources []Resource) (claimed []Resource, released []ReleasedClaim) {
	existing := make(map[Key]bool, len(resources))
	for _, resource := range resources {
		key := KeyOf(resource.Name)
		existing[key] = true
		owner, ok := d.Owner(now, resource)
		isSelf := ok && owner.Name == d.self.Name
		switch {
		case d.self.Claimed(key) && !isSelf:
			d.self = d.self.withoutClaim(key)
			d.bumpVersion()
			released = append(released, ReleasedClaim{Resource: resource, NewOwner: owner})
		case isSelf && d.Claim(resource.Name):
			claimed = append(claimed, resource)
		}
	}
	for _, key := range d.self.Claims {
		if !existing[key] {
			d.self = d.self.withoutClaim(key)
			d.bumpVersion()
		}
	}
	return claimed, released
}

// RecordOwner records that a VM owns the resource, as reported by another VM in response to a
// call.
func (d *Directory) RecordOwner(resource, owner string) {
	if entry := d.entries[owner]; entry != nil {
		entry.setOwnership(KeyOf(resource), true)
		entry.unresponsive = false
	}
}

// RecordNotOwner records that a VM does not own the resource, as reported by that VM.
func (d *Directory) RecordNotOwner(resource, name string) {
	if entry := d.entries[name]; entry != nil {
		entry.setOwnership(KeyOf(resource), false)
	}
}

// MarkUnresponsive excludes a VM from ownership after a call to it failed, until a message
// from the VM itself arrives. Membership takes seconds to detect the loss of many VMs at
// once; a pool that returned to a lost VM meanwhile would cost each stage another delay.
func (d *Directory) MarkUnresponsive(name string) {
	if entry := d.entries[name]; entry != nil {
		entry.unresponsive = true
	}
}

// MarkResponsive records that a message from the VM itself arrived.
func (d *Directory) MarkResponsive(name string) {
	if entry := d.entries[name]; entry != nil {
		entry.unresponsive = false
	}
}

// Unresponsive returns the unresponsive VMs that membership still reports as reachable,
// sorted by name. The caller should request a message from them.
func (d *Directory) Unresponsive(now clock.Instant) []Entry {
	var out []Entry
	for _, name := range d.names {
		if entry := d.entries[name]; entry.unresponsive && d.isReachable(now, entry) {
			out = append(out, entry.Entry)
		}
	}
	return out
}

func (d *Directory) isUnresponsive(name string) bool {
	entry := d.entries[name]
	return entry != nil && entry.unresponsive
}

// startedRecently reports whether the VM's process start was first seen less than
// claimDelay ago.
func (d *Directory) startedRecently(now clock.Instant, name string) bool {
	if name == d.self.Name {
		return now.Sub(d.startedAt) < claimDelay
	}
	entry := d.entries[name]
	return entry != nil && now.Sub(entry.startSeenAt) < claimDelay
}
