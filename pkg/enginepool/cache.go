package enginepool

// privatePart is the ID of entries for tokens that no other request shares.
const privatePart = 0

// maxPrivateTokens is the number of tokens from which on private tokens begin another entry. It
// bounds the number of entries of a cache.
const maxPrivateTokens = 8192

// cache models the prompt cache of one engine: a list of parts from the latest used to the one that
// was not used for longest. The zero value is empty.
type cache struct {
	tokens int64
	// size is the number of entries in the list.
	size    int
	entries map[uint64]*cacheEntry
	front   *cacheEntry
	back    *cacheEntry
}

// cacheEntry is a part in the cache of one engine.
type cacheEntry struct {
	part   uint64
	tokens int
	newer  *cacheEntry
	older  *cacheEntry
}

func (c *cache) add(entry *cacheEntry) {
	if c.entries == nil {
		c.entries = map[uint64]*cacheEntry{}
	}
	if entry.part != privatePart {
		c.entries[entry.part] = entry
	}
	c.tokens += int64(entry.tokens)
	c.size++
	c.pushFront(entry)
}

func (c *cache) remove(entry *cacheEntry) {
	if entry.part != privatePart {
		delete(c.entries, entry.part)
	}
	c.tokens -= int64(entry.tokens)
	c.size--
	c.unlink(entry)
}

func (c *cache) moveToFront(entry *cacheEntry) {
	if c.front != entry {
		c.unlink(entry)
		c.pushFront(entry)
	}
}

func (c *cache) pushFront(entry *cacheEntry) {
	entry.newer, entry.older = nil, c.front
	if c.front != nil {
		c.front.newer = entry
	}
	c.front = entry
	if c.back == nil {
		c.back = entry
	}
}

func (c *cache) unlink(entry *cacheEntry) {
	if entry.newer != nil {
		entry.newer.older = entry.older
	} else {
		c.front = entry.older
	}
	if entry.older != nil {
		entry.older.newer = entry.newer
	} else {
		c.back = entry.newer
	}
	entry.newer, entry.older = nil, nil
}
