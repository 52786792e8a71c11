package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Requests pass several pools, and one that is refused by the last pool has cost the others
// their work. Each request therefore asks all pools on its way when it arrives. A pool counts
// what it has promised as work that is still to come, so that the next requests are not
// admitted to a place that is taken.

// reservationSlack is how long after its expected arrival a reservation is kept; the stages
// before may take longer than was expected.
const reservationSlack = 500 * time.Millisecond

// StageID identifies one stage of one request.
type StageID struct {
	Request string
	Stage   int
}

// Reservation is a stage that will be submitted later.
type Reservation struct {
	StageID
	Pieces      int
	ResultBytes int64
	// Arrives is when the stages before it are expected to be done.
	Arrives clock.Instant
	// Due is as in Job.
	Due clock.Instant
}

// Reserve returns when a stage is expected to be done, and counts it until it is submitted,
// taken back or overdue.
func (p *Pool) Reserve(now clock.Instant, r Reservation) clock.Instant {
	// Late jobs come after this one, but without counting them they would never be done.
	ahead := p.ahead(r.Due, false) + p.lateWaiting()
	for id, other := range p.reserved {
		switch {
		case now.Sub(other.Arrives) > reservationSlack:
			delete(p.reserved, id)
		case !other.Due.After(r.Due):
			ahead += other.Pieces
		}
	}
	p.reserved[r.StageID] = r
	return max(p.estimate(now, ahead, r.Pieces, r.ResultBytes), r.Arrives.Add(p.expectedCall()))
}

func (p *Pool) lateWaiting() int {
	waiting := 0
	for _, j := range p.queue {
		if j.late {
			waiting += j.waitingPieces()
		}
	}
	return waiting
}

// Unreserve takes a reservation back.
func (p *Pool) Unreserve(id StageID) { delete(p.reserved, id) }
