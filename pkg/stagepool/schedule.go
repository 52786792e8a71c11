package stagepool

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// slowThreshold is the slowness above which an upstream gets work only if the others could not
// finish it sooner.
const slowThreshold = 1.4

// usableMemoryFraction is the fraction of the result memory that is used, since the sizes of results
// are approximate. testedMemoryFraction is used once no result has lacked memory for memoryTestTime:
// a few percent decide whether one more job fits beside the results of the call before.
const (
	usableMemoryFraction = 0.95
	testedMemoryFraction = 0.985
	memoryTestTime       = 5 * time.Second
)

// usableMemory returns the bytes of result memory of an upstream that are used.
func (p *Pool) usableMemory(now clock.Instant) int64 {
	fraction := usableMemoryFraction
	if now.Sub(p.outOfMemoryAt) >= memoryTestTime {
		fraction = testedMemoryFraction
	}
	return int64(fraction * float64(p.batch.ResultMemoryBytes))
}

// slot describes the next call that an upstream can run: when it can start, how slow it is
// expected to be, and how much memory is free for its results.
type slot struct {
	upstream  *upstream
	freeAt    clock.Instant
	slowness  float64
	freeBytes int64
}

// slots returns one entry for each upstream in service. Slow upstreams come last, ordered by
// slowness; the others are ordered by free memory, most first.
func (p *Pool) slots(now clock.Instant) []slot {
	var out []slot
	useSuspects, usable := !p.hasUpstreamOutside(p.suspectZones), p.usableMemory(now)
	for _, id := range p.upstreamIDs {
		u := p.upstreams[id]
		if !u.inService || p.blocks[id] == NoEnd || (p.suspectZones[u.Zone] && !useSuspects) {
			continue
		}
		freeBytes := usable - u.usedBytes - u.currentExternalBytes(now)
		out = append(out, slot{
			upstream: u, freeAt: max(u.availableAt(now, p.batch.Concurrency), p.blocks[id]), slowness: max(1, u.nextSlowness(now)), freeBytes: freeBytes,
		})
	}
	slices.SortStableFunc(out, func(a, b slot) int {
		switch {
		case a.slowness > slowThreshold && a.slowness > b.slowness:
			return 1
		case b.slowness > slowThreshold && b.slowness > a.slowness:
			return -1
		}
		return int(b.freeBytes - a.freeBytes)
	})
	return out
}

func (p *Pool) callTime(pieces int) time.Duration {
	return p.batch.CallTime + time.Duration(pieces)*p.batch.PieceTime
}

// slotCallTime returns the expected duration of a call at a slot.
func (p *Pool) slotCallTime(s *slot, pieces int) time.Duration {
	return time.Duration(float64(p.callTime(pieces)) * s.slowness)
}

// estimateEnd returns when pieces would be done if they run in full batches after the pieces
// ahead of them.
func (p *Pool) estimateEnd(now clock.Instant, ahead, pieces int, resultBytes int64) clock.Instant {
	slots := p.slots(now)
	if len(slots) == 0 {
		return now.Add(time.Hour)
	}
	end := now
	if p.isMemoryBound(now) {
		// Results are released, and so free memory for new ones, no faster than they were
		// produced recently.
		piecesPerSecond := max(p.completed.perSecond(now), p.minThroughput(now, slots, resultBytes))
		end = now.Add(time.Duration(float64(ahead+pieces)/piecesPerSecond*float64(time.Second)) + p.expectedCallTime())
	}
	for remaining := ahead + pieces; remaining > 0; remaining -= p.batch.MaxPieces {
		n := min(remaining, p.batch.MaxPieces)
		best := 0
		for i := range slots {
			if slots[i].freeAt.Add(p.slotCallTime(&slots[i], n)).Before(slots[best].freeAt.Add(p.slotCallTime(&slots[best], n))) {
				best = i
			}
		}
		slots[best].freeAt = slots[best].freeAt.Add(p.slotCallTime(&slots[best], n))
		end = max(end, slots[best].freeAt)
	}
	return end
}

// minThroughput returns a lower bound on the pieces per second of a memory-bound pool: half of
// the memory that results of others leave is refilled within the time of two full calls. The
// measured throughput is lower than this just after a change of owner and after jobs were
// refused, and is not meaningful then.
func (p *Pool) minThroughput(now clock.Instant, slots []slot, resultBytes int64) float64 {
	pieces := 0
	for i := range slots {
		perCall := int64(p.batch.MaxPieces)
		if resultBytes > 0 {
			perCall = min(perCall, (p.batch.ResultMemoryBytes-slots[i].upstream.currentExternalBytes(now))/resultBytes/2)
		}
		pieces += int(max(perCall, 1))
	}
	return float64(pieces) / (2 * p.callTime(p.batch.MaxPieces).Seconds())
}

