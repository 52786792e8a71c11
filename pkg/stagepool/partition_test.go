package stagepool

import (
	"fmt"
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
		for i, shard := range Partition("p", upstreams) {
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
	for i, shard := range Partition("p", upstreams) {
		want[upstreams[i].ID] = shard.Name
	}
	slices.Reverse(upstreams)
	for i, shard := range Partition("p", upstreams) {
		if shard.Name != want[upstreams[i].ID] {
			t.Fatalf("%s is in %s and %s", upstreams[i].ID, want[upstreams[i].ID], shard.Name)
		}
	}
}
