package dispatch

// requestTag tells tickets of requests from those of attempts.
const requestTag = 1 << 63

// arena hands out reusable entries by ticket. A ticket carries a generation, so
// that a late event of a released ticket finds nothing.
type arena[T any] struct {
	tag     uint64
	entries []*arenaEntry[T]
	free    []uint32
	inUse   int
}

type arenaEntry[T any] struct {
	generation uint32
	used       bool
	value      T
}

// allocate returns a ticket and its entry, which keeps the contents of its last use.
func (s *arena[T]) allocate() (Ticket, *T) {
	if len(s.free) == 0 {
		s.free = append(s.free, uint32(len(s.entries)))
		s.entries = append(s.entries, &arenaEntry[T]{})
	}
	index := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	entry := s.entries[index]
	entry.generation = (entry.generation + 1) & (1<<31 - 1)
	entry.used = true
	s.inUse++
	return Ticket(s.tag | uint64(entry.generation)<<32 | uint64(index)), &entry.value
}

// get returns the entry of a ticket in use, or nil.
func (s *arena[T]) get(ticket Ticket) *T {
	entry := s.find(ticket)
	if entry == nil {
		return nil
	}
	return &entry.value
}

// release makes the entry of the ticket available again.
func (s *arena[T]) release(ticket Ticket) {
	entry := s.find(ticket)
	if entry == nil {
		return
	}
	entry.used = false
	s.inUse--
	s.free = append(s.free, uint32(ticket))
}

func (s *arena[T]) find(ticket Ticket) *arenaEntry[T] {
	index := uint32(ticket)
	if uint64(ticket)&requestTag != s.tag || int(index) >= len(s.entries) {
		return nil
	}
	entry := s.entries[index]
	generation := uint32(uint64(ticket) &^ requestTag >> 32)
	if !entry.used || entry.generation != generation {
		return nil
	}
	return entry
}
