package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/partition"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

const (
	// partitionTick is the time between two ticks of the detector.
	partitionTick = 50 * time.Millisecond
	// probeTargetsInterval is the time between two updates of the upstreams that may be probed.
	probeTargetsInterval = 500 * time.Millisecond
)

// partitionMonitor runs the detector of partitions from all upstreams. It is safe for concurrent use.
type partitionMonitor struct {
	now     func() clock.Instant
	logger  *zap.Logger
	metrics *metrics
	contain *containment
	dialect Dialect
	view    func() *View
	signals *upstreamSignals
	// traffic returns the traffic with the upstreams for which the function returns true.
	traffic func(isUpstream func(address string) bool) (received uint64, awaited int)
	// probes sends probes. Its connections are always opened directly.
	probes *outbound.Client
	// onChange is called after the VM was partitioned or is no more.
	onChange func(partitioned bool)
	// onSilence is called once in each partition if no byte has come from any upstream for the given time.
	onSilence func(silent time.Duration)

	partitioned atomic.Bool
	// changed wakes applyChanges.
	changed chan struct{}

	mu          sync.Mutex
	detector    *partition.Detector
	lastTraffic partition.Traffic
	targetsView *View
	targetsAt   clock.Instant
	suspected   []*suspectedFailure
	// silenceReported is set if onSilence was called in this partition.
	silenceReported bool
}

func newPartitionMonitor(s *Server) *partitionMonitor {
	return &partitionMonitor{
		now: s.now, logger: s.logger, metrics: s.metrics, contain: s.contain, dialect: s.dialect, view: s.view.Load, signals: s.signals,
		traffic: s.client.Traffic, probes: outbound.NewClient(s.settings.IP), onChange: s.onPartitionChange, onSilence: s.endSilentExchanges,
		changed: make(chan struct{}, 1), detector: partition.New(s.now(), rand.Uint64()),
	}
}

// isPartitioned reports whether this VM is partitioned from all upstreams.
func (m *partitionMonitor) isPartitioned() bool { return m.partitioned.Load() }

// recordConnected records the first byte of a response on a connection that was opened directly a short time
// before.
func (m *partitionMonitor) recordConnected(address string) {
	if m.isUpstream(address) {
		m.step(func(d *partition.Detector, now clock.Instant) { d.RecordConnected(now, address) })
	}
}

// recordConnFailed records that opening a connection directly failed, or that it broke or timed out before the
// first byte of a response.
func (m *partitionMonitor) recordConnFailed(address string, err error) {
	if !m.isUpstream(address) {
		return
	}
	m.logger.Debug("connection to an upstream failed", zap.String("address", address), obs.ErrorField(err))
	m.step(func(d *partition.Detector, now clock.Instant) { d.RecordFailed(now, address) })
}

// Connected implements outbound.Observer.
func (m *partitionMonitor) Connected(address string) { m.recordConnected(address) }

// Failed implements outbound.Observer.
func (m *partitionMonitor) Failed(address string, err error) { m.recordConnFailed(address, err) }

// isUpstream reports whether an address is that of a registered upstream.
func (m *partitionMonitor) isUpstream(address string) bool {
	view := m.view()
	return view != nil && view.ByAddress[address] != nil
}

// run advances the detector until the context ends.
func (m *partitionMonitor) run(ctx context.Context) {
	go m.applyChanges(ctx)
	ticker := time.NewTicker(partitionTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.contain.run("partition detector", m.tick)
		}
	}
}

func (m *partitionMonitor) tick() {
	received, awaited := m.traffic(m.isUpstream)
	m.step(func(*partition.Detector, clock.Instant) {
		m.lastTraffic = partition.Traffic{Received: received, Waiting: awaited}
	})
}

// updateTargets passes the upstreams that may be probed to the detector if they may have changed. The caller holds
// the lock.
func (m *partitionMonitor) updateTargets(now clock.Instant) {
	view := m.view()
	if view == m.targetsView && now.Sub(m.targetsAt) < probeTargetsInterval {
		return
	}
	m.targetsView, m.targetsAt = view, now
	m.detector.SetUpstreams(now, m.probeTargets(view))
}

// decisions are what the detector has decided.
type decisions struct {
	probes   []partition.Probe
	changes  []partition.Change
	failures []*suspectedFailure
	// isChange is set if this VM has become partitioned, or is no more.
	isChange bool
	// silent is how long no byte has come from any upstream, if onSilence is to be called; 0 otherwise.
	silent time.Duration
}

// step records something and does what the detector then decides.
func (m *partitionMonitor) step(record func(*partition.Detector, clock.Instant)) {
	decided := m.decide(record)
	for _, change := range decided.changes {
		m.recordChange(change)
	}
	if decided.isChange {
		select {
		case m.changed <- struct{}{}:
		default: // applyChanges has not seen the previous change yet, and will apply the latest state.
		}
	}
	if decided.silent > 0 {
		go m.contain.run("end of silent exchanges", func() { m.onSilence(decided.silent) })
	}
	for _, failure := range decided.failures {
		failure.end(failure.verdict)
	}
	for _, probe := range decided.probes {
		go m.contain.run("partition probe", func() { m.sendProbe(probe) })
	}
}

func (m *partitionMonitor) decide(record func(*partition.Detector, clock.Instant)) decisions {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.updateTargets(now)
	record(m.detector, now)
	decided := decisions{probes: m.detector.Tick(now, m.lastTraffic), changes: m.detector.TakeChanges(), failures: m.decidedFailures(now)}
	partitioned := m.detector.State() == partition.Partitioned
	decided.isChange = m.partitioned.Swap(partitioned) != partitioned
	decided.silent = m.newSilence(now)
	return decided
}

