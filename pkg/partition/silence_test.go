package partition

import (
	"testing"
	"time"
)

// TestSilentCutAfterLongRequests guards against a partition that is detected later than 3 s after the cut, since
// long requests were silent before it. New connections open and hang, so that no failure is reported meanwhile.
func TestSilentCutAfterLongRequests(t *testing.T) {
	worst, late := time.Duration(0), 0
	const trials = 100
	for trial := range trials {
		d, now := newTestDetector(12)
		cutAt := now.Add(20*time.Second + time.Duration(trial)*testTick)
		received := uint64(0)
		for i := 0; d.State() != Partitioned && now.Sub(cutAt) < 10*time.Second; i++ {
			now = now.Add(testTick)
			isCut := now >= cutAt
			if i%12 == 0 && !isCut { // A response each 600 ms; two requests are always awaited.
				received++
			}
			probes := d.Tick(now, Traffic{Received: received, Waiting: 2})
			if isCut && len(probes) > 0 {
				now = now.Add(ProbeTimeout)
			}
			endProbes(d, now, probes, !isCut)
		}
		took := now.Sub(cutAt)
		worst = max(worst, took)
		if took > 3*time.Second {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d partitions are detected later than 3 s after the cut, the last one after %v", late, trials, worst)
	}
}
