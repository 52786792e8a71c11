package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// attempt is one Selection from its arrival to its Done.
type attempt struct {
	ticket Ticket
	// queueItem is the place in the pool's queue.
	queueItem admission.Item

	pool      *pool
	route     *route
	stage     int
	workspace string
	weight    int
	deadline  clock.Instant
	exclude   []string
	prefix    uint64
	extra     bool
	mayWait   bool
	// rerouted is set for a repeated attempt that is not paid from the retry budget.
	rerouted bool

	fingerprint Fingerprint
	suspect     bool
	held        bool

	// upstream is set from dispatch on.
	upstream *upstream
	started  clock.Instant
	// stallsAtStart is the sum of stalls of the process when the attempt started.
	stallsAtStart time.Duration
	// cold is set if a slot of a cold upstream is used.
	cold bool
}

// reset takes over a selection; the item and the memory of exclude are reused.
func (a *attempt) reset(ticket Ticket, selection *Selection) {
	*a = attempt{
		ticket: ticket, queueItem: a.queueItem, exclude: append(a.exclude[:0], selection.Exclude...),
		stage: selection.Stage, workspace: selection.Workspace, deadline: selection.Deadline,
		prefix: selection.Prefix, extra: selection.Extra, fingerprint: selection.Fingerprint,
		mayWait: !selection.Extra || selection.MayWait, rerouted: !selection.Extra && len(selection.Exclude) > 0,
	}
	a.queueItem.Key = uint64(ticket)
}
