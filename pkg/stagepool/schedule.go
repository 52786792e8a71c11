package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// slot is when an upstream can begin its next call, and how fast it is.
type slot struct {
	u      *upstream
	free   clock.Instant
	factor float64
	room   int64
}

// slots returns one entry for each upstream in service.
func (p *Pool) slots(now clock.Instant) []slot {
	var out []slot
	for _, name := range p.names {
		u := p.upstreams[name]
		if !u.inService {
			continue
		}
		out = append(out, slot{
			u: u, free: u.availableAt(now, p.batch.Concurrency), factor: u.factor(now),
			room: p.batch.ResultBytes - u.used,
		})
	}
	return out
}

func (p *Pool) callTime(pieces int) time.Duration {
	return p.batch.CallTime + time.Duration(pieces)*p.batch.PieceTime
}

// first returns the slot that would end a call of so many pieces first. Among equals the
// one with the preferred zone, then the one with most room is taken.
func (p *Pool) first(slots []slot, pieces int, bytes int64, zone string) (int, clock.Instant) {
	best, bestEnd := -1, clock.Instant(0)
	for i := range slots {
		s := &slots[i]
		end := s.free.Add(time.Duration(float64(p.callTime(pieces)) * s.factor))
		if p.batch.ResultBytes > 0 && s.room < bytes {
			// Room is freed when results are used, about one call later.
			end = end.Add(p.callTime(pieces))
		}
		if best < 0 || end.Before(bestEnd) || (end == bestEnd && better(s, &slots[best], zone)) {
			best, bestEnd = i, end
		}
	}
	return best, bestEnd
}

func better(a, b *slot, zone string) bool {
	if (a.u.Zone == zone) != (b.u.Zone == zone) {
		return a.u.Zone == zone
	}
	return a.room > b.room
}

// estimate returns when a new job would end if the pieces that are due before it run in
// full batches first.
func (p *Pool) estimate(now clock.Instant, submitted Job) clock.Instant {
	ahead := 0
	for _, j := range p.queue {
		if j.Due.After(submitted.Due) {
			break
		}
		for i := range j.pieces {
			if j.pieces[i].state == pieceWaiting {
				ahead++
			}
		}
	}
	slots := p.slots(now)
	end := now
	for left := ahead + submitted.Pieces; left > 0; left -= p.batch.MaxPieces {
		n := min(left, p.batch.MaxPieces)
		i, finish := p.first(slots, n, 0, submitted.Zone)
		if i < 0 {
			return submitted.Limit.Add(time.Second)
		}
		slots[i].free = finish
		end = max(end, finish)
	}
	return end
}

// waiting is one piece that waits.
type waiting struct {
	j     *job
	index int
}

// Dispatch returns the calls to begin now. Call it after each change and when Wake says.
func (p *Pool) Dispatch(now clock.Instant) []Call {
	p.budget.Grant(grantPerSecond * now.Sub(p.granted).Seconds())
	p.granted = now
	p.expire(now)
	p.dropLate(now)
	p.noteRead(now)
	var queue []waiting
	for _, j := range p.queue {
		for i := range j.pieces {
			if j.pieces[i].state == pieceWaiting {
				queue = append(queue, waiting{j, i})
			}
		}
	}
	var calls []Call
	slots := p.slots(now)
	for len(queue) > 0 && anyFree(slots, now) {
		n := min(len(queue), p.batch.MaxPieces)
		i, end := p.first(slots, n, queue[0].j.ResultBytes, queue[0].j.Zone)
		if i < 0 {
			break
		}
		s := &slots[i]
		if s.free > now {
			// An upstream that is busy now would still end these pieces first.
			s.free, queue = end, queue[n:]
			continue
		}
		taken, rest := p.fill(queue, s.room)
		if len(taken) == 0 {
			// Nothing fits into the room of this upstream until results are released.
			s.free = now.Add(time.Millisecond)
			continue
		}
		call := p.begin(now, s.u, taken)
		calls = append(calls, call)
		s.free = end
		queue = rest
	}
	return calls
}

func anyFree(slots []slot, now clock.Instant) bool {
	for i := range slots {
		if slots[i].free <= now {
			return true
		}
	}
	return false
}

// fill takes pieces in order as far as a call and the room allow.
func (p *Pool) fill(queue []waiting, room int64) (taken, rest []waiting) {
	limited := p.batch.ResultBytes > 0
	for _, w := range queue {
		if len(taken) < p.batch.MaxPieces && (!limited || w.j.ResultBytes <= room) {
			taken = append(taken, w)
			room -= w.j.ResultBytes
			continue
		}
		rest = append(rest, w)
	}
	return taken, rest
}

func (p *Pool) begin(now clock.Instant, u *upstream, pieces []waiting) Call {
	p.nextCall++
	running := &runningCall{started: now, expected: p.callTime(len(pieces))}
	call := Call{ID: p.nextCall, Upstream: u.ID}
	for _, w := range pieces {
		w.j.readAt = now.Add(p.batch.CallTime / readPart)
		item := &w.j.pieces[w.index]
		item.state = pieceRunning
		item.attempts++
		running.reserved += w.j.ResultBytes
		call.Pieces = append(call.Pieces, CallPiece{
			Job: w.j.id, Request: w.j.Request, Stage: w.j.Stage, Piece: w.index,
			Key: w.j.Key, Inputs: w.j.Inputs, Left: w.j.Limit.Sub(now),
		})
	}
	expected := time.Duration(float64(running.expected) * u.factor(now))
	call.Timeout = callTimeoutFactor*expected + callTimeoutSlack
	running.call = call
	u.calls[call.ID] = running
	u.used += running.reserved
	u.freeAt = now.Add(expected)
	return call
}

// noteRead finds the jobs whose inputs have been read.
func (p *Pool) noteRead(now clock.Instant) {
	for _, j := range p.queue {
		if !j.reported && j.readAt != 0 && now >= j.readAt && !j.waiting() {
			j.reported = true
			p.read = append(p.read, j.id)
		}
	}
}

// dropLate ends jobs that cannot end before their limit any more.
func (p *Pool) dropLate(now clock.Instant) {
	for i := 0; i < len(p.queue); {
		j := p.queue[i]
		if !j.running() && now.Add(p.callTime(1)).After(j.Limit) {
			p.end(j, Overloaded, true)
			continue
		}
		i++
	}
}

// expire forgets results that their upstream has dropped by now.
func (p *Pool) expire(now clock.Instant) {
	for handle, h := range p.held {
		if now.After(h.expires) {
			p.forget(handle)
		}
	}
}

// Wake returns when Dispatch should be called next without a change, and false if there
// is nothing to wait for.
func (p *Pool) Wake(now clock.Instant) (clock.Instant, bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	wake := now.Add(wakeInterval)
	for _, j := range p.queue {
		if !j.reported && j.readAt > now {
			wake = min(wake, j.readAt)
		}
	}
	for _, name := range p.names {
		if u := p.upstreams[name]; u.inService && u.pausedUntil > now {
			wake = min(wake, u.pausedUntil)
		}
	}
	return wake, true
}

// wakeInterval bounds the time between two looks at a queue that does not move.
const wakeInterval = 50 * time.Millisecond
