package published

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// Peers of older versions state no era, so that their revisions say nothing about the order of their items and those of
// this VM. While this VM has no other source, the writers' own counts order them: the version of a configuration, and
// the start and the sequence of an upstream's entry. What is taken over this way of upstreams only restricts.

// leavingReport says that an upstream is draining or removed, as an older peer knows it.
type leavingReport struct {
	// state is that in which it drains, or the last one that is known here of a removed one.
	state     catalog.Upstream
	isRemoved bool
	// receivedAt is when the report came, and freshAt when the peer's items were complete.
	receivedAt, freshAt clock.Instant
}

// OfferUnordered applies the changes of a peer that states no era and whose items were complete at freshAt: a
// configuration of a higher version, zones that are out of service, and upstreams that are draining or removed.
func (s *State) OfferUnordered(now clock.Instant, changes replica.Changes, freshAt clock.Instant) Update {
	var update Update
	if !s.Complete() || !freshAt.After(s.FreshAt()) {
		return update
	}
	for _, item := range changes.Items {
		d := s.decodeItem(item)
		if d.Verdict == Applied {
			d.Verdict = s.applyUnordered(now, item, d.Value, freshAt)
		}
		update.add(d)
	}
	for _, removed := range s.missingIn(changes) {
		if s.reportLeaving(leavingReport{state: removed, isRemoved: true, receivedAt: now, freshAt: freshAt}) {
			update.add(Decision{Value: &removed, Verdict: ReportedLeaving})
		}
	}
	update.HasChanges = len(update.Decisions) > 0
	return update
}

// applyUnordered applies an item. The verdict is Unknown if it has no effect.
func (s *State) applyUnordered(now clock.Instant, item replica.Item, value any, freshAt clock.Instant) Verdict {
	upstream, isUpstream := value.(*catalog.Upstream)
	if !isUpstream {
		if item.Deleted {
			return Unknown
		}
		return s.applyKept(now, item, value)
	}
	known := s.registry.Get(upstream.ID)
	if known == nil {
		return Unknown
	}
	report := leavingReport{state: *upstream, receivedAt: now, freshAt: freshAt}
	if item.Deleted {
		report.state, report.isRemoved = known.Upstream, true
	}
	leaves := item.Deleted || (upstream.Draining && upstream.StartID == known.StartID && !registry.IsOlder(*upstream, known.Upstream))
	if leaves && s.reportLeaving(report) {
		return ReportedLeaving
	}
	return Unknown
}

// missingIn returns the registered upstreams that a peer which sent all of its keys does not list.
func (s *State) missingIn(changes replica.Changes) []catalog.Upstream {
	if changes.IsDelta || len(changes.Keys) == 0 {
		return nil
	}
	listed := map[string]bool{}
	for _, key := range changes.Keys {
		if value, err := s.decode(key, nil); err == nil {
			if upstream, ok := value.(*catalog.Upstream); ok {
				listed[upstream.ID] = true
			}
		}
	}
	var missing []catalog.Upstream
	for _, entry := range s.registry.Entries() {
		if !listed[entry.ID] {
			missing = append(missing, entry.Upstream)
		}
	}
	return missing
}

// reportLeaving keeps a report and reports whether it is new.
func (s *State) reportLeaving(report leavingReport) bool {
	id := report.state.ID
	known, isKnown := s.leaving[id]
	if isKnown && known.state.StartID == report.state.StartID && known.isRemoved == report.isRemoved {
		known.freshAt = max(known.freshAt, report.freshAt)
		s.leaving[id] = known
		return false
	}
	s.leaving[id] = report
	return true
}

// dropReports drops the reports that what is known here supersedes, and reports whether there were any.
func (s *State) dropReports(now clock.Instant) bool {
	before := len(s.leaving)
	for id, report := range s.leaving {
		if s.isSuperseded(now, report) {
			delete(s.leaving, id)
		}
	}
	return len(s.leaving) < before
}

// isSuperseded reports whether the registered state of an upstream is later than a report on it.
func (s *State) isSuperseded(now clock.Instant, report leavingReport) bool {
	known := s.registry.Get(report.state.ID)
	switch {
	case known == nil || known.StartID != report.state.StartID:
		return true
	case known.StartID == 0:
		// The sequence says nothing without a start.
		return !s.FreshAt().Before(report.freshAt)
	case report.isRemoved:
		return registry.IsOlder(report.state, known.Upstream) || now.Sub(report.receivedAt) >= registry.WithholdTime
	}
	return !registry.IsOlder(known.Upstream, report.state)
}

// withReports returns the entries, those of upstreams that are reported as leaving as draining. Entries expire while
// the store is down, so that removals have no effect in a pool that they would leave without an upstream.
func (s *State) withReports(entries []*registry.Entry) []*registry.Entry {
	if len(s.leaving) == 0 {
		return entries
	}
	staying := map[string]int{}
	for _, entry := range entries {
		if _, leaves := s.reportOn(entry); !leaves && !entry.Draining {
			staying[entry.Pool]++
		}
	}
	out := slices.Clone(entries)
	for i, entry := range out {
		if report, leaves := s.reportOn(entry); leaves && (!report.isRemoved || staying[entry.Pool] > 0) {
			draining := *entry
			draining.Draining = true
			out[i] = &draining
		}
	}
	return out
}

// reportOn returns the report on the process of an entry.
func (s *State) reportOn(entry *registry.Entry) (leavingReport, bool) {
	report, ok := s.leaving[entry.ID]
	return report, ok && report.state.StartID == entry.StartID
}
