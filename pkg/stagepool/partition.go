package stagepool

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// minZoneUpstreams is the mean number of upstreams a zone from which a pool is divided by
	// zones. With fewer, the upstreams of one zone would often be idle while pieces of another
	// one wait.
	minZoneUpstreams = 5
	// maxShardUpstreams is the number of upstreams of a zone up to which they form one shard. It
	// bounds the work of an owner, which handles each piece of its shard.
	maxShardUpstreams = 24
)

// Shard is a part of a pool. One VM owns it.
type Shard struct {
	// Name is unique among the shards of all pools.
	Name string
	// Zone is the zone of the upstreams; empty if the shard is the whole pool.
	Zone string
}

// Partition divides a pool into shards and returns the shard of each upstream, in their order. All
// VMs with the same upstreams compute the same shards.
//
// A small pool is one shard: one queue fills batches best and knows the free memory of all
// upstreams. A larger one is divided by zones, so that a zone that is cut off keeps its owners,
// and the results of a stage stay in the zone of the next one. A zone with many upstreams is
// divided further into shards by the hash of their IDs.
func Partition(pool string, upstreams []Upstream) []Shard {
	perZone := map[string]int{}
	for _, u := range upstreams {
		perZone[u.Zone]++
	}
	shards := make([]Shard, len(upstreams))
	if len(upstreams) < minZoneUpstreams*len(perZone) || len(perZone) == 1 && len(upstreams) <= maxShardUpstreams {
		for i := range shards {
			shards[i] = Shard{Name: pool}
		}
		return shards
	}
	for i, u := range upstreams {
		n := shardsOfZone(perZone[u.Zone])
		name := pool + "/" + u.Zone
		if n > 1 {
			name = fmt.Sprintf("%s/%d.%d", name, n, xxhash.Sum64String(u.ID)%uint64(n))
		}
		shards[i] = Shard{Name: name, Zone: u.Zone}
	}
	return shards
}

// shardsOfZone returns the number of shards for the upstreams of a zone: a power of two, so that a
// few upstreams more or less seldom change it.
func shardsOfZone(upstreams int) int {
	n := 1
	for n*maxShardUpstreams < upstreams {
		n *= 2
	}
	return n
}
