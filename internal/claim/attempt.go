package claim

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

type attemptState uint8

const (
	// attemptOpen is an attempt that is claiming the key or running the request.
	attemptOpen attemptState = iota
	attemptReleased
	attemptFinished
	attemptFailed
	// attemptExpired is a finished attempt whose result has been deleted.
	attemptExpired
)

// attempt is one attempt of this process to claim a key.
type attempt struct {
	key    keeper.Key
	holder keeper.Holder
	// createdAt determines when the attempt is removed: only after the keepers' records
	// of it have expired.
	createdAt clock.Instant
	endedAt   clock.Instant
	state     attemptState
	result    *Result
	// done is closed when state leaves attemptOpen.
	done chan struct{}
}

func (a *attempt) resultSize() int {
	if a.result == nil {
		return 0
	}
	return len(a.result.Body) + len(a.result.ContentType)
}

// outcome must be called with the lock of the attempt store held.
func (a *attempt) outcome() keeper.Outcome {
	switch a.state {
	case attemptReleased:
		return keeper.OutcomeNotRun
	case attemptFinished:
		return keeper.OutcomeResult
	case attemptExpired:
		return keeper.OutcomeExpired
	case attemptOpen:
		return keeper.OutcomeRunning
	default:
		return keeper.OutcomeUnknown
	}
}
