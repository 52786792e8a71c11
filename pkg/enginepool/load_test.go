package enginepool

import (
	"fmt"
	"testing"
	"time"
)

// maxShardSize is the size of a shard; see stagepool.Partition.
const maxShardSize = 24

// compare replays a load with the owners of shards and with VMs that decide alone.
func compare(t *testing.T, name string, l simLoad) (owner, alone simResult) {
	t.Helper()
	engines := l.newEngines()
	owner = l.replay(7, engines, newOwnerChooser(&l, engines, maxShardSize))
	engines = l.newEngines()
	alone = l.replay(7, engines, newVMChooser(&l, engines))
	t.Logf("%s at %d VMs and %d engines: p50 %v and %v alone, p97 %v and %v, read again %d and %d tokens, busiest %.1f and %.1f of the mean",
		name, l.vms, l.engines, owner.quantile(0.5).Round(time.Millisecond), alone.quantile(0.5).Round(time.Millisecond),
		owner.quantile(0.97).Round(time.Millisecond), alone.quantile(0.97).Round(time.Millisecond), owner.readAgain, alone.readAgain, owner.busiest, alone.busiest)
	return owner, alone
}

// fleetSizes are the numbers of VMs and engines that loads are replayed at.
var fleetSizes = []struct{ vms, engines, seconds int }{{7, 9, 30}, {80, 60, 20}, {330, 600, 4}}

// TestQuarterOfEnginesSlow replays a load on engines of which a quarter takes 2.2 times as long. It
// guards against long prompts that wait at slow engines while fast ones are idle.
func TestQuarterOfEnginesSlow(t *testing.T) {
	for _, size := range fleetSizes {
		owner, alone := compare(t, "a quarter slow", simLoad{
			vms: size.vms, engines: size.engines, slowShare: 0.25, slowPace: 2.2, perSecond: 2.8, subjects: 6 * size.engines, subjectTokens: 4800, seconds: size.seconds,
		})
		if got, want := owner.quantile(0.97), alone.quantile(0.97); size.vms > 8 && got > want*7/10 {
			t.Errorf("%d VMs: the 97th percentile of the first event is %v, and %v if VMs decide alone", size.vms, got, want)
		}
	}
}

// TestOneHotPart replays a load in which a third of all requests has the same part of a prompt. It
// guards against a part that stays at one or two engines, which its requests exceed, and against
// engines that read it again instead of copying it.
func TestOneHotPart(t *testing.T) {
	for _, size := range fleetSizes {
		l := simLoad{
			vms: size.vms, engines: size.engines, perSecond: 3, subjects: 6 * size.engines, subjectTokens: 4800, hotShare: 0.33 * min(1, float64(maxShardSize)/float64(size.engines)), seconds: size.seconds,
		}
		owner, alone := compare(t, "one hot part", l)
		if got, want := owner.quantile(0.97), alone.quantile(0.97); size.vms > 8 && got > want {
			t.Errorf("%d VMs: the 97th percentile of the first event is %v, and %v if VMs decide alone", size.vms, got, want)
		}
		if got, limit := owner.readAgain, len(owner.firstEvents)*l.subjectTokens/20; got > limit {
			t.Errorf("%d VMs: %d tokens were read again, expected at most %d", size.vms, got, limit)
		}
	}
}

// TestBurstOfLongPrompts replays a load near what the engines can bear. It guards against requests
// that queue behind each other at some engines while others are idle.
func TestBurstOfLongPrompts(t *testing.T) {
	for _, size := range fleetSizes {
		owner, alone := compare(t, "burst", simLoad{
			vms: size.vms, engines: size.engines, perSecond: 9, subjects: 6 * size.engines, subjectTokens: 4800, seconds: size.seconds,
		})
		if got, want := owner.quantile(0.97), alone.quantile(0.97); size.vms > 8 && got > want*8/10 {
			t.Errorf("%d VMs: the 97th percentile of the first event is %v, and %v if VMs decide alone", size.vms, got, want)
		}
	}
}

// BenchmarkPlace measures one decision, by the number of engines of a shard.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{9, 24, 40} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			l := simLoad{vms: 80, engines: engines, perSecond: 3, subjects: 200, subjectTokens: 4800, seconds: 10}
			c := newOwnerChooser(&l, l.newEngines(), engines)
			requests := l.requests(3)
			now := requests[0].at
			place := make([]*Request, len(requests))
			for i, r := range requests {
				place[i] = c.request(r)
			}
			pool := c.pools[0]
			outcome := Outcome{FirstEvent: 100 * time.Millisecond, EventGap: 30 * time.Millisecond, Events: 20}
			step := func(i int) {
				r := place[i%len(place)]
				placed, _ := pool.Place(now, r)
				now = now.Add(5 * time.Millisecond)
				outcome.Engine = placed.Engine
				pool.End(now, r.ID, outcome)
			}
			for i := range place {
				step(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				step(i)
			}
		})
	}
}
