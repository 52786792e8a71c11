package edge

import (
	"context"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/resume"
)

const (
	// confirmTimeout bounds the wait, from the arrival of a request, for tables that are current. It is longer than two watches of a reader:
	// the one that is under way, and the next.
	confirmTimeout = 2 * time.Second
	// answerLateness is how old the tables may be from which another VM has answered: staleTablesAge at its
	// answer, which may take originTimeout.
	answerLateness = staleTablesAge + originTimeout
)

// confirmOrigin returns what is left of an answer once the tables are known to be current as of the arrival
// of the request. Until then a version may have joined of which this VM does not know, and the stream may
// have begun there at another VM.
func (t *transaction) confirmOrigin(answer resume.Answer, confirmation resume.Confirmation) resume.Answer {
	if !confirmation.IsNeededFor(answer) {
		return answer
	}
	wait := min(confirmTimeout-t.s.now().Sub(t.arrived), t.remaining()/2)
	ctx, cancel := context.WithTimeout(t.ctx, wait)
	defer cancel()
	currentAt := t.s.follower.awaitCurrent(ctx, t.arrived)
	return t.s.origins.confirm(answer, confirmation, currentAt)
}

// awaitCurrent waits until the tables are known to have been current at an instant, or until the context
// ends. It returns the latest time at which they are known to have been.
func (f *follower) awaitCurrent(ctx context.Context, at clock.Instant) clock.Instant {
	for {
		f.mu.Lock()
		currentAt, refreshed := f.state.FreshAt(), f.refreshed
		f.mu.Unlock()
		if currentAt >= at {
			return currentAt
		}
		select {
		case <-refreshed:
		case <-ctx.Done():
			return currentAt
		}
	}
}
