package stagepool

import (
	"fmt"
	"maps"

	"github.com/cespare/xxhash/v2"
)

const (
	// minZoneUpstreams is the mean number of upstreams a zone from which a pool is divided by
	// zones. With fewer, the upstreams of one zone would often be idle while pieces of another
	// one wait.
	minZoneUpstreams = 5
	// keepZoneUpstreams is the mean number down to which a divided pool stays divided. Each change
	// moves all of its work to other owners, which know nothing of the results and calls so far.
	keepZoneUpstreams = 3
	// maxShardUpstreams is the number of upstreams of a zone up to which they form one shard. It
	// bounds the work of an owner, which handles each piece of its shard.
	maxShardUpstreams = 24
	// keepShardUpstreams is the number of upstreams a shard down to which a zone keeps its shards.
	keepShardUpstreams = 8
)

// Shard is a part of a pool. One VM owns it.
type Shard struct {
	// Name is unique among the shards of all pools.
	Name string
	// Zone is the zone of the upstreams; empty if the shard is the whole pool.
	Zone string
}

// Partition divides a pool into shards and returns the shard of each upstream, in their order.
// isShard reports whether a shard with that name exists already; it decides where the numbers of
// upstreams allow both. All VMs with the same upstreams and shards compute the same ones.
//
// A small pool is one shard: one queue fills batches best and knows the free memory of all
// upstreams. A larger one is divided by zones, so that a zone that is cut off keeps its owners,
// and the results of a stage stay in the zone of the next one. A zone with many upstreams is
// divided further into shards by the hash of their IDs.
func Partition(pool string, upstreams []Upstream, isShard func(name string) bool) []Shard {
	d := divide(pool, upstreams, isShard)
	shards := make([]Shard, len(upstreams))
	if !d.byZone {
		for i := range shards {
			shards[i] = Shard{Name: pool}
		}
		return shards
	}
	names := make(map[string][]string, len(d.shardsOf))
	for zone, count := range d.shardsOf {
		for i := range count {
			names[zone] = append(names[zone], shardName(pool, zone, count, i))
		}
	}
	for i, u := range upstreams {
		ofZone := names[u.Zone]
		shards[i] = Shard{Name: ofZone[xxhash.Sum64String(u.ID)%uint64(len(ofZone))], Zone: u.Zone}
	}
	return shards
}

// IsPartitionOpen reports whether the shards of a pool depend on those that exist already.
func IsPartitionOpen(upstreams []Upstream) bool {
	all, none := divide("", upstreams, func(string) bool { return true }), divide("", upstreams, func(string) bool { return false })
	return all.byZone != none.byZone || (all.byZone && !maps.Equal(all.shardsOf, none.shardsOf))
}

// division is how a pool is divided.
type division struct {
	byZone bool
	// shardsOf is the number of shards of each zone.
	shardsOf map[string]int
}

// divide returns how the pool is divided.
func divide(pool string, upstreams []Upstream, isShard func(name string) bool) division {
	perZone := map[string]int{}
	for _, u := range upstreams {
		perZone[u.Zone]++
	}
	d := division{shardsOf: make(map[string]int, len(perZone))}
	wasByZone := false
	for zone, n := range perZone {
		d.shardsOf[zone] = shardsOfZone(n, func(count int) bool { return isShard(shardName(pool, zone, count, 0)) })
		wasByZone = wasByZone || isShard(shardName(pool, zone, d.shardsOf[zone], 0))
	}
	d.byZone = isDivided(len(upstreams), len(perZone), wasByZone)
	return d
}

// isDivided reports whether a pool is divided by zones.
func isDivided(upstreams, zones int, wasDivided bool) bool {
	switch {
	case wasDivided:
		return upstreams >= keepZoneUpstreams*zones
	case zones == 1:
		return upstreams > maxShardUpstreams
	}
	return upstreams >= minZoneUpstreams*zones
}

// shardName returns the name of one of the shards of a zone.
func shardName(pool, zone string, count, index int) string {
	if count == 1 {
		return pool + "/" + zone
	}
	return fmt.Sprintf("%s/%s/%d.%d", pool, zone, count, index)
}

// shardsOfZone returns the number of shards for the upstreams of a zone: a power of two, so that
// more upstreams divide each shard in two. has reports whether the zone has that number of shards
// now.
func shardsOfZone(upstreams int, has func(count int) bool) int {
	n := 1
	for n*maxShardUpstreams < upstreams {
		n *= 2
	}
	if double := 2 * n; upstreams >= double*keepShardUpstreams && has(double) {
		return double
	}
	return n
}
