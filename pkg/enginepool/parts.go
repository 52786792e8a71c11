package enginepool

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// maxEntries bounds the parts in the model of one cache. It holds for engines without a stated memory,
// and for many short parts.
const maxEntries = 4096

// maxParts bounds the shared parts of a prompt that are considered.
const maxParts = 4

// Part is a part of a prompt that several requests may have in common.
type Part struct {
	// ID is a hash of the part.
	ID     uint64
	Tokens int
}

// parts knows which engines have cached which parts of prompts. Engines evict the parts that were
// not used for longest when their memory is full; so does this model of them.
type parts struct {
	byID map[uint64]*cachedPart
	free []*cacheEntry
}

// cachedPart is a part that some engine has cached.
type cachedPart struct {
	tokens int
	// holders has a bit for each engine that has the part.
	holders uint64
	// readAt is when the first of these engines will have read it.
	readAt clock.Instant
}

func newParts() parts { return parts{byID: map[uint64]*cachedPart{}} }

// partHolders tells which engines hold how much of the beginning of a prompt.
type partHolders struct {
	// masks holds for each leading part the engines that have it and all parts before it, and tokens
	// the size of the prompt up to the end of the part.
	masks  [maxParts]uint64
	tokens [maxParts]int
	count  int
	// longest is the size of the longest beginning that some engine has read.
	longest int
}

// holders returns which engines hold the leading parts of a prompt.
func (p *parts) holders(now clock.Instant, prompt []Part) partHolders {
	var h partHolders
	mask, tokens := ^uint64(0), 0
	for _, part := range prompt[:min(len(prompt), maxParts)] {
		known := p.byID[part.ID]
		if known == nil {
			break
		}
		mask &= known.holders
		if mask == 0 {
			break
		}
		tokens += part.Tokens
		h.masks[h.count], h.tokens[h.count] = mask, tokens
		h.count++
		if known.readAt <= now {
			h.longest = tokens
		}
	}
	return h
}

// cachedAt returns the number of leading tokens that an engine holds.
func (h *partHolders) cachedAt(e *engine) int {
	if e.index < 0 {
		return 0
	}
	for i := h.count - 1; i >= 0; i-- {
		if h.masks[i]&(1<<e.index) != 0 {
			return h.tokens[i]
		}
	}
	return 0
}

// add records that an engine uses a part, which it has read by readAt. It reports whether the part
// is new there.
func (p *parts) add(e *engine, part Part, readAt clock.Instant) bool {
	if e.index < 0 {
		return false
	}
	if entry := e.cache.entries[part.ID]; entry != nil {
		e.cache.markUsed(entry)
		return false
	}
	known := p.byID[part.ID]
	if known == nil {
		known = &cachedPart{tokens: part.Tokens}
		p.byID[part.ID] = known
	}
	if known.holders == 0 || readAt < known.readAt {
		known.readAt = readAt
	}
	known.holders |= 1 << e.index
	entry := p.newEntry()
	entry.part, entry.tokens = part.ID, part.Tokens
	e.cache.add(entry)
	return true
}

// addPrivate records that an engine caches tokens that belong to one request alone. They take
// memory from the parts that can be used again.
func (p *parts) addPrivate(e *engine, tokens int) {
	if e.index < 0 || tokens == 0 {
		return
	}
	if front := e.cache.order.Front(); front != nil && front.part == privatePart && front.tokens < maxPrivateTokens {
		front.tokens += tokens
		e.cache.tokens += int64(tokens)
		return
	}
	entry := p.newEntry()
	entry.part, entry.tokens = privatePart, tokens
	e.cache.add(entry)
}

// evict drops the parts that were not used for longest until the cache fits into the memory.
func (p *parts) evict(e *engine, capacity int64) {
	for oldest := e.cache.order.Back(); oldest != nil; oldest = e.cache.order.Back() {
		if (capacity <= 0 || e.cache.tokens <= capacity) && e.cache.order.Len() <= maxEntries {
			return
		}
		p.drop(e, oldest)
	}
}

// evictPart drops one part of an engine.
func (p *parts) evictPart(e *engine, id uint64) {
	if entry := e.cache.entries[id]; entry != nil {
		p.drop(e, entry)
	}
}

// evictAll drops all parts of an engine.
func (p *parts) evictAll(e *engine) {
	for oldest := e.cache.order.Back(); oldest != nil; oldest = e.cache.order.Back() {
		p.drop(e, oldest)
	}
}

func (p *parts) drop(e *engine, entry *cacheEntry) {
	e.cache.remove(entry)
	if known := p.byID[entry.part]; known != nil && entry.part != privatePart {
		known.holders &^= 1 << e.index
		if known.holders == 0 {
			delete(p.byID, entry.part)
		}
	}
	p.free = append(p.free, entry)
}

func (p *parts) newEntry() *cacheEntry {
	if n := len(p.free); n > 0 {
		entry := p.free[n-1]
		p.free = p.free[:n-1]
		*entry = cacheEntry{}
		return entry
	}
	return &cacheEntry{}
}
