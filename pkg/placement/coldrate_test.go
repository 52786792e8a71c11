package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// coldVMs returns an upstream in a cold start as each of the VMs sees it.
func coldVMs(total float64, vms int, fleetOf func(vm int) ColdFleet) []*Upstream {
	out := make([]*Upstream, vms)
	for i := range out {
		fleet := fleetOf(i)
		fleet.Hash = rendezvous.Hash(rendezvous.Weight("u", fmt.Sprint("vm-", i)))
		out[i] = &Upstream{ID: "u", ColdUntil: clock.Instant(time.Hour), ColdRate: DivideColdRate(total, fleet)}
	}
	return out
}

// busiestSecond sends as many requests as all VMs allow, and returns the most requests in any second
// and the number of VMs that sent any.
func busiestSecond(upstreams []*Upstream, duration time.Duration) (most, senders int) {
	const step = 10 * time.Millisecond
	var starts []clock.Instant
	sent := map[int]bool{}
	for now := clock.Instant(0); now < clock.Instant(duration); now = now.Add(step) {
		for i, u := range upstreams {
			for chosen := pick(now, &Request{}, []*Upstream{u}); chosen != nil; chosen = pick(now, &Request{}, []*Upstream{u}) {
				chosen.RecordStart(now)
				starts = append(starts, now)
				sent[i] = true
			}
		}
	}
	first := 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(sent)
}

// TestColdRateOfAllVMs guards against more requests at a cold upstream than all VMs together may
// send, in fleets in which everyone knows everyone and in ones of which parts are missing.
func TestColdRateOfAllVMs(t *testing.T) {
	const total = 14.7
	for _, vms := range []int{1, 2, 7, 14, 15, 80, 330} {
		upstreams := coldVMs(total, vms, func(vm int) ColdFleet { return ColdFleet{Size: vms, Known: vms, Rank: vm} })
		if most, _ := busiestSecond(upstreams, 5*time.Second); most > 14 || most < min(vms, 7) {
			t.Errorf("%d VMs: %d requests in one second", vms, most)
		}
		// Each half of a partitioned fleet still divides by the whole.
		halves := coldVMs(total, vms, func(vm int) ColdFleet { return ColdFleet{Size: vms, Known: (vms + 1) / 2, Rank: vm / 2} })
		if most, _ := busiestSecond(halves, 5*time.Second); most > 15 {
			t.Errorf("%d VMs in two halves: %d requests in one second", vms, most)
		}
	}
}

// TestColdRateOfVMsThatKnowNobody guards against VMs with dead seeds that exceed the rate together,
// and against refusing all of their callers during a cold start.
func TestColdRateOfVMsThatKnowNobody(t *testing.T) {
	const total, bound = 14.7, 24.5
	for _, vms := range []int{3, 7, 40, 95} {
		upstreams := coldVMs(total, vms, func(int) ColdFleet { return ColdFleet{Size: 100, Known: 1} })
		most, senders := busiestSecond(upstreams, time.Minute)
		if float64(most) > bound {
			t.Errorf("%d VMs: %d requests in one second, allowed %v", vms, most, bound)
		}
		if senders != vms {
			t.Errorf("%d of %d VMs sent a request within a minute", senders, vms)
		}
	}
}

// TestColdRateBelowOnePerSecond guards against a small limit that is rounded down to none.
func TestColdRateBelowOnePerSecond(t *testing.T) {
	u := &Upstream{ID: "u", ColdUntil: clock.Instant(time.Hour), ColdRate: DivideColdRate(0.5, ColdFleet{Size: 1, Known: 1})}
	if most, senders := busiestSecond([]*Upstream{u}, 10*time.Second); most != 1 || senders != 1 {
		t.Errorf("%d requests in one second by %d VMs, want one", most, senders)
	}
	for _, total := range []float64{0, -1, 1e-300} {
		u.ColdRate = DivideColdRate(total, ColdFleet{})
		if most, _ := busiestSecond([]*Upstream{u}, 0); most != 0 {
			t.Errorf("total %v: %d requests", total, most)
		}
	}
}
