package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// attempt is one Selection from its arrival to its Done.
type attempt struct {
	ticket Ticket
	// queueItem is the entry in the queue of the pool.
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
	// rerouted is set for a repeated attempt that neither uses nor fills the retry budget.
	rerouted bool

	fingerprint Fingerprint
	// suspect is set if the request may only run as the single suspect on its upstream,
	// held while the attempt waits for the verdict on its request.
	suspect bool
	held    bool

	// upstream is set at dispatch.
	upstream *upstream
	started  clock.Instant
	// stallsAtStart is the total stall time of this process when the attempt started.
	stallsAtStart time.Duration
	// cold is set if the upstream was cold at dispatch.
	cold bool
}

// reset initializes the attempt from a selection. It keeps the queue item and reuses the
// memory of exclude.
func (a *attempt) reset(ticket Ticket, selection *Selection) {
	*a = attempt{
		ticket: ticket, queueItem: a.queueItem, exclude: append(a.exclude[:0], selection.Exclude...),
		stage: selection.Stage, workspace: selection.Workspace, deadline: selection.Deadline,
		prefix: selection.Prefix, extra: selection.Extra, fingerprint: selection.Fingerprint,
		mayWait: !selection.Extra || selection.MayWait, rerouted: !selection.Extra && len(selection.Exclude) > 0,
	}
	a.queueItem.Key = uint64(ticket)
}
