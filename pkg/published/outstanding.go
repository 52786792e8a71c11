package published

import (
	"maps"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// outstandingItem is an item whose value has not arrived, with the era in which it became known.
type outstandingItem struct {
	item replica.Item
	era  uint64
}

// Outstanding is an item whose value has to be fetched.
type Outstanding struct {
	Item replica.Item
	// Era is that in which the item is outstanding. Supply must be called with it.
	Era uint64
}

// Outstanding returns the items whose values have not arrived, those of the store first.
func (s *State) Outstanding() []Outstanding {
	var out []Outstanding
	for _, item := range s.replica.Outstanding() {
		out = append(out, Outstanding{Item: item, Era: s.Position().Era})
	}
	for _, key := range slices.Sorted(maps.Keys(s.keptOutstanding)) {
		if kept := s.keptOutstanding[key]; kept.era == s.Position().Era {
			out = append(out, Outstanding{Item: kept.item, Era: kept.era})
		}
	}
	return out
}

// Forget drops an item that a peer has kept and whose value no VM has sent. Peers refer to it again while they keep it.
// An item of the store stays outstanding.
func (s *State) Forget(wanted Outstanding) {
	if kept, ok := s.keptOutstanding[wanted.Item.Key]; ok && kept.item.Reference == wanted.Item.Reference {
		delete(s.keptOutstanding, wanted.Item.Key)
	}
}

// Supply puts an item in force whose value has arrived. The value may have been overtaken meanwhile by a later one
// that is still outstanding.
func (s *State) Supply(now clock.Instant, era uint64, item replica.Item) Update {
	var update Update
	if kept, ok := s.keptOutstanding[item.Key]; ok && kept.item.Reference == item.Reference {
		delete(s.keptOutstanding, item.Key)
		if kept.era == s.Position().Era {
			known := item
			known.Reference = replica.Reference{}
			update = s.OfferKept(now, s.Position(), []replica.Item{known})
		}
	}
	for _, changed := range s.replica.Supply(era, item) {
		update.add(s.applyItem(now, changed))
		update.HasChanges = true
	}
	s.releaseIfListed()
	s.recordConfigurationAge()
	return update
}

// Base returns the value of the configuration in force, or nil. It is the base of differences to later values.
func (s *State) Base() []byte { return s.configuration.item.Value }

// ValueByHash returns the value of an item that is known here, or nil.
func (s *State) ValueByHash(hash uint64) []byte {
	if value := s.configuration.item.Value; replica.ReferenceTo(value).Hash == hash {
		return value
	}
	return s.replica.ValueByHash(hash)
}

// withKnownValues returns the items with the values that are known here in place of references to them.
func (s *State) withKnownValues(items []replica.Item) []replica.Item {
	out := slices.Clone(items)
	for i := range out {
		if !out[i].IsReference() {
			continue
		}
		if value := s.ValueByHash(out[i].Reference.Hash); replica.ReferenceTo(value) == out[i].Reference {
			out[i].Value, out[i].Reference = value, replica.Reference{}
		}
	}
	return out
}
