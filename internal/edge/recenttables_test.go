package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/freshness"
)

// TestRequestsAwaitRecentTables lets many requests find the tables too old. It guards against requests that are placed
// by old tables although another VM has newer ones, against one question for each of them, and against requests that
// wait for a VM that does not answer.
func TestRequestsAwaitRecentTables(t *testing.T) {
	const requests, oldAge = 50, 1700 * time.Millisecond
	for name, c := range map[string]struct {
		answerTime time.Duration
		brings     bool
		maxWait    time.Duration
		questions  int64
	}{
		"newer tables":    {10 * time.Millisecond, true, 10 * time.Millisecond, 1},
		"no newer tables": {10 * time.Millisecond, false, 10 * time.Millisecond, 1},
		"no answer":       {time.Second, false, freshness.MaxWait, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				var age, questions atomic.Int64
				age.Store(int64(oldAge))
				r := &recentTables{
					now: func() clock.Instant { return clock.Instant(time.Hour + time.Since(startedAt)) }, logger: zap.NewNop(),
					gate: freshness.New(2*time.Second, 1600*time.Millisecond),
					age:  func() time.Duration { return time.Duration(age.Load()) }, hasSource: func() bool { return true },
					ask: func(context.Context) {
						questions.Add(1)
						time.Sleep(c.answerTime)
						if c.brings {
							age.Store(0)
						}
					},
				}
				var wg sync.WaitGroup
				for range requests {
					wg.Go(func() {
						r.await(t.Context())
						if waited := time.Since(startedAt); waited != c.maxWait {
							t.Errorf("a request waited %v, expected %v", waited, c.maxWait)
						}
						if c.brings && age.Load() != 0 {
							t.Error("a request is placed by old tables")
						}
					})
				}
				wg.Wait()
				if questions.Load() != c.questions {
					t.Errorf("%d questions", questions.Load())
				}
				time.Sleep(c.answerTime)
				before := time.Now()
				r.await(t.Context())
				if time.Since(before) > 0 {
					t.Error("a request waits right after a question")
				}
			})
		})
	}
}
