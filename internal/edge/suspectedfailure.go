package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/partition"
)

const (
	// verdictTimeout bounds the time until it is known whether an upstream failed or this VM is partitioned
	// from all. Without a verdict no crash is reported.
	verdictTimeout = time.Second
	// crashVerdictWait is how long the request that an upstream broke off waits for the verdict, so that its
	// next attempt is refused if it crashes upstreams. Probes are answered within some milliseconds.
	crashVerdictWait = 50 * time.Millisecond
	// maxSuspectedFailures bounds the failures without a verdict. A crash breaks all requests of an upstream.
	maxSuspectedFailures = 1024
)

// suspectedFailure is a failure of an upstream, or of the network of this VM.
type suspectedFailure struct {
	failedAt clock.Instant
	verdict  partition.Verdict
	// end is called once with the verdict, without the lock of the monitor.
	end func(partition.Verdict)
}

// suspectCrash records a crash of an upstream that broke a connection and accepts no new one, once it is known
// that the upstream itself has failed, not the network of this VM. It waits for that for a short time.
func (m *partitionMonitor) suspectCrash(upstream, address string, record func()) {
	done := make(chan struct{})
	end := func(verdict partition.Verdict) {
		defer close(done)
		if verdict == partition.AtUpstream {
			record()
			return
		}
		m.logger.Info("broken connection not taken for a crash", zap.String("upstream", upstream), zap.Bool("partitioned", verdict == partition.AtNetwork))
	}
	accepted := m.awaitVerdict(&suspectedFailure{failedAt: m.now(), end: end}, func(d *partition.Detector, now clock.Instant) {
		d.RecordCrashProbe(now, address)
	})
	if !accepted {
		return
	}
	timer := time.NewTimer(crashVerdictWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// awaitVerdict records something, and calls the end of the failure once there is a verdict or after a timeout. It
// returns false, and does not call it, if too many failures are without a verdict.
func (m *partitionMonitor) awaitVerdict(failure *suspectedFailure, record func(*partition.Detector, clock.Instant)) bool {
	accepted := false
	m.step(func(d *partition.Detector, now clock.Instant) {
		record(d, now)
		if accepted = len(m.suspected) < maxSuspectedFailures; accepted {
			m.suspected = append(m.suspected, failure)
		}
	})
	return accepted
}

// decidedFailures removes and returns the failures with a verdict, and those that are too old for one. The
// caller holds the lock.
func (m *partitionMonitor) decidedFailures(now clock.Instant) []*suspectedFailure {
	var decided []*suspectedFailure
	m.suspected = slices.DeleteFunc(m.suspected, func(f *suspectedFailure) bool {
		f.verdict = m.detector.Verdict(f.failedAt)
		isDecided := f.verdict != partition.Unknown || now.Sub(f.failedAt) >= verdictTimeout
		if isDecided {
			decided = append(decided, f)
		}
		return isDecided
	})
	return decided
}
