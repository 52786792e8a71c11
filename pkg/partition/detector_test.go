package partition

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const testTick = 50 * time.Millisecond

func testUpstreams(n, pools, zones int) []Upstream {
	var out []Upstream
	for i := range n {
		out = append(out, Upstream{Address: fmt.Sprint("10.0.0.", i, ":80"), Pool: fmt.Sprint("pool-", i%pools), Zone: fmt.Sprint("zone-", i/pools%zones)})
	}
	return out
}

func newTestDetector(n int) (*Detector, clock.Instant) {
	now := clock.Instant(time.Hour)
	d := New(now, 1)
	d.SetUpstreams(now, testUpstreams(n, 2, 3))
	return d, now
}

// endProbes ends all probes.
func endProbes(d *Detector, now clock.Instant, probes []Probe, answered bool) {
	for _, probe := range probes {
		d.RecordProbe(now, probe.ID, answered)
	}
}

// failRounds ends all probes without an answer, and those of the next rounds until the detector has decided. It
// returns the time of the decision.
func failRounds(d *Detector, now clock.Instant, probes []Probe) clock.Instant {
	for {
		endProbes(d, now, probes, false)
		if d.State() != Suspect {
			return now
		}
		now = now.Add(testTick)
		probes = d.Tick(now, Traffic{})
	}
}

// TestSilenceIsEvidence guards against connections that hang without an error, so that nothing fails.
func TestSilenceIsEvidence(t *testing.T) {
	d, now := newTestDetector(12)
	quiet := Traffic{Received: 7, Waiting: 2}
	var probes []Probe
	for range 12 {
		if probes = d.Tick(now, quiet); len(probes) > 0 {
			break
		}
		now = now.Add(testTick)
	}
	if len(probes) != roundProbes {
		t.Fatalf("%d probes after a silence", len(probes))
	}
	endProbes(d, now, probes, false)
	if d.State() != Suspect {
		t.Errorf("the state is %v after one round", d.State())
	}
	failRounds(d, now, nil)
	if d.State() != Partitioned {
		t.Errorf("the state is %v after all probes failed", d.State())
	}
}

// TestBusyOrIdleIsNoSilence guards against probes while bytes come, or while no response is awaited.
func TestBusyOrIdleIsNoSilence(t *testing.T) {
	for name, traffic := range map[string]func(i int) Traffic{
		"bytes come": func(i int) Traffic { return Traffic{Received: uint64(i / 4), Waiting: 9} },
		"one awaits": func(int) Traffic { return Traffic{Waiting: 1} },
		"idle":       func(int) Traffic { return Traffic{} },
	} {
		d, now := newTestDetector(12)
		for i := range 200 {
			if probes := d.Tick(now, traffic(i)); len(probes) > 0 {
				t.Fatalf("%s: %d probes in tick %d", name, len(probes), i)
			}
			now = now.Add(testTick)
		}
	}
}

// TestCrashIsToldFromPartition guards against the blame for a partition, and against a crash that is not
// reported.
func TestCrashIsToldFromPartition(t *testing.T) {
	for answered, expected := range map[bool]Verdict{true: AtUpstream, false: AtNetwork} {
		d, now := newTestDetector(12)
		d.RecordConnected(now, d.upstreams[0].Address)
		now = now.Add(testTick)
		failedAt := now
		d.RecordCrashProbe(now, d.upstreams[1].Address)
		if got := d.Verdict(failedAt); got != Unknown {
			t.Fatalf("verdict %v before anything else is known", got)
		}
		probes := d.Tick(now, Traffic{})
		if len(probes) != roundProbes {
			t.Fatalf("%d probes, expected a round", len(probes))
		}
		for _, probe := range probes {
			if probe.Address == d.upstreams[1].Address {
				t.Error("the upstream that crashed is probed in place of another one")
			}
		}
		if got := d.Verdict(failedAt); got != Unknown {
			t.Fatalf("verdict %v during the round", got)
		}
		if answered {
			endProbes(d, now, probes, true)
		} else {
			failRounds(d, now, probes)
		}
		if got := d.Verdict(failedAt); got != expected {
			t.Errorf("verdict %v after probes that ended with %v, expected %v", got, answered, expected)
		}
	}
}

