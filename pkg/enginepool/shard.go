package enginepool

import (
	"math"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// Shard is a part of a pool of engines that one VM owns.
type Shard struct {
	// Name is the hash of the shard's name.
	Name rendezvous.Hash
	// Engines is the number of engines in service.
	Engines int
}

// RankShards returns the indexes of the two first shards of a prompt, in order. An index is -1 if there
// is no such shard. All VMs with the same shards rank them alike, so the
// requests with the same part of a prompt meet where it is cached. Shards get requests in proportion
// to their engines: this is weighted rendezvous hashing.
func RankShards(key rendezvous.Hash, shards []Shard) (first, second int) {
	first, second = -1, -1
	firstScore, secondScore := 0.0, 0.0
	for i, shard := range shards {
		if shard.Engines <= 0 {
			continue
		}
		// The top 53 bits of the hash make a uniform number in (0, 1).
		point := (float64(rendezvous.WeightOf(key, shard.Name)>>11) + 0.5) / (1 << 53)
		score := float64(shard.Engines) / -math.Log(point)
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	return first, second
}
