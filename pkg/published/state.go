// Package published keeps what operators and upstreams publish in the store, and decides what of it is in
// force: the configuration, the registered upstreams and the zones out of service.
//
// The store may return from a copy of an earlier state, which starts a new era (see replica.Position). Until
// operators and upstreams have written again, its first tables are older than what a process knows. Invariants:
//   - the position never decreases, nor does the version of the configuration in force;
//   - an upstream that is known as draining or removed gets no work because a copy says otherwise, unless its
//     entry stays there for longer than the store keeps that of a silent upstream;
//   - what peers of an older version say changes neither the position nor the items.
//
// A State is deterministic and not safe for concurrent use.
package published

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// outageAge is the age of the tables above which the store counts as unavailable to all VMs, since no
// peer had newer tables.
const outageAge = 2 * time.Second

// Decode decodes a published item into *catalog.Catalog, *catalog.Upstream, catalog.ZoneOut or nil.
// For a removed item, whose value is nil, only the identity is set.
type Decode func(key string, value []byte) (any, error)

// State is what a VM knows of the published items.
type State struct {
	decode        Decode
	replica       *replica.Replica
	registry      *registry.Registry
	zones         *registry.ZonesOut
	configuration configuration
	// keptZones holds the keys of the items of the zones that are kept out of service, by zone.
	keptZones map[string]string
	// leaving holds what older peers report of upstreams, by ID.
	leaving map[string]leavingReport
	// mustPullAll is set if the last peer has tables of a higher era and sent only a part of them.
	mustPullAll bool
	// configurationFreshAt is the latest time at which the configuration in force is known to have been the latest.
	configurationFreshAt clock.Instant
	// keptOutstanding holds the items that peers have kept from an earlier era and whose values have not arrived, by
	// key, with the era in which they were kept.
	keptOutstanding map[string]outstandingItem
}

// New returns a state without items.
func New(decode Decode) *State {
	return &State{decode: decode, replica: replica.New(), registry: registry.New(), zones: registry.NewZonesOut(), keptZones: map[string]string{}, leaving: map[string]leavingReport{}, keptOutstanding: map[string]outstandingItem{}}
}

// Update is the result of a read of the store or of a peer's tables.
type Update struct {
	// HasChanges is set if what is in force may have changed.
	HasChanges bool
	// HasGap is set if changes may have been missed before.
	HasGap bool
	// NewEra is set if the items are now of a higher era.
	NewEra *EraChange
	// Decisions holds one entry for each item that changed.
	Decisions []Decision
}

// List applies a listing of the store that started at the position, as returned for a request sent at
// sentAt.
func (s *State) List(now clock.Instant, items []replica.Item, at replica.Position, sentAt clock.Instant) Update {
	return s.apply(now, at, func() []replica.Item { return s.replica.Replace(items, at, sentAt) })
}

// Watch applies changes after the current position, as returned for a request sent at sentAt.
func (s *State) Watch(now clock.Instant, changes []replica.Item, at replica.Position, sentAt clock.Instant) Update {
	return s.apply(now, at, func() []replica.Item { return s.replica.Apply(changes, at, sentAt) })
}

// Merge applies the changes after the requested position of a peer whose items are complete up to the
// position at and were so at freshAt.
func (s *State) Merge(now clock.Instant, requested replica.Position, changes replica.Changes, at replica.Position, freshAt clock.Instant) Update {
	// A peer compares a position whose era is unknown by its revision, which says nothing in its own era.
	isPartial := requested.Era != at.Era && !changes.IsWhole()
	s.mustPullAll = isPartial && at.Era > s.Position().Era
	if isPartial {
		return Update{}
	}
	changes.Items = s.withKnownValues(changes.Items)
	return s.apply(now, at, func() []replica.Item { return s.replica.Merge(changes, at, freshAt) })
}

// Confirm applies a peer's answer that nothing changed between the requested position and the peer's.
func (s *State) Confirm(now clock.Instant, requested, at replica.Position, freshAt clock.Instant) Update {
	s.mustPullAll = at.Era > s.Position().Era
	if s.mustPullAll {
		return Update{}
	}
	return s.apply(now, at, func() []replica.Item {
		s.replica.Confirm(requested, at, freshAt)
		return nil
	})
}