// isMemoryBound reports whether a shortage of memory recently left upstreams idle although
// pieces were waiting.
func (p *Pool) isMemoryBound(now clock.Instant) bool {
	return p.memoryBoundAt != 0 && now.Sub(p.memoryBoundAt) < memoryBoundDuration
}

// piecesAhead returns the number of waiting pieces in front of a job with the given order time. A
// late job is queued after all jobs that are not late, and after late ones with an earlier
// order time.
func (p *Pool) piecesAhead(order clock.Instant, late bool) int {
	ahead := 0
	for _, j := range p.queue {
		if j.late && !late || j.late == late && orderTime(j.Due, j.Priority).After(order) {
			break
		}
		ahead += j.waitingPieces()
	}
	return ahead
}

// Dispatch returns the calls to start now. It must be called after each change and at the time
// that NextDispatch returns.
func (p *Pool) Dispatch(now clock.Instant) []Call {
	p.retryBudget.AddTokens(retryRefillPerSecond * now.Sub(p.budgetRefilledAt).Seconds())
	p.budgetRefilledAt, p.lastDispatch = now, now
	p.expireResults(now)
	p.dropExpiredJobs(now)
	p.demoteLateJobs(now)
	p.recordInputsRead(now)
	p.requeueOverdueCalls(now)
	var calls []Call
	slots := p.slots(now)
	for i := range slots {
		s := &slots[i]
		if s.freeAt > now || len(p.queue) == 0 || !p.ensureMemoryKnown(now, s.upstream) || !p.isWorthwhile(now, s, slots) {
			continue
		}
		selected := p.selectPieces(now, s, slots)
		if len(selected) == 0 {
			p.refreshMemory(now, s.upstream)
			continue
		}
		calls = append(calls, p.startCall(now, s.upstream, selected))
		s.freeAt = now.Add(p.slotCallTime(s, len(selected)))
	}
	return calls
}

// isWorthwhile reports whether an upstream should get work. A slow one should only if faster ones
// could not finish all waiting pieces before it would finish its share.
func (p *Pool) isWorthwhile(now clock.Instant, s *slot, slots []slot) bool {
	if s.slowness <= slowThreshold {
		return true
	}
	waiting := p.WaitingPieces()
	end := now.Add(p.slotCallTime(s, min(waiting, p.batch.MaxPieces)))
	for i := range slots {
		other := &slots[i]
		if other.upstream == s.upstream || other.slowness >= s.slowness {
			continue
		}
		rounds := int(end.Sub(other.freeAt) / p.slotCallTime(other, p.batch.MaxPieces))
		waiting -= max(rounds, 0) * p.batch.MaxPieces
		if rounds == 0 && other.freeAt.Add(p.slotCallTime(other, 1)).Before(end) {
			waiting -= p.batch.MaxPieces
		}
	}
	return waiting > 0
}

// pieceRef refers to one waiting piece of a job.
type pieceRef struct {
	job   *job
	index int
}

// selectPieces takes jobs in queue order up to the limits of a call and the free memory of the
// upstream. Each piece fetches all inputs of its job, so jobs of the upstream's zone are taken
// first, and others only if their own zone cannot finish them in time. A job is split only if it is
// too large for one call, or if there is memory to spare: partial results would occupy the memory
// that the next batch needs.
func (p *Pool) selectPieces(now clock.Instant, s *slot, slots []slot) []pieceRef {
	var selected []pieceRef
	freeBytes := s.freeBytes
	for _, j := range p.queue {
		if s.upstream.failures > 0 && len(selected) > 0 {
			// Send only one job, to probe whether the upstream has recovered.
			return selected
		}
		if j.Zone == "" || j.Zone == s.upstream.Zone {
			selected, freeBytes = p.addPieces(now, j, selected, freeBytes)
		}
	}
	backlog := map[string]int{}
	for _, j := range p.queue {
		if len(selected) >= p.batch.MaxPieces || (s.upstream.failures > 0 && len(selected) > 0) {
			break
		}
		if j.Zone == "" || j.Zone == s.upstream.Zone {
			continue
		}
		backlog[j.Zone] += j.waitingPieces()
		if p.mayUseOtherZone(now, j, backlog[j.Zone], slots) {
			selected, freeBytes = p.addPieces(now, j, selected, freeBytes)
		}
	}
	return selected
}

