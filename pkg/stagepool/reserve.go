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
	end := p.estimateEnd(now, ahead, r.Pieces, r.ResultBytes)
	for range overtakingRounds {
		wait := end.Sub(max(now, r.Arrives)) - p.expectedCallTime()
		if wait <= 0 {
			break
		}
		end = p.estimateEnd(now, ahead+p.overtakingPieces(now, r.Priority, wait), r.Pieces, r.ResultBytes)
	}
	return max(end, r.Arrives.Add(p.expectedCallTime()))
}

// overtakingRounds is the number of times that the wait of a stage is computed anew with the pieces
// that overtake it meanwhile.
const overtakingRounds = 2

// overtakingPieces returns how many pieces of higher ranks will probably arrive and be queued ahead of
// a stage while it waits, if they go on to arrive as they did. A stage of lower rank that does not
// count them is admitted in a burst, overtaken until it is late, and dropped after other pools have
// worked for its request.
func (p *Pool) overtakingPieces(now clock.Instant, priority int, wait time.Duration) int {
	priority = min(max(priority, 0), maxPriority)
	pieces := 0.0
	for rank := range priority {
		lead := time.Duration(priority-rank) * priorityStep
		pieces += p.arrivals[rank].perSecond(now) * min(lead, wait).Seconds()
	}
	return int(pieces)
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
