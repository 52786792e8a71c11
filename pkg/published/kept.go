package published

import (
	"slices"
	"strings"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// Kept returns the items of an earlier era that the store has not written again since and that are still in
// force: the configuration, if its version is above the given one, and zones out of service, whose values are
// empty. They are handed on beside the items of the replica, since their revisions have no meaning in this era.
func (s *State) Kept(aboveVersion int64) []replica.Item {
	var out []replica.Item
	if c := &s.configuration; c.isKept && c.catalog.Version > aboveVersion {
		out = append(out, replica.Item{Key: c.item.Key, Value: c.item.Value})
	}
	for _, key := range s.keptZones {
		out = append(out, replica.Item{Key: key})
	}
	slices.SortFunc(out, func(a, b replica.Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// OfferKept puts items in force that a peer, whose items are complete up to the position, has kept from an
// earlier era. Those of a peer that is in another era have no effect.
func (s *State) OfferKept(now clock.Instant, at replica.Position, items []replica.Item) Update {
	var update Update
	if !s.Complete() || at.Era != s.Position().Era {
		return update
	}
	for _, item := range s.withKnownValues(items) {
		if item.IsReference() {
			s.keptOutstanding[item.Key] = outstandingItem{item: item, era: at.Era}
			continue
		}
		d := s.decodeItem(item)
		if d.Verdict == Applied {
			d.Verdict = s.applyKept(now, item, d.Value)
		}
		update.HasChanges = update.HasChanges || d.Verdict == Kept
		update.add(d)
	}
	return update
}

// applyKept puts a kept item in force. The verdict is Unknown if it has no effect, as in repeated answers.
func (s *State) applyKept(now clock.Instant, item replica.Item, value any) Verdict {
	isApplied := false
	switch value := value.(type) {
	case *catalog.Catalog:
		isApplied = s.configuration.offerKept(value, item)
	case catalog.ZoneOut:
		zone := string(value)
		if isApplied = s.zones.KeepForPeer(now, zone); isApplied {
			s.keptZones[zone] = item.Key
		}
	}
	if isApplied {
		return Kept
	}
	return Unknown
}
