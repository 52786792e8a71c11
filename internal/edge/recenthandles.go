package edge

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// maxRecentHandles bounds the handles that are remembered. A second copy of a response can only come on
// a connection that is in use again, which is closed after stageConnMaxIdle. At 2,000 results per
// second the bound covers 8 s.
const maxRecentHandles = 16 << 10

// recentHandles remembers the handles of the latest results of all pools, since pools and their shards
// share connections. The zero value is empty.
type recentHandles struct {
	mu sync.Mutex
	// known and order hold hashes of the handles.
	known map[uint64]bool
	order []uint64
	next  int
}

// addNew adds the handles of a batch, unless one of them is known or occurs twice, which it
// returns.
func (h *recentHandles) addNew(results []stagepool.PieceResult) (duplicate string, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	inBatch := make(map[uint64]bool, len(results))
	for _, result := range results {
		if result.Handle == "" {
			continue
		}
		hash := xxhash.Sum64String(result.Handle)
		if h.known[hash] || inBatch[hash] {
			return result.Handle, true
		}
		inBatch[hash] = true
	}
	for hash := range inBatch {
		h.add(hash)
	}
	return "", false
}

func (h *recentHandles) add(hash uint64) {
	if h.known == nil {
		h.known = map[uint64]bool{}
	}
	if len(h.order) < maxRecentHandles {
		h.order = append(h.order, hash)
	} else {
		delete(h.known, h.order[h.next])
		h.order[h.next] = hash
		h.next = (h.next + 1) % maxRecentHandles
	}
	h.known[hash] = true
}
