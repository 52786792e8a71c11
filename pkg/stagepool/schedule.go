package stagepool

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// slowFactor is the slowness above which an upstream gets work only if the others could
// not end it sooner.
const slowFactor = 1.4

// roomPart is the part of the room that is used, since the sizes of results are approximate.
const roomPart = 0.95

// slot is when an upstream can begin its next call, and how fast it is.
type slot struct {
	u      *upstream
	free   clock.Instant
	factor float64
	room   int64
}

// slots returns one entry for each upstream in service, the fastest first.
func (p *Pool) slots(now clock.Instant) []slot {
	var out []slot
	for _, name := range p.names {
		u := p.upstreams[name]
		if !u.inService {
			continue
		}
		room := int64(float64(p.batch.ResultMemoryBytes)*roomPart) - u.used
		if now < u.foreignUntil {
			room -= u.foreign
		}
		out = append(out, slot{
			u: u, free: u.availableAt(now, p.batch.Concurrency), factor: max(1, u.factor(now)), room: room,
		})
	}
	slices.SortStableFunc(out, func(a, b slot) int {
		switch {
		case a.factor > slowFactor && a.factor > b.factor:
			return 1
		case b.factor > slowFactor && b.factor > a.factor:
			return -1
		}
		return int(b.room - a.room)
	})
	return out
}

func (p *Pool) callTime(pieces int) time.Duration {
	return p.batch.CallTime + time.Duration(pieces)*p.batch.PieceTime
}

// duration returns the expected time of a call at a slot.
func (p *Pool) duration(s *slot, pieces int) time.Duration {
	return time.Duration(float64(p.callTime(pieces)) * s.factor)
}

// estimate returns when pieces would end that run in full batches after a number of
// others.
func (p *Pool) estimate(now clock.Instant, ahead, pieces int, resultBytes int64) clock.Instant {
	slots := p.slots(now)
	if len(slots) == 0 {
		return now.Add(time.Hour)
	}
	end := now
	if p.isRoomBound(now) {
		// Results leave no faster than they were made of late.
		rate := max(p.made.perSecond(now), p.leastRate(len(slots), resultBytes))
		end = now.Add(time.Duration(float64(ahead+pieces)/rate*float64(time.Second)) + p.expectedCall())
	}
	for left := ahead + pieces; left > 0; left -= p.batch.MaxPieces {
		n := min(left, p.batch.MaxPieces)
		best := 0
		for i := range slots {
			if slots[i].free.Add(p.duration(&slots[i], n)).Before(slots[best].free.Add(p.duration(&slots[best], n))) {
				best = i
			}
		}
		slots[best].free = slots[best].free.Add(p.duration(&slots[best], n))
		end = max(end, slots[best].free)
	}
	return end
}

// leastRate returns the pieces per second that a pool makes in any case while room limits
// it: half of the room is made anew in two full calls. What was made of late is less in the
// first moments of an owner and after jobs were refused, and says nothing then.
func (p *Pool) leastRate(upstreams int, resultBytes int64) float64 {
	pieces := p.batch.MaxPieces
	if resultBytes > 0 {
		pieces = min(pieces, int(p.batch.ResultMemoryBytes/resultBytes/2))
	}
	return float64(upstreams*max(pieces, 1)) / (2 * p.callTime(p.batch.MaxPieces).Seconds())
}

// isRoomBound reports whether upstreams were idle of late since they had no room for what
// waited.
func (p *Pool) isRoomBound(now clock.Instant) bool {
	return p.roomBoundAt != 0 && now.Sub(p.roomBoundAt) < roomBoundTime
}

// ahead returns the number of pieces that wait in front of a job that is due at the
// instant; a job that will be late comes after all others that are due before it.
func (p *Pool) ahead(due clock.Instant, late bool) int {
	ahead := 0
	for _, j := range p.queue {
		if j.late && !late || j.late == late && j.Due.After(due) {
			break
		}
		ahead += j.waitingPieces()
	}
	return ahead
}

