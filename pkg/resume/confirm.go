package resume

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Confirmation checks an answer that is not a record against the versions that this VM has observed since the
// answers were asked for. A version may have joined that the VMs which answered did not know, and the stream
// may have begun there.
type Confirmation struct {
	// ResumedAt is when the caller resumed the stream. It began before.
	ResumedAt clock.Instant
	// Lateness is how old the tables of the VMs that answered may have been.
	Lateness time.Duration
	// AskedAt is when the VM began to ask, and Asked holds the versions of the pool that it knew then.
	AskedAt clock.Instant
	Asked   map[Origin]bool
}

// IsNeededFor reports whether an answer has to be confirmed. A record tells the version by itself.
func (Confirmation) IsNeededFor(a Answer) bool { return a.Certainty == Sole || a.Certainty == Cached }

// Confirm returns the answer as far as the history confirms it. All changes of the versions up to currentAt
// must have been observed.
func (h *History) Confirm(answer Answer, c Confirmation, currentAt clock.Instant) Answer {
	switch {
	case !c.IsNeededFor(answer):
		return answer
	case answer.Certainty == Sole:
		own := h.Find(answer.Origin.Pool, c.ResumedAt.Add(-c.Lateness), c.ResumedAt, currentAt)
		if own.Certainty == Unknown {
			return Answer{}
		}
		return answer.Merge(own)
	case currentAt < c.ResumedAt || h.since > c.AskedAt:
		return Answer{}
	}
	for version := range h.Versions(answer.Origin.Pool, c.AskedAt) {
		if !c.Asked[version] {
			return Answer{}
		}
	}
	return answer
}