// addPieces adds the waiting pieces of a job if they fit. A large job may be added in part to
// an empty call.
func (p *Pool) addPieces(now clock.Instant, j *job, selected []pieceRef, freeBytes int64) ([]pieceRef, int64) {
	if j.late && p.batch.ResultMemoryBytes > 0 && freeBytes < int64(lateMinFreeFraction*float64(p.batch.ResultMemoryBytes)) {
		return selected, freeBytes
	}
	n := j.waitingPieces()
	maxPieces := p.batch.MaxPieces - len(selected)
	if p.batch.ResultMemoryBytes > 0 && j.ResultBytes > 0 {
		fitInMemory := int(max(freeBytes, 0) / j.ResultBytes)
		if fitInMemory < n && fitInMemory < maxPieces {
			p.memoryLimitedAt = now
			if len(selected) == 0 {
				p.memoryBoundAt = now
			}
		}
		maxPieces = min(maxPieces, fitInMemory)
	}
	if n > maxPieces && (len(selected) > 0 || !p.isLargeJob(j, n)) && !p.maySplit(j, maxPieces, freeBytes) {
		return selected, freeBytes
	}
	for i := range j.pieces {
		if maxPieces == 0 {
			break
		}
		if j.pieces[i].state == pieceWaiting {
			selected = append(selected, pieceRef{j, i})
			freeBytes -= j.ResultBytes
			maxPieces--
		}
	}
	return selected, freeBytes
}

// maySplit reports whether the first pieces of a job may fill a call up, so that the rest waits for
// the next one. The job ends no later: without them it would wait for the next call as a whole. But
// its first results occupy memory meanwhile, so there must be enough for another full call.
func (p *Pool) maySplit(j *job, pieces int, freeBytes int64) bool {
	return p.batch.ResultMemoryBytes == 0 || freeBytes >= int64(pieces+p.batch.MaxPieces)*j.ResultBytes
}

// lateMinFreeFraction is the fraction of the memory that late jobs leave free for jobs that can
// still be on time.
const lateMinFreeFraction = 0.5

// isLargeJob reports whether the pieces would not fit into an empty call, or would need more
// than half of the memory.
func (p *Pool) isLargeJob(j *job, pieces int) bool {
	return pieces > p.batch.MaxPieces || (p.batch.ResultMemoryBytes > 0 && 2*int64(pieces)*j.ResultBytes > p.batch.ResultMemoryBytes)
}

// mayUseOtherZone reports whether the upstreams of the job's zone cannot finish the job in
// time. backlog is the number of waiting pieces of that zone up to and including the job.
func (p *Pool) mayUseOtherZone(now clock.Instant, j *job, backlog int, slots []slot) bool {
	limit := j.Due
	if j.late {
		limit = now.Add(2 * p.callTime(p.batch.MaxPieces))
	}
	var zoneSlots []*slot
	for i := range slots {
		if slots[i].upstream.Zone == j.Zone {
			zoneSlots = append(zoneSlots, &slots[i])
		}
	}
	if len(zoneSlots) == 0 {
		return true
	}
	rounds := (backlog - 1) / (p.batch.MaxPieces * len(zoneSlots))
	for _, s := range zoneSlots {
		callTime := p.slotCallTime(s, p.batch.MaxPieces)
		if !s.freeAt.Add(time.Duration(rounds+1) * callTime).After(limit) {
			return false
		}
	}
	return true
}

func (p *Pool) startCall(now clock.Instant, u *upstream, pieces []pieceRef) Call {
	p.lastCallID++
	running := &runningCall{startedAt: now, expectedTime: p.callTime(len(pieces))}
	call := Call{ID: p.lastCallID, Upstream: u.ID}
	readAt := now.Add(p.batch.CallTime / inputReadDivisor)
	if now < max(p.previousCallsUntil, u.contendedUntil, u.outOfMemoryUntil) {
		// The call may wait behind another one, or its results may find no memory, in which
		// case its inputs are needed again.
		readAt = now.Add(time.Hour)
	}
	for _, ref := range pieces {
		// A job may be split over several calls; the inputs are needed until the last one has
		// read them.
		ref.job.inputsReadAt = max(ref.job.inputsReadAt, readAt)
		jobPiece := &ref.job.pieces[ref.index]
		jobPiece.state, jobPiece.call = pieceRunning, p.lastCallID
		jobPiece.attempts++
		running.reservedBytes += ref.job.ResultBytes
		call.Pieces = append(call.Pieces, CallPiece{
			Job: ref.job.id, Request: ref.job.Request, Stage: ref.job.Stage, Piece: ref.index,
			Key: ref.job.Key, Inputs: ref.job.Inputs, TimeLeft: ref.job.Deadline.Sub(now),
		})
	}
	expected := time.Duration(float64(running.expectedTime) * u.currentSlowness(now))
	call.Timeout = callTimeoutFactor*expected + callTimeoutSlack
	running.call = call
	u.calls[call.ID] = running
	u.usedBytes += running.reservedBytes
	u.freeAt = now.Add(time.Duration(float64(running.expectedTime) * u.nextSlowness(now)))
	u.statedPace = 0
	return call
}

