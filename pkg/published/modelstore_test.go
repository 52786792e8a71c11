package published

import (
	"maps"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// modelStore is a store that may return from a copy.
type modelStore struct {
	items    map[string]replica.Item
	removals map[string]uint64
	at       replica.Position
	// oldest is the revision after which the history is known.
	oldest uint64
	// version is that of the configuration.
	version int64
	copied  *modelStore
}

func newModelStore() *modelStore {
	return &modelStore{items: map[string]replica.Item{}, removals: map[string]uint64{}, at: pos(1, 10), oldest: 10}
}

// put writes an item, or removes it if the value is nil.
func (m *modelStore) put(key string, value []byte) {
	_, exists := m.items[key]
	if value == nil && !exists {
		return
	}
	m.at.Revision++
	if value == nil {
		delete(m.items, key)
		m.removals[key] = m.at.Revision
		return
	}
	delete(m.removals, key)
	m.items[key] = replica.Item{Key: key, Value: value, Revision: m.at.Revision}
}

func (m *modelStore) compact() { m.oldest = m.at.Revision }

func (m *modelStore) clone() *modelStore {
	out := *m
	out.items, out.removals = maps.Clone(m.items), maps.Clone(m.removals)
	return &out
}

// returnFromCopy goes back to the last copy in a new era.
func (m *modelStore) returnFromCopy() {
	era, copied := m.at.Era+1, m.copied
	*m = *copied.clone()
	m.copied, m.at.Era = copied, era
}

func (m *modelStore) list() []replica.Item {
	return slices.Collect(maps.Values(m.items))
}

// changesAfter returns the changes after the revision, and whether the store knows them.
func (m *modelStore) changesAfter(revision uint64) ([]replica.Item, bool) {
	if revision < m.oldest || revision > m.at.Revision {
		return nil, false
	}
	var out []replica.Item
	for _, item := range m.items {
		if item.Revision > revision {
			out = append(out, item)
		}
	}
	for key, at := range m.removals {
		if at > revision {
			out = append(out, removed(key, at))
		}
	}
	return out, true
}
