package stagepool

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

func zonedUpstreams(zones, perZone int) []Upstream {
	var out []Upstream
	for i := range zones * perZone {
		out = append(out, Upstream{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("zone-", i%zones)})
	}
	return out
}

// noShards says that no shard exists yet.
func noShards(string) bool { return false }

// TestPartition guards against owners whose work grows with the fleet, against shards that span
// zones although these have enough upstreams, and against dividing a pool so small that
// upstreams of one zone are idle while pieces of another one wait.
func TestPartition(t *testing.T) {
	for _, test := range []struct {
		zones, perZone     int
		minShards, perPool int
	}{
		{3, 2, 1, 1}, {5, 3, 1, 1}, {1, 20, 1, 1}, {3, 6, 3, 3}, {5, 9, 5, 5}, {5, 100, 40, 40}, {6, 500, 192, 192},
	} {
		upstreams := zonedUpstreams(test.zones, test.perZone)
		sizes, zoneOf := map[string]int{}, map[string]string{}
		for i, shard := range Partition("p", upstreams, noShards) {
			sizes[shard.Name]++
			if shard.Zone != "" && shard.Zone != upstreams[i].Zone {
				t.Errorf("an upstream of %s is in a shard of %s", upstreams[i].Zone, shard.Zone)
			}
			if zone, ok := zoneOf[shard.Name]; ok && zone != shard.Zone {
				t.Errorf("%s is in %s and %s", shard.Name, zone, shard.Zone)
			}
			zoneOf[shard.Name] = shard.Zone
		}
		if len(sizes) < test.minShards || len(sizes) > test.perPool {
			t.Errorf("%d zones of %d: %d shards, expected %d", test.zones, test.perZone, len(sizes), test.minShards)
		}
		for name, n := range sizes {
			if len(sizes) > 1 && n > 2*maxShardUpstreams {
				t.Errorf("%d zones of %d: %s has %d upstreams", test.zones, test.perZone, name, n)
			}
		}
	}
}

// TestPartitionIsTheSameOnAllVMs guards against shards that depend on the order in which a VM
// learned of the upstreams: two VMs would own an upstream.
func TestPartitionIsTheSameOnAllVMs(t *testing.T) {
	upstreams := zonedUpstreams(5, 60)
	want := map[string]string{}
	for i, shard := range Partition("p", upstreams, noShards) {
		want[upstreams[i].ID] = shard.Name
	}
	slices.Reverse(upstreams)
	for i, shard := range Partition("p", upstreams, noShards) {
		if shard.Name != want[upstreams[i].ID] {
			t.Fatalf("%s is in %s and %s", upstreams[i].ID, want[upstreams[i].ID], shard.Name)
		}
	}
}

// TestPartitionIsKept guards against a pool that is divided anew each time its number of upstreams
// passes a limit, such as when one of them crashes: all of its work moves to other owners.
func TestPartitionIsKept(t *testing.T) {
	for _, test := range []struct {
		before, after int
		kept          bool
	}{{15, 14, true}, {15, 9, true}, {15, 8, false}, {14, 13, true}, {3 * 25, 3 * 20, true}, {3 * 25, 3 * 15, false}} {
		shardsBefore := map[string]bool{}
		for _, shard := range Partition("p", zonedUpstreams(3, 30)[:test.before], noShards) {
			shardsBefore[shard.Name] = true
		}
		shardsAfter := map[string]bool{}
		for _, shard := range Partition("p", zonedUpstreams(3, 30)[:test.after], func(name string) bool { return shardsBefore[name] }) {
			shardsAfter[shard.Name] = true
		}
		if kept := maps.Equal(shardsBefore, shardsAfter); kept != test.kept {
			t.Errorf("%d upstreams, then %d: shards kept is %v, expected %v", test.before, test.after, kept, test.kept)
		}
	}
}
