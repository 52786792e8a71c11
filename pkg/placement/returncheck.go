package placement

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// HealthTimeout bounds a question to an upstream that may have come back. Without an answer by
	// then, requests are sent to it all the same.
	HealthTimeout = 200 * time.Millisecond
	// refusedQuestionPause is the time after a question that was refused or not sent until the next one,
	// for requests that have no other upstream.
	refusedQuestionPause = initialBackoff
)

// ReturnCheck decides when to ask an upstream for its state after it was lost or started again. It
// may then be in a cold start of which the published tables do not tell, as while the store is down.
// The zero value is an upstream that needs no question.
//
// Invariants:
//   - after an event nothing is sent to the upstream until it has answered, or HealthTimeout has
//     passed since the question;
//   - a question is asked only for a request that needs an upstream, and an answered or timed out
//     one is not repeated until the next event.
type ReturnCheck struct {
	// pending is set from the event to the end of the question.
	pending bool
	// askedAt is when the question under way was asked; 0 if none is.
	askedAt clock.Instant
	// askAgainAt is the earliest time of the next question after one that was refused or not sent.
	askAgainAt clock.Instant
}

// RecordLost records that the upstream refused a connection, died, or started again. Events while a
// question is under way have the same cause: requests on several connections break in one crash.
func (c *ReturnCheck) RecordLost(now clock.Instant) {
	if c.timedOut(now) {
		*c = ReturnCheck{}
	}
	c.pending = true
}

// Blocks reports whether the upstream must get no requests yet.
func (c *ReturnCheck) Blocks(now clock.Instant) bool { return c.pending && !c.timedOut(now) }

// IsAsking reports whether a question is under way.
func (c *ReturnCheck) IsAsking(now clock.Instant) bool {
	return c.pending && c.askedAt != 0 && !c.timedOut(now)
}

func (c *ReturnCheck) timedOut(now clock.Instant) bool {
	return c.askedAt != 0 && now.Sub(c.askedAt) >= HealthTimeout
}

// RecordAnswer records that the question that was asked at an instant has ended, with an answer or
// without one.
func (c *ReturnCheck) RecordAnswer(asked clock.Instant) {
	if c.askedAt == asked {
		*c = ReturnCheck{}
	}
}

// RecordRefusal records that the question that was asked at an instant was refused, since the upstream
// has not come back, or was not sent. It is asked again later.
func (c *ReturnCheck) RecordRefusal(now, asked clock.Instant) {
	if c.askedAt == asked {
		*c = ReturnCheck{pending: true, askAgainAt: now.Add(refusedQuestionPause)}
	}
}

// TryAsk reports whether the upstream is to be asked now, and records the question. While requests
// have other upstreams, one in backoff is not asked.
func (u *Upstream) TryAsk(now clock.Instant, hasOthers bool) bool {
	c := &u.Return
	if c.timedOut(now) {
		*c = ReturnCheck{}
	}
	if !c.pending || c.askedAt != 0 || now < c.askAgainAt || (hasOthers && u.InBackoff(now)) {
		return false
	}
	c.askedAt = now
	return true
}