// Dispatch returns the calls to begin now. Call it after each change and when Wake says.
func (p *Pool) Dispatch(now clock.Instant) []Call {
	p.budget.Grant(grantPerSecond * now.Sub(p.granted).Seconds())
	p.granted = now
	p.expire(now)
	p.dropLate(now)
	p.demote(now)
	p.noteRead(now)
	p.noteOverdue(now)
	var calls []Call
	slots := p.slots(now)
	for i := range slots {
		s := &slots[i]
		if s.free > now || len(p.queue) == 0 || !p.isRoomKnown(now, s.u) || !p.isWorthwhile(now, s, slots) {
			continue
		}
		taken := p.fill(now, s, slots)
		if len(taken) == 0 {
			p.refreshRoom(now, s.u)
			continue
		}
		calls = append(calls, p.begin(now, s.u, taken))
		s.free = now.Add(p.duration(s, len(taken)))
	}
	return calls
}

// isWorthwhile reports whether a slow upstream may get work: the others could not end all
// that waits before it would end its part.
func (p *Pool) isWorthwhile(now clock.Instant, s *slot, slots []slot) bool {
	if s.factor <= slowFactor {
		return true
	}
	waiting := p.WaitingPieces()
	end := now.Add(p.duration(s, min(waiting, p.batch.MaxPieces)))
	for i := range slots {
		other := &slots[i]
		if other.u == s.u || other.factor >= s.factor {
			continue
		}
		rounds := int(end.Sub(other.free) / p.duration(other, p.batch.MaxPieces))
		waiting -= max(rounds, 0) * p.batch.MaxPieces
		if rounds == 0 && other.free.Add(p.duration(other, 1)).Before(end) {
			waiting -= p.batch.MaxPieces
		}
	}
	return waiting > 0
}

// waiting is one piece that waits.
type waiting struct {
	j     *job
	index int
}

// fill takes jobs in order as far as a call and the room of the upstream allow. Jobs whose
// inputs or results belong to the upstream's zone go first, since each piece fetches all
// inputs of its job; others are taken if their own zone cannot end them in time. A job is
// taken whole if it fits into a call at all: results that wait for their siblings occupy
// the memory that the next batch needs.
func (p *Pool) fill(now clock.Instant, s *slot, slots []slot) []waiting {
	var taken []waiting
	room := s.room
	for _, j := range p.queue {
		if s.u.failures > 0 && len(taken) > 0 {
			// One job tells whether the upstream works again.
			return taken
		}
		if j.Zone == "" || j.Zone == s.u.Zone {
			taken, room = p.takeJob(now, j, taken, room)
		}
	}
	backlog := map[string]int{}
	for _, j := range p.queue {
		if len(taken) >= p.batch.MaxPieces || (s.u.failures > 0 && len(taken) > 0) {
			break
		}
		if j.Zone == "" || j.Zone == s.u.Zone {
			continue
		}
		backlog[j.Zone] += j.waitingPieces()
		if p.mayLeaveHome(now, j, backlog[j.Zone], slots) {
			taken, room = p.takeJob(now, j, taken, room)
		}
	}
	return taken
}

// takeJob adds the waiting pieces of a job if they fit.
func (p *Pool) takeJob(now clock.Instant, j *job, taken []waiting, room int64) ([]waiting, int64) {
	if j.late && p.batch.ResultMemoryBytes > 0 && room < int64(lateRoomPart*float64(p.batch.ResultMemoryBytes)) {
		return taken, room
	}
	n := j.waitingPieces()
	fits := p.batch.MaxPieces - len(taken)
	if p.batch.ResultMemoryBytes > 0 && j.ResultBytes > 0 {
		inRoom := int(max(room, 0) / j.ResultBytes)
		if inRoom < n && inRoom < fits && len(taken) == 0 {
			p.roomBoundAt = now
		}
		fits = min(fits, inRoom)
	}
	if n > fits && (len(taken) > 0 || !p.isLarge(j, n)) {
		return taken, room
	}
	for i := range j.pieces {
		if fits == 0 {
			break
		}
		if j.pieces[i].state == pieceWaiting {
			taken = append(taken, waiting{j, i})
			room -= j.ResultBytes
			fits--
		}
	}
	return taken, room
}

// lateRoomPart is the part of the room that late jobs leave to those that can be on time.
const lateRoomPart = 0.5

// isLarge reports whether the pieces would not even fit into an empty call with most of
// the room free.
func (p *Pool) isLarge(j *job, pieces int) bool {
	return pieces > p.batch.MaxPieces || (p.batch.ResultMemoryBytes > 0 && 2*int64(pieces)*j.ResultBytes > p.batch.ResultMemoryBytes)
}

