package poison

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// maxGenerationParts is the number of parts after which a partMemory begins a new generation.
const maxGenerationParts = 4096

// partMemory remembers when the parts that were added most recently were last added, in bounded
// memory. The zero value is empty.
type partMemory struct{ current, previous map[Part]clock.Instant }

func (m *partMemory) add(now clock.Instant, part Part) {
	if _, known := m.current[part]; !known && (m.current == nil || len(m.current) >= maxGenerationParts) {
		m.current, m.previous = map[Part]clock.Instant{}, m.current
	}
	m.current[part] = now
}

func (m *partMemory) contains(part Part) bool {
	_, ok := m.lastAdded(part)
	return ok
}

// lastAdded returns when the part was last added, and whether that is known.
func (m *partMemory) lastAdded(part Part) (clock.Instant, bool) {
	at, ok := m.current[part]
	if !ok {
		at, ok = m.previous[part]
	}
	return at, ok
}
