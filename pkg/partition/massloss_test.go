package partition

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestManyDeadUpstreams guards against VMs that take the loss of a part of the upstreams for a partition of
// their own, although a connection succeeded some milliseconds before.
func TestManyDeadUpstreams(t *testing.T) {
	for _, share := range []float64{0.3, 0.5, 0.7} {
		const vms, n = 200, 60
		partitioned := 0
		var dur time.Duration
		for vm := range vms {
			rng := rand.New(rand.NewPCG(uint64(vm), 7))
			now := clock.Instant(time.Hour)
			d := New(now, uint64(vm))
			ups := testUpstreams(n, 3, 3)
			d.SetUpstreams(now, ups)
			down := map[string]bool{}
			shared := rand.New(rand.NewPCG(1, 1))
			for _, i := range shared.Perm(n)[:int(share*n)] {
				down[ups[i].Address] = true
			}
			was := false
			for range 1000 { // 10 s, a new connection each 10 ms; refused at once or answered at once.
				now = now.Add(10 * time.Millisecond)
				a := ups[rng.IntN(n)].Address
				if down[a] {
					d.RecordFailed(now, a)
				} else {
					d.RecordConnected(now, a)
				}
				for _, p := range d.Tick(now, Traffic{Received: uint64(now), Waiting: 9}) {
					d.RecordProbe(now.Add(time.Millisecond), p.ID, !down[p.Address])
				}
				if d.State() == Partitioned {
					was = true
					dur += 10 * time.Millisecond
				}
			}
			if was {
				partitioned++
			}
		}
		t.Logf("share dead %.0f%%: %d of %d VMs partitioned, %v on average", 100*share, partitioned, vms, dur/time.Duration(vms))
		if partitioned > 0 {
			t.Fail()
		}
	}
}
