// Package rendezvous implements rendezvous hashing (highest random weight). Every
// VM that knows the same names computes the same ranking for a key without
// exchanging messages, and adding or removing a name moves only the keys of that name.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash is the hash of a key or a name. Keeping the hashes of names that do not change saves most
// of the time of a ranking.
type Hash uint64

// HashOf returns the hash of a key or a name.
func HashOf(text string) Hash { return Hash(xxhash.Sum64String(text)) }

// Weight returns the hash weight of name for key.
func Weight(key, name string) uint64 { return WeightOf(HashOf(key), HashOf(name)) }

// WeightOf returns the hash weight of a name for a key by their hashes.
func WeightOf(key, name Hash) uint64 {
	// Combining two separate hashes avoids allocating the concatenated string.
	return mix(uint64(key) ^ mix(uint64(name)))
}

// Rank returns the names in descending order of weight for key. Names must be distinct.
func Rank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(Weight(key, b), Weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Top returns the first n names of the ranking for key, or all if there are fewer.
func Top(key string, names []string, n int) []string {
	ranked := Rank(key, names)
	return ranked[:min(n, len(ranked))]
}

// mix is the finalizer of SplitMix64; it spreads every input bit over the output.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
