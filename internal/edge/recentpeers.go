package edge

import (
	"slices"
	"sync"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// maxRecentPeers bounds the peers that are kept.
const maxRecentPeers = 3

// recentPeers holds the peers that have answered the latest pulls, the last one first: they are reachable now, and have
// what they referred to or are about to get it. It is safe for concurrent use.
type recentPeers struct {
	mu      sync.Mutex
	entries []fleet.Entry
}

func (r *recentPeers) add(entry fleet.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = mergeByName([]fleet.Entry{entry}, r.entries)
	r.entries = r.entries[:min(len(r.entries), maxRecentPeers)]
}

func (r *recentPeers) list() []fleet.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// mergeByName returns the entries of the lists, each VM once.
func mergeByName(lists ...[]fleet.Entry) []fleet.Entry {
	var out []fleet.Entry
	for _, entry := range slices.Concat(lists...) {
		if !slices.ContainsFunc(out, func(e fleet.Entry) bool { return e.Name == entry.Name }) {
			out = append(out, entry)
		}
	}
	return out
}
