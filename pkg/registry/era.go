package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// removalMemory is how long removed upstreams are remembered. It is longer than the age of a copy from
	// which the store returns.
	removalMemory = 30 * time.Second
	// maxRemovals bounds the memory for removed upstreams.
	maxRemovals = 4096
	// WithholdTime is how long an entry from a copy is withheld if its upstream is known as removed. It is
	// longer than the three heartbeats after which the store removes the entry of a silent upstream.
	WithholdTime = 5 * time.Second
)

// CopyVerdict says what became of an entry from a copy of the store.
type CopyVerdict uint8

const (
	// Registered entries are in the registry as listed.
	Registered CopyVerdict = iota
	// Stale entries are older than the known state, which stays.
	Stale
	// Withheld entries are of upstreams that are known as removed.
	Withheld
)

// removal is the last state of an upstream that was removed.
type removal struct {
	last catalog.Upstream
	at   clock.Instant
}

// withheld is an entry of a removed upstream that a copy of the store holds.
type withheld struct {
	upstream catalog.Upstream
	since    clock.Instant
}

// BeginEra records that the store has returned from a copy. Entries that are missing in it may be written
// again, as after an outage.
func (r *Registry) BeginEra(now clock.Instant) {
	r.SetStoreDown(now, true)
	r.SetStoreDown(now, false)
	for id, w := range r.withheld {
		r.withheld[id] = withheld{upstream: w.upstream, since: now}
	}
}

// PutFromCopy adds or replaces an entry that the first tables after a return of the store from a copy hold.
// The copy may be older than what this registry knows: then the known state stays. An upstream that was
// removed is withheld until its entry is written again or has stayed for WithholdTime.
func (r *Registry) PutFromCopy(now clock.Instant, upstream catalog.Upstream) CopyVerdict {
	if known := r.records[upstream.ID]; known != nil && IsOlder(upstream, known.entry.Upstream) {
		known.removeAt = 0
		return Stale
	}
	if removed, wasRemoved := r.removed[upstream.ID]; wasRemoved && r.records[upstream.ID] == nil && !IsOlder(removed.last, upstream) {
		r.withheld[upstream.ID] = withheld{upstream: upstream, since: now}
		return Withheld
	}
	r.Put(now, upstream)
	return Registered
}

// IsOlder reports whether a is an older state of an upstream than b. Without a StartID the order is unknown,
// since the Sequence starts anew with each process.
func IsOlder(a, b catalog.Upstream) bool {
	if a.StartID == 0 || b.StartID == 0 {
		return false
	}
	if a.StartID != b.StartID {
		return a.StartID < b.StartID
	}
	return a.Sequence < b.Sequence
}

// remember keeps the last state of an upstream that is removed.
func (r *Registry) remember(now clock.Instant, upstream catalog.Upstream) {
	if len(r.removed) < maxRemovals {
		r.removed[upstream.ID] = removal{last: upstream, at: now}
	}
}

// forgetRemovals forgets upstreams that were removed long ago.
func (r *Registry) forgetRemovals(now clock.Instant) {
	for id, removed := range r.removed {
		if _, isWithheld := r.withheld[id]; !isWithheld && now.Sub(removed.at) >= removalMemory {
			delete(r.removed, id)
		}
	}
}

// ReleaseWithheld registers the entries that were withheld long enough, and returns them, sorted by ID.
func (r *Registry) ReleaseWithheld(now clock.Instant) []catalog.Upstream {
	var released []catalog.Upstream
	for _, w := range r.withheld {
		if now.Sub(w.since) >= WithholdTime {
			r.Put(now, w.upstream)
			released = append(released, w.upstream)
		}
	}
	slices.SortFunc(released, func(a, b catalog.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return released
}
