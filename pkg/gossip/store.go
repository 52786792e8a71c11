// Package gossip holds what agents report to each other about upstreams and requests:
// the warmth of upstreams, and the fingerprints of suspect requests. A store is
// bounded, merges the reports of peers, and selects what to send in the next message.
//
// A Store is deterministic. It is not safe for concurrent use.
package gossip

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Store holds the warmth reports and suspects known to one agent.
type Store struct {
	memberCount int
	upstreams   map[string]*upstreamRecord
	suspects    map[Fingerprint]*suspectRecord

	warmthQueue  *queue[warmthKey]
	suspectQueue *queue[Fingerprint]
	// suspectRotation is the round-robin order in which known suspects are repeated in
	// messages without new ones.
	suspectRotation []Fingerprint
	nextExpiryAt    clock.Instant
	version         uint64
}

type warmthKey struct{ upstream, reporter string }

// upstreamRecord holds the warmth reports about one upstream.
type upstreamRecord struct {
	// reporters holds reports by reporter: at most MaxReporters from peers, not
	// counting reports of cold, and this agent's own.
	reporters map[string]*warmthRecord
	// coldAt is when the upstream was last reported cold, if isCold.
	coldAt clock.Instant
	isCold bool
}

type warmthRecord struct {
	sequence   uint64
	successes  uint32
	cold       bool
	observedAt clock.Instant
	// queuedAt is when a report of the local gateway was last queued for sending.
	queuedAt clock.Instant
}

type suspectRecord struct {
	upstreams []string
	expiresAt clock.Instant
}

// expiryInterval is the interval between two scans for expired reports and suspects.
const expiryInterval = time.Second

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		upstreams:    map[string]*upstreamRecord{},
		suspects:     map[Fingerprint]*suspectRecord{},
		warmthQueue:  newQueue[warmthKey](),
		suspectQueue: newQueue[Fingerprint](),
	}
}

// SetMemberCount sets the number of VMs, which determines how often an item is sent.
func (s *Store) SetMemberCount(n int) { s.memberCount = n }

// Version changes whenever Warmth or Suspects changes.
func (s *Store) Version() uint64 { return s.version }

// HasPending reports whether any report or suspect is queued for sending.
func (s *Store) HasPending() bool {
	return len(s.warmthQueue.sendCount) > 0 || len(s.suspectQueue.sendCount) > 0
}

// Tick drops expired reports and suspects.
func (s *Store) Tick(now clock.Instant) {
	if now.Before(s.nextExpiryAt) {
		return
	}
	s.nextExpiryAt = now.Add(expiryInterval)
	for name, u := range s.upstreams {
		s.expireWarmth(now, name, u)
	}
	for fingerprint, entry := range s.suspects {
		if !now.Before(entry.expiresAt) {
			s.removeSuspect(fingerprint)
		}
	}
}

func (s *Store) expireWarmth(now clock.Instant, name string, u *upstreamRecord) {
	for reporter, w := range u.reporters {
		if now.Sub(w.observedAt) >= WarmthLifetime {
			s.removeReport(name, u, reporter)
		}
	}
	u.isCold = u.isCold && now.Sub(u.coldAt) < WarmthLifetime
	if len(u.reporters) == 0 && !u.isCold {
		delete(s.upstreams, name)
	}
}

func (s *Store) removeReport(name string, u *upstreamRecord, reporter string) {
	delete(u.reporters, reporter)
	s.warmthQueue.remove(warmthKey{name, reporter})
	s.version++
}

// RecordLocalWarmth merges reports of the local gateway. A new report or a change of
// the cold flag is queued at once. A report with only a higher count is queued after
// refreshAfter, and only if fewer than MaxReporters others have reported lately, so
// that busy gateways do not fill the messages.
func (s *Store) RecordLocalWarmth(now clock.Instant, reports []Warmth) {
	for _, w := range reports {
		key := warmthKey{w.Upstream, w.Reporter}
		previous := s.findReport(key)
		if !s.mergeWarmth(now, w, 0, true) {
			continue
		}
		stored := s.findReport(key)
		if previous != nil && previous.cold == stored.cold {
			stored.queuedAt = previous.queuedAt
			if now.Sub(previous.queuedAt) < refreshAfter || s.reportedByOthers(now, key) {
				continue
			}
		}
		stored.queuedAt = now
		s.warmthQueue.put(key)
	}
}

// reportedByOthers reports whether at least MaxReporters others have fresh reports.
func (s *Store) reportedByOthers(now clock.Instant, key warmthKey) bool {
	count := 0
	for reporter, w := range s.upstreams[key.upstream].reporters {
		if reporter != key.reporter && now.Sub(w.observedAt) < refreshAfter {
			count++
		}
	}
	return count >= MaxReporters
}

