package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/partition"
)

const (
	// crashVerdictTimeout bounds the time until it is known whether an upstream crashed or this VM is
	// partitioned from all. Without a verdict nothing is reported.
	crashVerdictTimeout = time.Second
	// crashVerdictWait is how long the request that an upstream broke off waits for the verdict, so that its
	// next attempt is refused if it crashes upstreams. Probes are answered within some milliseconds.
	crashVerdictWait = 50 * time.Millisecond
	// maxCrashSuspicions bounds the suspicions without a verdict. A crash breaks all requests of an upstream.
	maxCrashSuspicions = 1024
)

// crashSuspicion is an upstream that broke a connection and accepts no new one.
type crashSuspicion struct {
	failedAt clock.Instant
	upstream string
	// record records the crash.
	record  func()
	verdict partition.Verdict
	logger  *zap.Logger
	done    chan struct{}
}

// end records the crash if the upstream itself has failed.
func (c *crashSuspicion) end() {
	defer close(c.done)
	if c.verdict == partition.AtUpstream {
		c.record()
		return
	}
	c.logger.Info("broken connection not taken for a crash", zap.String("upstream", c.upstream), zap.Bool("partitioned", c.verdict == partition.AtNetwork))
}

// suspectCrash records a crash once it is known that the upstream itself has failed, not the network of this VM.
// It waits for that for a short time.
func (m *partitionMonitor) suspectCrash(upstream, address string, record func()) {
	crash := &crashSuspicion{upstream: upstream, record: record, logger: m.logger, done: make(chan struct{})}
	accepted := false
	m.step(func(d *partition.Detector, now clock.Instant) {
		d.RecordCrashProbe(now, address)
		if accepted = len(m.crashes) < maxCrashSuspicions; accepted {
			crash.failedAt = now
			m.crashes = append(m.crashes, crash)
		}
	})
	if !accepted {
		return
	}
	timer := time.NewTimer(crashVerdictWait)
	defer timer.Stop()
	select {
	case <-crash.done:
	case <-timer.C:
	}
}

// decidedCrashes removes and returns the suspicions with a verdict, and those that are too old for one. The
// caller holds the lock.
func (m *partitionMonitor) decidedCrashes(now clock.Instant) []*crashSuspicion {
	var decided []*crashSuspicion
	m.crashes = slices.DeleteFunc(m.crashes, func(c *crashSuspicion) bool {
		c.verdict = m.detector.Verdict(c.failedAt)
		isDecided := c.verdict != partition.Unknown || now.Sub(c.failedAt) >= crashVerdictTimeout
		if isDecided {
			decided = append(decided, c)
		}
		return isDecided
	})
	return decided
}
