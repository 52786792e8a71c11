package published

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// beginEra applies the items that differ in the first tables of a new era. After them, the order of the
// store holds again.
func (s *State) beginEra(now clock.Instant, before replica.Position, changed []replica.Item, update *Update) {
	update.HasGap = true
	update.NewEra = &EraChange{From: before, To: s.Position()}
	s.registry.BeginEra(now)
	s.zones.BeginEra()
	s.configuration.beginEra()
	for _, item := range changed {
		update.add(s.applyFromCopy(now, item))
	}
	s.releaseIfListed()
	if s.configuration.isKept {
		update.NewEra.KeptConfiguration = s.configuration.catalog.Version
	}
}

// applyFromCopy applies an item that may be older than what is known.
func (s *State) applyFromCopy(now clock.Instant, item replica.Item) Decision {
	d := s.decodeItem(item)
	if d.Verdict != Applied {
		return d
	}
	switch value := d.Value.(type) {
	case *catalog.Upstream:
		if !item.Deleted {
			d.Verdict = entryVerdicts[s.registry.PutFromCopy(now, *value)]
			return d
		}
	case catalog.ZoneOut:
		if item.Deleted {
			if s.zones.Keep(now, string(value)) {
				s.keptZones[string(value)] = item.Key
			}
			d.Verdict = Kept
			return d
		}
	}
	return s.applyItem(now, item)
}

var entryVerdicts = [...]Verdict{registry.Registered: Applied, registry.Stale: StaleEntry, registry.Withheld: WithheldEntry}
