package membership

import (
	"fmt"
	"testing"
	"time"
)

// newZonedCluster returns machines with the timing of the edge process, in zones of equal size.
func newZonedCluster(zones, perZone int) (c *cluster, zoneOf map[string]string) {
	c, zoneOf = &cluster{machines: map[string]*Machine{}, stopped: map[string]bool{}}, map[string]string{}
	var list []Member
	for i := range zones * perZone {
		name, zone := fmt.Sprintf("vm-%03d", i), fmt.Sprint("z", i%zones)
		list, zoneOf[name] = append(list, Member{Name: name, Zone: zone, Address: "a"}), zone
	}
	for i, entry := range list {
		m := New(c.now, Options{
			Self: entry.Name, Incarnation: NewIncarnation(1000), Seed: uint64(i), ProbeInterval: 400 * time.Millisecond,
			DirectTimeout: 120 * time.Millisecond, ProbeTimeout: 350 * time.Millisecond, SuspicionTimeout: 800 * time.Millisecond,
			PauseThreshold: 1200 * time.Millisecond,
		})
		m.SetMembers(c.now, list)
		c.names, c.machines[entry.Name] = append(c.names, entry.Name), m
	}
	return c, zoneOf
}

// TestZoneThatIsCutOffIsSuspect cuts off a zone of fleets of several sizes. It guards against VMs
// that find out one by one, at the cost of the requests which they send there; and against a zone
// that stays suspect after it is back, or is suspect because some of its VMs were killed.
func TestZoneThatIsCutOffIsSuspect(t *testing.T) {
	const (
		zones            = 5
		maxDetectionTime = 1500 * time.Millisecond
		maxReturnTime    = 3 * time.Second
		minShare         = 0.95
	)
	for _, perZone := range []int{6, 20, 66} {
		t.Run(fmt.Sprint(zones*perZone, " VMs"), func(t *testing.T) {
			c, zoneOf := newZonedCluster(zones, perZone)
			// count returns how many pairs of a VM and a zone are as expected.
			count := func(expected func(vm, zone string) bool) float64 {
				right, all := 0, 0
				for _, name := range c.names {
					if c.stopped[name] {
						continue
					}
					suspect := c.machines[name].SuspectZones(c.now, zoneOf[name])
					for zone := range zones {
						all++
						if suspect[fmt.Sprint("z", zone)] == expected(name, fmt.Sprint("z", zone)) {
							right++
						}
					}
				}
				return float64(right) / float64(all)
			}
			none := func(string, string) bool { return false }
			isCutOff := func(vm, zone string) bool { return zone != zoneOf[vm] && (zone == "z1" || zoneOf[vm] == "z1") }
			c.run(5 * time.Second)
			if share := count(none); share < 1 {
				t.Fatalf("%.3f of the zones are not suspect at the start", share)
			}
			c.stopped["vm-000"], c.stopped["vm-005"] = true, true
			c.run(3 * time.Second)
			if share := count(none); share < 1 {
				t.Errorf("%.3f of the zones are not suspect after two VMs of one were killed", share)
			}
			c.blocked = func(from, to string) bool { return (zoneOf[from] == "z1") != (zoneOf[to] == "z1") }
			c.run(maxDetectionTime)
			if share := count(isCutOff); share < minShare {
				t.Errorf("%.3f of the zones are suspect or not as they should be %v after the cut", share, maxDetectionTime)
			}
			c.blocked = nil
			c.run(maxReturnTime)
			if share := count(none); share < minShare {
				t.Errorf("%.3f of the zones are not suspect %v after the cut has healed", share, maxReturnTime)
			}
		})
	}
}