// newSilence returns how long no byte has come from any upstream, if that is to be reported; 0 otherwise. The caller
// holds the lock.
func (m *partitionMonitor) newSilence(now clock.Instant) time.Duration {
	since, ok := m.detector.SilentSince(now)
	if !ok {
		m.silenceReported = m.silenceReported && m.isPartitioned()
		return 0
	}
	if m.silenceReported {
		return 0
	}
	m.silenceReported = true
	return now.Sub(since)
}

// recordChange logs and counts a change of the state.
func (m *partitionMonitor) recordChange(c partition.Change) {
	m.metrics.partitionChanges.WithLabelValues(c.To.String()).Inc()
	log := m.logger.Info
	if c.From == partition.Partitioned || c.To == partition.Partitioned {
		log = m.logger.Warn
	}
	log("reachability of upstreams changed", zap.Stringer("from", c.From), zap.Stringer("to", c.To), zap.Stringer("reason", c.Reason),
		zap.Int("failed_upstreams", c.Failures), zap.Int("failed_probes", c.Failed), zap.Int("answered_probes", c.Answered),
		zap.Duration("since_success", c.SinceSuccess))
}

// applyChanges calls onChange, one call at a time and with the latest state.
func (m *partitionMonitor) applyChanges(ctx context.Context) {
	applied := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		}
		if partitioned := m.isPartitioned(); partitioned != applied {
			applied = partitioned
			m.metrics.setPartitioned(partitioned)
			m.contain.run("change of a partition", func() { m.onChange(partitioned) })
		}
	}
}

// probeTargets returns the upstreams in service that may be probed: those that report their load and those whose
// pool has a health path, unless they ask for no traffic.
func (m *partitionMonitor) probeTargets(view *View) []partition.Upstream {
	var out []partition.Upstream
	if view == nil || view.Catalog == nil {
		return nil
	}
	for name, entries := range view.InService {
		pool := view.Catalog.Pools[name]
		hasReport := pool.Engine != nil || pool.Batch != nil
		if !hasReport && pool.HealthPath == "" {
			continue
		}
		blocked := m.signals.blocks(entries)
		for _, entry := range entries {
			if _, ok := blocked[entry.ID]; !ok {
				out = append(out, partition.Upstream{Address: entry.Address, Pool: name, Zone: entry.Zone, HasReport: hasReport})
			}
		}
	}
	return out
}

// probeEnd is how a probe ended.
type probeEnd uint8

const (
	// probeFailed means that the upstream could not be reached.
	probeFailed probeEnd = iota
	// probeUnanswered means that the connection opened, and that the upstream did not answer in time, maybe since
	// the query waits for a slot.
	probeUnanswered
	// probeAnswered means that a response of any status came back.
	probeAnswered
)

// String returns the name of the end for metrics.
func (e probeEnd) String() string { return [...]string{"failed", "unanswered", "answered"}[e] }

// sendProbe sends a probe and records how it ended.
func (m *partitionMonitor) sendProbe(probe partition.Probe) {
	end := probeFailed
	if entry := m.targetOf(probe); entry != nil {
		end = m.query(entry)
	}
	m.metrics.partitionProbes.WithLabelValues(end.String()).Inc()
	m.step(func(d *partition.Detector, now clock.Instant) {
		if end == probeUnanswered {
			d.RecordUnanswered(now, probe.ID)
			return
		}
		d.RecordProbe(now, probe.ID, end == probeAnswered)
	})
}

// targetOf returns the upstream to probe, or nil if it is gone or asks for no traffic.
func (m *partitionMonitor) targetOf(probe partition.Probe) *registry.Entry {
	entry := m.view().ByAddress[probe.Address]
	if entry == nil || !m.signals.mayCall(instanceOf(entry), "partition_probe") {
		return nil
	}
	return entry
}

// query sends a query and returns how it ended. A report of the load takes no slot of the upstream; a health query
// may wait for one.
func (m *partitionMonitor) query(entry *registry.Entry) probeEnd {
	ctx, cancel := context.WithTimeout(context.Background(), partition.ProbeTimeout)
	defer cancel()
	request, mayWait := m.probeRequest(entry)
	// The response does not say which query it belongs to.
	request.SingleUse = true
	exchange, err := m.probes.Start(ctx, entry.Address, request)
	if err == nil {
		exchange.Close()
		return probeAnswered
	}
	m.logger.Debug("probe of an upstream failed", zap.String("upstream", entry.ID), zap.String("address", entry.Address), obs.ErrorField(err))
	if mayWait && ctx.Err() != nil && !errors.Is(err, outbound.ErrNotSent) {
		return probeUnanswered
	}
	return probeFailed
}

// probeRequest returns the query of a probe, and whether it may wait for a slot of the upstream.
func (m *partitionMonitor) probeRequest(entry *registry.Entry) (request *outbound.Request, mayWait bool) {
	if view := m.view(); view.Catalog != nil {
		if pool := view.Catalog.Pools[entry.Pool]; pool != nil && pool.Engine == nil && pool.Batch == nil {
			return m.dialect.EncodeHealthQuery(entry.Address, entry.ID, pool.HealthPath), true
		}
	}
	return m.dialect.EncodeMemoryQuery(entry.Address), false
}
