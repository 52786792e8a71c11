package claim

import (
	"sync"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// attemptStore keeps the attempts of this process and the results of finished ones.
type attemptStore struct {
	holder         keeper.Holder
	resultTTL      time.Duration
	maxResultBytes int
	attemptTTL     time.Duration

	mu         sync.Mutex
	lastNumber uint64
	byNumber   map[uint64]*attempt
	// attempts and results are ordered by creation and by end.
	attempts    []*attempt
	results     []*attempt
	resultBytes int
}

func newAttemptStore(options *Options) *attemptStore {
	return &attemptStore{
		holder:    keeper.Holder{VM: options.VM, Incarnation: options.Incarnation},
		resultTTL: options.ResultTTL, maxResultBytes: options.MaxResultBytes,
		// Keepers count the retention from the end of an attempt, which is at most one
		// route deadline after its creation; twice the retention covers both.
		attemptTTL: 2 * options.ClaimRetention,
		byNumber:   map[uint64]*attempt{},
	}
}

// add adds a new open attempt.
func (s *attemptStore) add(now clock.Instant, key keeper.Key) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	s.lastNumber++
	holder := s.holder
	holder.Attempt = s.lastNumber
	a := &attempt{key: key, holder: holder, createdAt: now, done: make(chan struct{})}
	s.byNumber[s.lastNumber] = a
	s.attempts = append(s.attempts, a)
	return a
}

// nextNumber returns an unused attempt number, for leases.
func (s *attemptStore) nextNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return s.lastNumber
}

// end ends an open attempt. It returns false and does nothing if the attempt has ended.
func (s *attemptStore) end(now clock.Instant, a *attempt, state attemptState, result *Result) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.state != attemptOpen {
		return false
	}
	a.state, a.endedAt, a.result = state, now, result
	if state == attemptFinished {
		s.results = append(s.results, a)
		s.resultBytes += a.resultSize()
	}
	s.removeExpired(now)
	close(a.done)
	return true
}

// find returns the attempt of a holder, or nil if it is not an attempt of this process or
// has been removed.
func (s *attemptStore) find(holder keeper.Holder) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder.VM != s.holder.VM || holder.Incarnation != s.holder.Incarnation {
		return nil
	}
	return s.byNumber[holder.Attempt]
}

// outcome returns the outcome of an attempt and its result, if it is still kept.
func (s *attemptStore) outcome(now clock.Instant, a *attempt) (keeper.Outcome, *Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	return a.outcome(), a.result
}

// removeExpired deletes expired results, the oldest results while they exceed the limit in
// bytes, and the attempts of which no keeper has a record any more.
func (s *attemptStore) removeExpired(now clock.Instant) {
	for len(s.results) > 0 {
		oldest := s.results[0]
		if s.resultBytes <= s.maxResultBytes && now.Sub(oldest.endedAt) < s.resultTTL {
			break
		}
		s.resultBytes -= oldest.resultSize()
		oldest.state, oldest.result = attemptExpired, nil
		s.results = s.results[1:]
	}
	for len(s.attempts) > 0 && s.attempts[0].state != attemptOpen && now.Sub(s.attempts[0].createdAt) >= s.attemptTTL {
		delete(s.byNumber, s.attempts[0].holder.Attempt)
		s.attempts = s.attempts[1:]
	}
}