// apply calls change, which changes the replica up to the position, and puts the changes in force.
func (s *State) apply(now clock.Instant, at replica.Position, change func() []replica.Item) Update {
	before, wasComplete := s.Position(), s.replica.Complete()
	if at.Era < before.Era {
		return Update{}
	}
	update := Update{HasGap: s.recordOutage(now)}
	changed := change()
	if wasComplete && s.Position().Era > before.Era {
		s.beginEra(now, before, changed, &update)
	} else {
		for _, item := range changed {
			update.add(s.applyItem(now, item))
		}
	}
	s.recordConfigurationAge()
	update.HasChanges = s.dropReports(now) || len(changed) > 0 || update.NewEra != nil
	return update
}

// recordOutage tells the registry of a store outage that has ended, before the removals of entries that
// expired during the outage are applied, and reports whether there was one. If the store rejects only this
// VM, the tables from its peers are current and there is no outage.
func (s *State) recordOutage(now clock.Instant) bool {
	if !s.replica.Complete() || now.Sub(s.replica.FreshAt()) <= outageAge {
		return false
	}
	s.registry.SetStoreDown(now, true)
	s.registry.SetStoreDown(now, false)
	return true
}

// Tick ends what was kept or withheld for a time.
func (s *State) Tick(now clock.Instant) Update {
	update := Update{HasChanges: s.registry.Tick(now)}
	update.HasChanges = s.dropReports(now) || update.HasChanges
	for _, upstream := range s.registry.ReleaseWithheld(now) {
		update.HasChanges = true
		update.add(Decision{Value: &upstream, Verdict: ReleasedEntry})
	}
	for _, zone := range s.zones.Tick(now) {
		delete(s.keptZones, zone)
		update.HasChanges = true
		update.add(Decision{Value: catalog.ZoneOut(zone), Verdict: Expired})
	}
	return update
}

// Complete reports whether the items have ever been complete.
func (s *State) Complete() bool { return s.replica.Complete() }

// Position returns the position up to which the items are complete.
func (s *State) Position() replica.Position { return s.replica.Position() }

// PullPosition returns the position after which a peer is asked for changes.
func (s *State) PullPosition() replica.Position {
	if s.mustPullAll {
		return replica.Position{}
	}
	return s.Position()
}

// FreshAt returns the latest time at which the items are known to have been complete.
func (s *State) FreshAt() clock.Instant { return s.replica.FreshAt() }

// ConfigurationFreshAt returns the latest time at which the configuration in force is known to have been the latest
// one: it may be earlier than FreshAt while the value of a later one has not arrived.
func (s *State) ConfigurationFreshAt() clock.Instant { return s.configurationFreshAt }

// recordConfigurationAge records that the configuration in force is as current as the items, unless the value of a
// later one has not arrived. Outstanding values of other items say nothing about it.
func (s *State) recordConfigurationAge() {
	if !s.replica.IsOutstanding(s.configuration.item.Key) {
		s.configurationFreshAt = max(s.configurationFreshAt, s.FreshAt())
	}
}

// HasChangesSince reports whether an item changed or was removed after the position of a peer.
func (s *State) HasChangesSince(position replica.Position) bool {
	return s.replica.HasChangesSince(position)
}

// ChangesSince returns the changes after the position of a peer (see replica.Replica.ChangesSince).
func (s *State) ChangesSince(position replica.Position, asDelta bool) replica.Changes {
	return s.replica.ChangesSince(position, asDelta)
}

// HasValuesAfter reports whether the values of all items that changed after the position are here.
func (s *State) HasValuesAfter(position replica.Position) bool {
	return s.replica.HasValuesAfter(position)
}

// Version identifies the items. It is another one after each change.
func (s *State) Version() uint64 { return s.replica.Version() }

// Configuration returns the configuration in force, or nil.
func (s *State) Configuration() *catalog.Catalog { return s.configuration.catalog }

// Upstreams returns the registered upstreams, sorted by ID. The caller must not change them.
func (s *State) Upstreams() []*registry.Entry { return s.withReports(s.registry.Entries()) }

// ZonesOut returns the zones out of service.
func (s *State) ZonesOut() map[string]bool { return s.zones.Zones() }