// TestDeadPoolIsNotProbedForEver guards against rounds of probes as long as a pool is down, and against a
// partition during that time which is detected late.
func TestDeadPoolIsNotProbedForEver(t *testing.T) {
	d, now := newTestDetector(12)
	isDown := func(address string) bool {
		for i := range d.upstreams {
			if d.upstreams[i].Address == address {
				return d.upstreams[i].Pool == "pool-0"
			}
		}
		return false
	}
	sent := 0
	for i := range 160 {
		d.RecordFailed(now, d.upstreams[2*(i%6)].Address)
		probes := d.Tick(now, Traffic{})
		sent += len(probes)
		for _, probe := range probes {
			d.RecordProbe(now, probe.ID, !isDown(probe.Address))
		}
		if d.State() == Partitioned {
			t.Fatal("partitioned although a pool answers")
		}
		now = now.Add(testTick)
	}
	if sent > 4*roundProbes {
		t.Errorf("%d probes in 8 s", sent)
	}
	cut := now
	for d.State() != Partitioned && now.Sub(cut) < 5*time.Second {
		for i := range d.upstreams {
			d.RecordFailed(now, d.upstreams[i].Address)
		}
		endProbes(d, now, d.Tick(now, Traffic{}), false)
		now = now.Add(testTick)
	}
	if took := now.Sub(cut); took > minSuspicionInterval+4*testTick {
		t.Errorf("the partition was detected after %v", took)
	}
}

// TestReturnWithDeadPool guards against a VM that stays partitioned since every second probe reaches a pool
// that is down.
func TestReturnWithDeadPool(t *testing.T) {
	d, now := newTestDetector(12)
	d.RecordFailed(now, d.upstreams[0].Address)
	d.RecordFailed(now, d.upstreams[1].Address)
	now = failRounds(d, now, d.Tick(now, Traffic{}))
	healed := now
	for d.State() == Partitioned {
		if now = now.Add(testTick); now.Sub(healed) > 4*time.Second {
			t.Fatal("still partitioned")
		}
		for _, probe := range d.Tick(now, Traffic{}) {
			isDown := false
			for i := range d.upstreams {
				isDown = isDown || d.upstreams[i].Address == probe.Address && d.upstreams[i].Pool == "pool-0"
			}
			d.RecordProbe(now, probe.ID, !isDown)
		}
	}
}

// TestFewUpstreamsAreNoPartition guards against a VM that takes the failure of its only upstreams for a
// partition.
func TestFewUpstreamsAreNoPartition(t *testing.T) {
	d, now := newTestDetector(minUpstreams - 1)
	for i := range d.upstreams {
		d.RecordCrashProbe(now, d.upstreams[i].Address)
	}
	if probes := d.Tick(now, Traffic{Waiting: 2}); len(probes) > 0 || d.State() != Reachable || d.Verdict(now) != AtUpstream {
		t.Errorf("%d probes, state %v, verdict %v", len(probes), d.State(), d.Verdict(now))
	}
	d, now = newTestDetector(minUpstreams)
	d.RecordFailed(now, d.upstreams[0].Address)
	d.RecordFailed(now, d.upstreams[1].Address)
	now = failRounds(d, now, d.Tick(now, Traffic{}))
	if d.State() != Partitioned {
		t.Fatalf("the state is %v", d.State())
	}
	d.SetUpstreams(now, d.upstreams[1:])
	if d.State() != Reachable {
		t.Errorf("the state is %v with %d upstreams", d.State(), len(d.upstreams))
	}
}

// TestPauseIsNoEvidence guards against timeouts that ran out while the VM was paused, before and after its
// first tick.
func TestPauseIsNoEvidence(t *testing.T) {
	for _, ticksFirst := range []bool{false, true} {
		d, now := newTestDetector(12)
		quiet := Traffic{Waiting: 5}
		d.Tick(now, quiet)
		d.RecordFailed(now, d.upstreams[0].Address)
		now = now.Add(3 * time.Second)
		if ticksFirst {
			d.Tick(now, quiet)
		}
		for i := range d.upstreams {
			d.RecordFailed(now, d.upstreams[i].Address)
		}
		for range 7 {
			if probes := d.Tick(now, quiet); len(probes) > 0 {
				t.Fatalf("%d probes after a pause", len(probes))
			}
			now = now.Add(testTick)
		}
	}
}

// TestConnectionFromBeforeACrash guards against a response on a connection from before a cut, which makes the
// failures after it count as those of upstreams, and against a crash that is not told because of such responses.
func TestConnectionFromBeforeACrash(t *testing.T) {
	d, now := newTestDetector(12)
	d.RecordCrashProbe(now, d.upstreams[1].Address)
	probes := d.Tick(now, Traffic{})
	d.RecordConnected(now.Add(testTick), d.upstreams[0].Address)
	if got := d.Verdict(now); got != Unknown {
		t.Errorf("verdict %v after a response on a connection that may be older than the failure", got)
	}
	endProbes(d, now.Add(testTick), probes, true)
	if got := d.Verdict(now); got != AtUpstream {
		t.Errorf("verdict %v although probes were answered", got)
	}
}

