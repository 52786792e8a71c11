package routing

const (
	// affinityTableSize is the number of prefixes kept; older ones are overwritten.
	affinityTableSize = 4096
	// affinityWays is the associativity of the table.
	affinityWays = 4
	// maxAffinityLoadRatio is the ratio to the mean load above which affinity is ignored.
	maxAffinityLoadRatio = 1.25
	// lowUtilization is the utilization up to which affinity is always honored.
	lowUtilization = 0.5
)

// Affinity records which upstream has a prompt prefix in its cache. It is a set-associative
// table, so its memory is fixed and its operations do not allocate.
type Affinity struct {
	entries [affinityTableSize]affinityEntry
	lastUse uint32
}

type affinityEntry struct {
	prefix   uint64
	upstream *Upstream
	lastUse  uint32
}

// Lookup returns the upstream recorded for the prefix, or nil.
func (a *Affinity) Lookup(prefix uint64) *Upstream {
	set := a.setFor(prefix)
	for i := range set {
		if set[i].prefix == prefix {
			return set[i].upstream
		}
	}
	return nil
}

// Record records that the upstream has the prefix in its cache, in place of the least recently
// recorded prefix of the set if it is full.
func (a *Affinity) Record(prefix uint64, u *Upstream) {
	set := a.setFor(prefix)
	victim := 0
	for i := range set {
		if set[i].prefix == prefix {
			victim = i
			break
		}
		if set[i].lastUse < set[victim].lastUse {
			victim = i
		}
	}
	a.lastUse++
	set[victim] = affinityEntry{prefix: prefix, upstream: u, lastUse: a.lastUse}
}

// Remove removes the prefix if it is recorded for the upstream, for example after a cache event.
func (a *Affinity) Remove(prefix uint64, u *Upstream) {
	set := a.setFor(prefix)
	for i := range set {
		if set[i].prefix == prefix && set[i].upstream == u {
			set[i] = affinityEntry{}
		}
	}
}

// RemoveUpstream removes all prefixes of an upstream whose process was replaced.
func (a *Affinity) RemoveUpstream(u *Upstream) {
	for i := range a.entries {
		if a.entries[i].upstream == u {
			a.entries[i] = affinityEntry{}
		}
	}
}

// AcceptableLoad reports whether a preferred upstream with the given load may be used. Up to
// half of the capacity it always may, since an imbalance then causes no delay and the ratio
// to a small mean is mostly noise.
func AcceptableLoad(load, mean float64, capacity int) bool {
	return load <= max(maxAffinityLoadRatio*mean, lowUtilization*float64(capacity))
}

func (a *Affinity) setFor(prefix uint64) []affinityEntry {
	base := int(prefix % (affinityTableSize / affinityWays) * affinityWays)
	return a.entries[base : base+affinityWays]
}
