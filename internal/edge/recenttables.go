package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/freshness"
)

// recentTables makes requests wait for newer tables if those of this VM are too old to place them. It is safe for
// concurrent use.
type recentTables struct {
	now    func() clock.Instant
	logger *zap.Logger
	// age returns the age of the tables, 0 if there are none yet, hasSource whether another VM is known to have current ones, and ask pulls
	// them from one.
	age       func() time.Duration
	hasSource func() bool
	ask       func(ctx context.Context)

	mu   sync.Mutex
	gate *freshness.Gate
	// answered is closed at the end of the open question.
	answered chan struct{}
}

func newRecentTables(s *Server) *recentTables {
	return &recentTables{
		now: s.now, logger: s.logger, gate: freshness.New(s.settings.DrainTime, fleet.StaleTablesAge),
		age: func() time.Duration {
			age, complete := s.follower.age()
			if !complete {
				return 0
			}
			return age
		},
		hasSource: func() bool { return len(s.otherReaders()) > 0 },
		ask:       func(ctx context.Context) { s.pullFromReader(ctx, 0) },
	}
}

// setDrain sets the time for which upstreams take requests after they have said that they leave.
func (r *recentTables) setDrain(drain time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.Configure(drain, fleet.StaleTablesAge)
}

// await returns once the tables are recent enough to place a request, no VM has newer ones, or the request has waited
// for freshness.MaxWait.
func (r *recentTables) await(ctx context.Context) {
	age := r.age()
	if age <= fleet.StaleTablesAge {
		return
	}
	answered := r.question(age, r.hasSource())
	if answered == nil {
		return
	}
	timer := time.NewTimer(freshness.MaxWait)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// question returns a channel that is closed at the end of the open question, which it begins if needed. It is nil if
// the request does not wait.
func (r *recentTables) question(age time.Duration, hasSource bool) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.gate.Decide(r.now(), age, hasSource) {
	case freshness.Ask:
		r.answered = make(chan struct{})
		go r.run(r.answered, age)
		return r.answered
	case freshness.Wait:
		return r.answered
	default:
		return nil
	}
}

// run asks for newer tables.
func (r *recentTables) run(answered chan struct{}, before time.Duration) {
	// The context has no deadline of the first request, since others wait as well.
	r.ask(context.Background())
	age := r.age()
	r.logger.Info("tables too old to place requests: asked a reader of the store", zap.Duration("age_before", before), zap.Duration("age", age))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate.End(r.now(), age <= r.gate.MaxAge())
	close(answered)
}