// TestUnansweredProbes guards against full upstreams, which answer no health query in time, that are taken for a
// partition, and against a partition that is taken for full upstreams.
func TestUnansweredProbes(t *testing.T) {
	for _, areFull := range []bool{false, true} {
		d, now := newTestDetector(12)
		since := now
		received := uint64(0)
		for i := 0; d.State() != Partitioned && now.Sub(since) < 3*time.Second; i++ {
			now = now.Add(testTick)
			if areFull && i%12 == 11 {
				received++
			}
			probes := d.Tick(now, Traffic{Received: received, Waiting: 4})
			if len(probes) == 0 {
				continue
			}
			for range ProbeTimeout / testTick {
				now = now.Add(testTick)
				if areFull {
					received++
				}
				d.Tick(now, Traffic{Received: received, Waiting: 4})
			}
			for _, probe := range probes {
				d.RecordUnanswered(now, probe.ID)
			}
		}
		if isPartitioned := d.State() == Partitioned; isPartitioned == areFull {
			t.Errorf("partitioned: %v although the upstreams are full: %v", isPartitioned, areFull)
		}
	}
}

// TestOneFailingUpstream guards against a partition that is detected late since old connections live on and all
// new ones go to one upstream, and against endless rounds of probes since one upstream is down.
func TestOneFailingUpstream(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		d, now := newTestDetector(12)
		d.RecordConnected(now, d.upstreams[1].Address)
		since, sent := now, 0
		for d.State() != Partitioned && now.Sub(since) < 9*time.Second {
			now = now.Add(testTick)
			d.RecordFailed(now, d.upstreams[0].Address)
			probes := d.Tick(now, Traffic{Received: uint64(now), Waiting: 4})
			sent += len(probes)
			endProbes(d, now, probes, !isCut)
		}
		if took := now.Sub(since); isCut && took > successTimeout+roundInterval+3*testTick {
			t.Errorf("the partition was detected after %v", took)
		}
		if !isCut && (d.State() == Partitioned || sent > roundProbes) {
			t.Errorf("state %v after %d probes although only one upstream is down", d.State(), sent)
		}
	}
}

// TestSilentSince guards against old connections that are ended although they may live on: new ones are refused,
// bytes come, or upstreams may be full.
func TestSilentSince(t *testing.T) {
	type end struct {
		after      time.Duration
		unanswered bool
	}
	for name, test := range map[string]struct {
		end      end
		received uint64
		expected bool
		// later is what is expected after silenceConfirmTime.
		later bool
	}{
		"refused":                     {end: end{after: time.Millisecond}},
		"hanging":                     {end: end{after: ProbeTimeout}, expected: true, later: true},
		"hanging while bytes come":    {end: end{after: ProbeTimeout}, received: 1},
		"unanswered":                  {end: end{after: ProbeTimeout, unanswered: true}, later: true},
		"unanswered, then bytes come": {end: end{after: ProbeTimeout, unanswered: true}, received: 1},
	} {
		d, now := newTestDetector(12)
		d.RecordFailed(now, d.upstreams[0].Address)
		d.RecordFailed(now, d.upstreams[1].Address)
		suspectSince := now
		for d.State() != Partitioned {
			probes := d.Tick(now, Traffic{})
			for _, probe := range probes {
				if test.end.unanswered {
					d.RecordUnanswered(now.Add(test.end.after), probe.ID)
				} else {
					d.RecordProbe(now.Add(test.end.after), probe.ID, false)
				}
			}
			now = now.Add(max(test.end.after, testTick))
		}
		if !test.end.unanswered {
			d.Tick(now, Traffic{Received: test.received})
		}
		if since, ok := d.SilentSince(now); ok != test.expected || ok && since != suspectSince {
			t.Errorf("%s: silent since %v: %v, expected %v", name, since, ok, test.expected)
		}
		for range silenceConfirmTime / testTick {
			now = now.Add(testTick)
			d.Tick(now, Traffic{Received: test.received})
		}
		if _, ok := d.SilentSince(now); ok != test.later {
			t.Errorf("%s: silent later: %v, expected %v", name, ok, test.later)
		}
	}
}
