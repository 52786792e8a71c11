package published

import (
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
	for _, kept := range s.keptOutstanding {
		if kept.era == s.Position().Era {
			out = append(out, Outstanding{Item: kept.item, Era: kept.era})
		}
	}
	return out
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
	return update
}

// Base returns the value of the configuration in force, or nil. It is the base of differences to later values.
func (s *State) Base() []byte { return s.configuration.item.Value }

// ValueOf returns the value that a reference identifies if it is known here.
func (s *State) ValueOf(reference replica.Reference) ([]byte, bool) {
	if item := s.configuration.item; reference != (replica.Reference{}) && replica.ReferenceTo(item.Value) == reference {
		return item.Value, true
	}
	return nil, false
}

// withKnownValues returns the items with the values that are known here in place of references to them.
func (s *State) withKnownValues(items []replica.Item) []replica.Item {
	out := slices.Clone(items)
	for i := range out {
		if value, ok := s.ValueOf(out[i].Reference); ok {
			out[i].Value, out[i].Reference = value, replica.Reference{}
		}
	}
	return out
}