// mayLeaveHome reports whether the upstreams of a job's zone cannot end it in time after
// the pieces of their zone that come before it; backlog counts these and its own.
func (p *Pool) mayLeaveHome(now clock.Instant, j *job, backlog int, slots []slot) bool {
	limit := j.Due
	if j.late {
		limit = now.Add(2 * p.callTime(p.batch.MaxPieces))
	}
	var home []*slot
	for i := range slots {
		if slots[i].u.Zone == j.Zone {
			home = append(home, &slots[i])
		}
	}
	if len(home) == 0 {
		return true
	}
	rounds := (backlog - 1) / (p.batch.MaxPieces * len(home))
	for _, s := range home {
		call := p.duration(s, p.batch.MaxPieces)
		if !s.free.Add(time.Duration(rounds+1) * call).After(limit) {
			return false
		}
	}
	return true
}

func (p *Pool) begin(now clock.Instant, u *upstream, pieces []waiting) Call {
	p.nextCall++
	running := &runningCall{started: now, expected: p.callTime(len(pieces))}
	call := Call{ID: p.nextCall, Upstream: u.ID}
	readAt := now.Add(p.batch.CallTime / readPart)
	if now < max(p.blindUntil, u.sharedUntil, u.noRoomUntil) {
		// The call may wait behind another one, or its results may find no room, so that its
		// inputs are needed again.
		readAt = now.Add(time.Hour)
	}
	for _, w := range pieces {
		// A job may be sent in several calls, of which the last one reads its inputs last.
		w.j.readAt = max(w.j.readAt, readAt)
		item := &w.j.pieces[w.index]
		item.state, item.call = pieceRunning, p.nextCall
		item.attempts++
		running.reserved += w.j.ResultBytes
		call.Pieces = append(call.Pieces, CallPiece{
			Job: w.j.id, Request: w.j.Request, Stage: w.j.Stage, Piece: w.index,
			Key: w.j.Key, Inputs: w.j.Inputs, TimeLeft: w.j.Deadline.Sub(now),
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

// demote puts jobs that cannot be on time any more behind those that can. Without it one
// burst makes all jobs late, each by as much as the one before.
func (p *Pool) demote(now clock.Instant) {
	changed := false
	for _, j := range p.queue {
		if !j.late && j.waiting() && now.Add(p.expectedCall()).After(j.Due) {
			j.late, changed = true, true
		}
	}
	if changed {
		slices.SortFunc(p.queue, compareJobs)
	}
}

// noteOverdue puts the pieces of calls that take far longer than expected back into the
// queue, so that another upstream may make them. The results that come first are used.
func (p *Pool) noteOverdue(now clock.Instant) {
	for _, name := range p.names {
		u := p.upstreams[name]
		for _, running := range u.calls {
			if running.overdue || now < running.overdueAt() {
				continue
			}
			running.overdue = true
			u.measure(now, float64(now.Sub(running.started))/float64(running.expected))
			for _, item := range running.call.Pieces {
				p.putBack(item)
			}
		}
	}
}

func (p *Pool) putBack(item CallPiece) {
	j := p.jobs[item.Job]
	if j == nil || j.ended {
		return
	}
	state := &j.pieces[item.Piece]
	if state.state == pieceRunning && state.call != 0 && state.attempts < maxAttempts && p.budget.Take() {
		state.state = pieceWaiting
	}
}

// overdueAt returns when the pieces of a call are put back.
func (r *runningCall) overdueAt() clock.Instant {
	return r.started.Add(time.Duration(overdueFactor*float64(r.expected)) + overdueSlack)
}

// expectedCall returns the time of a call that would begin now.
func (p *Pool) expectedCall() time.Duration {
	return max(p.callTime(1), min(p.typicalCall, p.callTime(p.batch.MaxPieces)))
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
		if !j.running() && now.Add(p.callTime(1)).After(j.Deadline) {
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

// NextDispatch returns when Dispatch should be called next without a change, and false if there
// is nothing to wait for.
func (p *Pool) NextDispatch(now clock.Instant) (clock.Instant, bool) {
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
		u := p.upstreams[name]
		if u.inService && u.pausedUntil > now {
			wake = min(wake, u.pausedUntil)
		}
		for _, running := range u.calls {
			if at := running.overdueAt(); !running.overdue && at > now {
				wake = min(wake, at)
			}
		}
	}
	return wake, true
}

// roomBoundTime is how long the pool counts as limited by room after an upstream had none.
const roomBoundTime = 500 * time.Millisecond

// wakeInterval bounds the time between two looks at a queue that does not move.
const wakeInterval = 50 * time.Millisecond
