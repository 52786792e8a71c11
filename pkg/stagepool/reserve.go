package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// A request passes several pools, and if the last one refuses it, the work of the others is
// wasted. Each request therefore reserves capacity in all of its pools on arrival. A pool counts
// reservations as future work, so that it does not admit further requests to the same capacity.

// reservationSlack is how long a reservation is kept after its expected arrival, since the
// preceding stages may take longer than expected.
const reservationSlack = 500 * time.Millisecond

// StageID identifies one stage of one request.
type StageID struct {
	Request string
	Stage   int
}

// Reservation announces a stage that will be submitted later.
type Reservation struct {
	StageID
	Pieces      int
	ResultBytes int64
	// Arrives is when the preceding stages are expected to be done.
	Arrives clock.Instant
	// Due and Priority have the same meaning as in Job.
	Due      clock.Instant
	Priority int
}

// Reserve returns when a stage is expected to be done, and reserves capacity for it until it is
// submitted, cancelled or expired.
func (p *Pool) Reserve(now clock.Instant, r Reservation) clock.Instant {
	// Late jobs are queued behind this stage, but they are counted as well: they would starve
	// if each new reservation could overtake them.
	order := orderTime(r.Due, r.Priority)
	ahead := p.piecesAhead(order, false) + p.lateWaitingPieces()
	for id, other := range p.reservations {
		switch {
		case now.Sub(other.Arrives) > reservationSlack:
			delete(p.reservations, id)
		case !orderTime(other.Due, other.Priority).After(order):
			ahead += other.Pieces
		}
	}
	p.reservations[r.StageID] = r
	return max(p.estimateEnd(now, ahead, r.Pieces, r.ResultBytes), r.Arrives.Add(p.expectedCallTime()))
}

func (p *Pool) lateWaitingPieces() int {
	waiting := 0
	for _, j := range p.queue {
		if j.late {
			waiting += j.waitingPieces()
		}
	}
	return waiting
}

// CancelReservation cancels a reservation.
func (p *Pool) CancelReservation(id StageID) { delete(p.reservations, id) }