// MergeWarmth merges reports from a peer and queues new ones for other peers. Transit
// is an upper bound of the message's time in transit.
func (s *Store) MergeWarmth(now clock.Instant, reports []Warmth, transit time.Duration) {
	for _, w := range reports[:min(len(reports), MaxWarmthPerMessage)] {
		if s.mergeWarmth(now, w, transit, false) {
			s.warmthQueue.put(warmthKey{w.Upstream, w.Reporter})
		}
	}
}

func (s *Store) mergeWarmth(now clock.Instant, w Warmth, transit time.Duration, local bool) bool {
	if !validName(w.Upstream) || !validName(w.Reporter) || w.Age < 0 || w.Age+transit >= WarmthLifetime {
		return false
	}
	u := s.upstreams[w.Upstream]
	if u == nil {
		if len(s.upstreams) >= MaxUpstreams {
			return false
		}
		u = &upstreamRecord{reporters: map[string]*warmthRecord{}}
		s.upstreams[w.Upstream] = u
	}
	observedAt := now.Add(-w.Age - transit)
	if u.isCold && observedAt.Before(u.coldAt) {
		// Reports from before the upstream turned cold are obsolete.
		return false
	}
	if known := u.reporters[w.Reporter]; known != nil {
		if w.Sequence <= known.sequence && !observedAt.After(known.observedAt.Add(restartGap)) {
			return false
		}
	} else if !local && !s.admitReporter(w, u, observedAt) {
		return false
	}
	u.reporters[w.Reporter] = &warmthRecord{sequence: w.Sequence, successes: w.Successes, cold: w.Cold, observedAt: observedAt}
	if w.Cold {
		s.markCold(w.Upstream, u, observedAt)
	}
	s.version++
	return true
}

// admitReporter reports whether to accept a report from a new reporter: if there are fewer
// than MaxReporters, if it says cold, or if it can replace a report that is about to expire.
func (s *Store) admitReporter(w Warmth, u *upstreamRecord, observedAt clock.Instant) bool {
	if w.Cold || len(u.reporters) < MaxReporters {
		return true
	}
	oldest := ""
	for reporter, known := range u.reporters {
		isOlder := oldest == "" || known.observedAt.Before(u.reporters[oldest].observedAt) ||
			(known.observedAt == u.reporters[oldest].observedAt && reporter < oldest)
		if isOlder {
			oldest = reporter
		}
	}
	if observedAt.Sub(u.reporters[oldest].observedAt) < refreshAfter {
		return false
	}
	s.removeReport(w.Upstream, u, oldest)
	return true
}

// markCold records that an upstream turned cold and drops earlier reports about it.
func (s *Store) markCold(name string, u *upstreamRecord, at clock.Instant) {
	u.coldAt = at
	u.isCold = true
	for reporter, w := range u.reporters {
		if w.observedAt.Before(at) {
			s.removeReport(name, u, reporter)
		}
	}
}

func (s *Store) findReport(key warmthKey) *warmthRecord {
	u := s.upstreams[key.upstream]
	if u == nil {
		return nil
	}
	return u.reporters[key.reporter]
}

// TakeWarmth returns the warmth reports for the next message.
func (s *Store) TakeWarmth(now clock.Instant) []Warmth {
	var out []Warmth
	for _, key := range s.warmthQueue.take(MaxWarmthPerMessage, s.retransmissions()) {
		if w := s.findReport(key); w != nil {
			out = append(out, w.toWarmth(now, key))
		}
	}
	return out
}

// Warmth returns all warmth reports, sorted by upstream and reporter.
func (s *Store) Warmth(now clock.Instant) []Warmth {
	out := make([]Warmth, 0, MaxReporters*len(s.upstreams))
	for name, u := range s.upstreams {
		for reporter, w := range u.reporters {
			out = append(out, w.toWarmth(now, warmthKey{name, reporter}))
		}
	}
	slices.SortFunc(out, func(a, b Warmth) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Reporter, b.Reporter))
	})
	return out
}

func (w *warmthRecord) toWarmth(now clock.Instant, key warmthKey) Warmth {
	return Warmth{
		Upstream: key.upstream, Reporter: key.reporter, Sequence: w.sequence,
		Successes: w.successes, Cold: w.cold, Age: now.Sub(w.observedAt),
	}
}

func (s *Store) retransmissions() int { return retransmitFactor * bits.Len(uint(s.memberCount+1)) }

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }
