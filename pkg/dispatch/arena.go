package dispatch

// requestTag is the bit that distinguishes tickets of requests from those of attempts.
const requestTag = 1 << 63

// arena holds reusable entries that are addressed by ticket. A ticket carries a generation
// number, so that a late event for a released ticket finds no entry.
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

// allocate returns a ticket and its entry. The entry keeps its old contents, so that the caller
// can reuse their memory.
func (a *arena[T]) allocate() (Ticket, *T) {
	if len(a.free) == 0 {
		a.free = append(a.free, uint32(len(a.entries)))
		a.entries = append(a.entries, &arenaEntry[T]{})
	}
	index := a.free[len(a.free)-1]
	a.free = a.free[:len(a.free)-1]
	entry := a.entries[index]
	entry.generation = (entry.generation + 1) & (1<<31 - 1)
	entry.used = true
	a.inUse++
	return Ticket(a.tag | uint64(entry.generation)<<32 | uint64(index)), &entry.value
}

// get returns the entry of a ticket in use, or nil.
func (a *arena[T]) get(ticket Ticket) *T {
	entry := a.find(ticket)
	if entry == nil {
		return nil
	}
	return &entry.value
}

// release frees the entry of the ticket for reuse.
func (a *arena[T]) release(ticket Ticket) {
	entry := a.find(ticket)
	if entry == nil {
		return
	}
	entry.used = false
	a.inUse--
	a.free = append(a.free, uint32(ticket))
}

func (a *arena[T]) find(ticket Ticket) *arenaEntry[T] {
	index := uint32(ticket)
	if uint64(ticket)&requestTag != a.tag || int(index) >= len(a.entries) {
		return nil
	}
	entry := a.entries[index]
	generation := uint32(uint64(ticket) &^ requestTag >> 32)
	if !entry.used || entry.generation != generation {
		return nil
	}
	return entry
}