// demoteLateJobs moves jobs that can no longer meet their due time behind those that can.
// Otherwise one burst would make every following job late by the same amount.
func (p *Pool) demoteLateJobs(now clock.Instant) {
	changed := false
	for _, j := range p.queue {
		if !j.late && j.hasWaitingPieces() && now.Add(p.expectedCallTime()).After(j.Due) {
			j.late, changed = true, true
		}
	}
	if changed {
		slices.SortFunc(p.queue, compareJobPriority)
	}
}

// requeueOverdueCalls returns the pieces of overdue calls to the queue, so that another
// upstream may run them. The first result of a piece is used.
func (p *Pool) requeueOverdueCalls(now clock.Instant) {
	for _, id := range p.upstreamIDs {
		u := p.upstreams[id]
		for _, running := range u.calls {
			if running.overdue || now < running.overdueAt() {
				continue
			}
			running.overdue = true
			u.recordSlowness(now, float64(now.Sub(running.startedAt))/float64(running.expectedTime))
			for _, callPiece := range running.call.Pieces {
				p.requeuePiece(callPiece)
			}
		}
	}
}

func (p *Pool) requeuePiece(callPiece CallPiece) {
	j := p.jobs[callPiece.Job]
	if j == nil || j.ended {
		return
	}
	jobPiece := &j.pieces[callPiece.Piece]
	if jobPiece.state == pieceRunning && jobPiece.call != 0 && jobPiece.attempts < maxAttempts && p.retryBudget.TryWithdraw() {
		jobPiece.state = pieceWaiting
	}
}

// overdueAt returns when the pieces of a call are requeued.
func (r *runningCall) overdueAt() clock.Instant {
	return r.startedAt.Add(time.Duration(overdueFactor*float64(r.expectedTime)) + overdueSlack)
}

// expectedCallTime returns the expected duration of a call that starts now.
func (p *Pool) expectedCallTime() time.Duration {
	return max(p.callTime(1), min(p.meanCallTime, p.callTime(p.batch.MaxPieces)))
}

// recordInputsRead collects the jobs whose inputs have been read.
func (p *Pool) recordInputsRead(now clock.Instant) {
	for _, j := range p.queue {
		if !j.KeepInputs && !j.inputsReadReported && j.inputsReadAt != 0 && now >= j.inputsReadAt && !j.hasWaitingPieces() {
			j.inputsReadReported = true
			p.inputsRead = append(p.inputsRead, j.id)
		}
	}
}

// dropExpiredJobs ends jobs that can no longer finish before their deadline, also because all
// upstreams are blocked until then.
func (p *Pool) dropExpiredJobs(now clock.Instant) {
	for i := 0; i < len(p.queue); {
		j := p.queue[i]
		if !j.hasRunningPieces() && now.Add(p.callTime(1)).After(j.Deadline) {
			p.finishJob(j, Overloaded, true)
			continue
		}
		if !j.hasRunningPieces() && p.isPausedBeyond(now, j.Deadline) {
			p.finishJob(j, Paused, true)
			continue
		}
		i++
	}
}

// expireResults removes results that their upstream has deleted by now.
func (p *Pool) expireResults(now clock.Instant) {
	for handle, h := range p.heldResults {
		if now.After(h.expires) {
			p.removeHeldResult(handle)
		}
	}
}

// NextDispatch returns when Dispatch should be called next if nothing changes, and false if the
// queue is empty.
func (p *Pool) NextDispatch(now clock.Instant) (clock.Instant, bool) {
	if len(p.queue) == 0 {
		return 0, false
	}
	next := now.Add(maxDispatchInterval)
	for _, j := range p.queue {
		if !j.KeepInputs && !j.inputsReadReported && j.inputsReadAt > now {
			next = min(next, j.inputsReadAt)
		}
	}
	for _, id := range p.upstreamIDs {
		u := p.upstreams[id]
		if u.inService && u.backoffUntil > now {
			next = min(next, u.backoffUntil)
		}
		if u.inService && p.blocks[id] > now {
			next = min(next, p.blocks[id])
		}
		for _, running := range u.calls {
			if at := running.overdueAt(); !running.overdue && at > now {
				next = min(next, at)
			}
		}
	}
	return next, true
}

// isMemoryShort reports whether results should be released before the stages that read them have
// ended.
func (p *Pool) isMemoryShort(now clock.Instant) bool {
	return p.memoryLimitedAt != 0 && now.Sub(p.memoryLimitedAt) < memoryShortDuration
}

// memoryShortDuration is how long after a shortage of memory results are released early. It is
// longer than the results of one call stay.
const memoryShortDuration = 3 * time.Second

// memoryBoundDuration is how long the pool counts as memory-bound after a shortage of memory
// limited a call.
const memoryBoundDuration = 500 * time.Millisecond

// maxDispatchInterval bounds the time between two calls of Dispatch while jobs are queued.
const maxDispatchInterval = 50 * time.Millisecond
