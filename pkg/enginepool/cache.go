package enginepool

import "github.com/hornbeamhoist/hornbeamhoist/pkg/list"

// privatePart is the ID of entries for tokens that no other request shares.
const privatePart = 0

// maxPrivateTokens is the number of tokens from which on private tokens begin another entry. It
// bounds the number of entries of a cache.
const maxPrivateTokens = 8192

// cache models the prompt cache of one engine. The zero value is empty.
type cache struct {
	tokens  int64
	entries map[uint64]*cacheEntry
	// order holds the entries from the latest used to the one that was not used for longest.
	order list.List[cacheEntry]
}

// cacheEntry is a part in the cache of one engine.
type cacheEntry struct {
	part   uint64
	tokens int
	node   list.Node[cacheEntry]
}

func (c *cache) add(entry *cacheEntry) {
	if c.entries == nil {
		c.entries = map[uint64]*cacheEntry{}
	}
	if entry.part != privatePart {
		c.entries[entry.part] = entry
	}
	c.tokens += int64(entry.tokens)
	c.markUsed(entry)
}

func (c *cache) remove(entry *cacheEntry) {
	if entry.part != privatePart {
		delete(c.entries, entry.part)
	}
	c.tokens -= int64(entry.tokens)
	entry.node.Remove()
}

func (c *cache) markUsed(entry *cacheEntry) { c.order.PushFront(entry, &entry.node) }
