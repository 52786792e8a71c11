package published

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// applyItem puts a changed item in force.
func (s *State) applyItem(now clock.Instant, item replica.Item) Decision {
	d := s.decodeItem(item)
	if d.Verdict != Applied {
		return d
	}
	switch value := d.Value.(type) {
	case *catalog.Catalog:
		d.Verdict = s.offerConfiguration(value, item)
	case *catalog.Upstream:
		if item.Deleted {
			s.registry.Remove(now, value.ID)
		} else {
			s.registry.Put(now, *value)
		}
	case catalog.ZoneOut:
		delete(s.keptZones, string(value))
		if item.Deleted {
			s.zones.Remove(string(value))
		} else {
			s.zones.Put(string(value))
		}
	}
	if item.Deleted {
		d.Verdict = Removed
	}
	return d
}

func (s *State) offerConfiguration(value *catalog.Catalog, item replica.Item) Verdict {
	if s.configuration.offer(value, item) {
		return Applied
	}
	return NotNewer
}

// decodeItem returns a decision on an item that was not applied yet. Its verdict is Applied if the item can
// be.
func (s *State) decodeItem(item replica.Item) Decision {
	d := Decision{Item: item}
	value := item.Value
	if item.Deleted {
		value = nil
	}
	d.Value, d.Err = s.decode(item.Key, value)
	switch {
	case d.Err != nil:
		d.Verdict = Malformed
	case d.Value != nil:
		d.Verdict = Applied
	}
	return d
}
