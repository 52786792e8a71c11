package edge

import (
	"sync"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// maxRecentHandles bounds the handles that are remembered. A second copy of a response can only
// come on a connection that is in use again, which is closed after some idle seconds.
const maxRecentHandles = 4096

// recentHandles remembers the handles of the latest results of a pool. The zero value is empty.
type recentHandles struct {
	mu    sync.Mutex
	known map[string]bool
	order [maxRecentHandles]string
	next  int
}

// addNew adds the handles of a batch, unless one of them is known or occurs twice, which it
// returns.
func (h *recentHandles) addNew(results []stagepool.PieceResult) (duplicate string, found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	inBatch := make(map[string]bool, len(results))
	for _, result := range results {
		if result.Handle == "" {
			continue
		}
		if h.known[result.Handle] || inBatch[result.Handle] {
			return result.Handle, true
		}
		inBatch[result.Handle] = true
	}
	for handle := range inBatch {
		h.add(handle)
	}
	return "", false
}

func (h *recentHandles) add(handle string) {
	if h.known == nil {
		h.known = make(map[string]bool, maxRecentHandles)
	}
	delete(h.known, h.order[h.next])
	h.known[handle], h.order[h.next] = true, handle
	h.next = (h.next + 1) % maxRecentHandles
}
