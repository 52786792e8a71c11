package poison

// maxGenerationParts is the number of parts after which a partMemory begins a new generation.
const maxGenerationParts = 4096

// partMemory remembers the parts that were added most recently, in bounded memory. The zero value is
// empty.
type partMemory struct{ current, previous map[Part]bool }

func (m *partMemory) add(part Part) {
	if m.current[part] {
		return
	}
	if m.current == nil || len(m.current) >= maxGenerationParts {
		m.current, m.previous = map[Part]bool{}, m.current
	}
	m.current[part] = true
}

func (m *partMemory) contains(part Part) bool { return m.current[part] || m.previous[part] }
