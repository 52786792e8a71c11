package configuration

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// IsReader reports whether this process watches values at the platform.
func (m *Machine) IsReader() bool { return m.isReader }

// shouldBeReader reports whether this process is among the readersPerZone first reachable
// VMs of its zone by rendezvous hashing. Processes with the same members select the same
// readers without exchanging messages.
func (m *Machine) shouldBeReader() bool {
	var names []string
	for _, member := range m.members {
		if member.Zone == m.options.Zone && member.Live && (member.Reachable || member.Name == m.options.Self) {
			names = append(names, member.Name)
		}
	}
	return slices.Contains(rendezvous.Top("reader/"+m.options.Zone, names, readersPerZone), m.options.Self)
}

// startDueReads starts the platform reads that are due.
func (m *Machine) startDueReads(now clock.Instant, s *valueState, actions []Action) []Action {
	if !s.poll.pending && !now.Before(s.poll.nextAt) {
		// The poll requests the revision in force again, which proves that the platform
		// still has it: a platform with older data would also respond that there is no
		// newer value.
		after := max(s.inForce.Revision, 1) - 1
		actions = append(actions, m.startRead(now, s, &s.poll, after, 0))
	}
	if !s.watch.pending && !now.Before(s.watch.nextAt) && s.newest() > 0 && m.IsReader() {
		actions = append(actions, m.startRead(now, s, &s.watch, s.newest(), m.options.WatchTimeout))
	}
	return actions
}

func (m *Machine) startRead(now clock.Instant, s *valueState, schedule *readSchedule, after uint64, wait time.Duration) Read {
	schedule.id = m.newID()
	schedule.pending = true
	schedule.sentAt = now
	schedule.deadline = now.Add(wait + readGracePeriod)
	return Read{ID: schedule.id, Name: s.name, After: after, Wait: wait}
}

// expireCalls counts reads past their deadline as failed and drops fetches that have timed
// out.
func (m *Machine) expireCalls(now clock.Instant, s *valueState) {
	for _, schedule := range []*readSchedule{&s.watch, &s.poll} {
		if schedule.pending && !now.Before(schedule.deadline) {
			m.scheduleRetry(now, schedule)
		}
	}
	s.fetches = slices.DeleteFunc(s.fetches, func(f pendingFetch) bool { return now.Sub(f.startedAt) >= FetchTimeout })
}

// scheduleRetry schedules a read after a failure, with exponential backoff. The delay has
// jitter so that processes do not retry simultaneously after an outage.
func (m *Machine) scheduleRetry(now clock.Instant, schedule *readSchedule) {
	schedule.pending = false
	delay := min(backoffBase<<min(schedule.failures, 10), backoffMax)
	schedule.failures++
	schedule.nextAt = now.Add(delay/2 + m.jitter(delay/2))
}

// HandleReadResult handles the result of a Read.
func (m *Machine) HandleReadResult(now clock.Instant, result ReadResult) []Action {
	for _, name := range Names {
		s := m.values[name]
		switch {
		case s.watch.pending && s.watch.id == result.ID:
			return m.handleWatchResult(now, s, result)
		case s.poll.pending && s.poll.id == result.ID:
			return m.handlePollResult(now, s, result)
		}
	}
	return nil
}

func (m *Machine) handleWatchResult(now clock.Instant, s *valueState, result ReadResult) []Action {
	if result.Status == ReadFailed {
		m.scheduleRetry(now, &s.watch)
		return nil
	}
	s.watch.pending = false
	s.watch.failures = 0
	s.watch.nextAt = now
	if earliest := s.watch.sentAt.Add(minWatchInterval); now.Before(earliest) {
		s.watch.nextAt = earliest
	}
	return m.handlePlatformValue(now, s, &s.watch, result)
}

func (m *Machine) handlePollResult(now clock.Instant, s *valueState, result ReadResult) []Action {
	if result.Status == ReadFailed {
		m.scheduleRetry(now, &s.poll)
		return nil
	}
	s.poll.pending = false
	s.poll.failures = 0
	actions := m.handlePlatformValue(now, s, &s.poll, result)
	interval := m.pollInterval(s)
	s.poll.nextAt = now.Add(interval/2 + m.jitter(interval))
	if s.newest() == 0 {
		// The platform has not published the value yet.
		s.poll.nextAt = now.Add(backoffBase + m.jitter(backoffBase))
	}
	return actions
}

// handlePlatformValue handles a value from the platform. The confirmation counts from when
// the read was sent, not from the response, which may have been delayed.
func (m *Machine) handlePlatformValue(now clock.Instant, s *valueState, schedule *readSchedule, result ReadResult) []Action {
	if result.Status != ReadValue {
		return nil
	}
	s.platformRevision, s.platformReadAt = result.Value.Revision, schedule.sentAt
	actions := m.handleReceived(now, s, result.Value, nil)
	s.confirmFromLastRead()
	return actions
}

// pollInterval returns the mean poll interval of a value: PollInterval, or longer for a
// large value.
func (m *Machine) pollInterval(s *valueState) time.Duration {
	intervalBySize := time.Duration(len(s.inForce.Data)) * time.Second / pollBytesPerSecond
	maxByFleet := m.options.PollInterval * time.Duration(len(m.members)) / minFleetPollsPerInterval
	return max(m.options.PollInterval, min(intervalBySize, maxByFleet))
}
