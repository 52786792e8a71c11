// Package stagepool schedules the pieces of stages on the upstreams of a pool. It runs at the
// one VM that owns the pool.
//
// A stage of a request consists of pieces that run independently of each other. Each piece
// produces one result, which stays in the memory of the upstream that ran the piece. A handle
// identifies the result.
//
// Most of the duration of a call does not depend on the number of its pieces, so full batches
// determine the maximum throughput of a pool. The pieces of all requests wait in one queue,
// ordered by due time and priority. Each batch goes to the upstream that is expected to finish it first,
// which avoids upstreams that have become slow. A job that cannot end before its deadline is
// refused on arrival, or dropped later before it wastes work.
//
// A Pool is deterministic and not safe for concurrent use. Invariants:
//   - a piece is in at most one running call that is not overdue;
//   - results of ended jobs are released, unless they were reported with the outcome;
//   - an upstream runs at most the configured number of calls.
package stagepool

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/retry"
)

const (
	// maxAttempts bounds how often one piece is sent.
	maxAttempts = 3
	// retryRefillPerSecond is the number of retries per second that the budget allows regardless
	// of load. Together with a tenth of the pieces it stays below the operators' limit, even if
	// two VMs believe that they own the pool.
	retryRefillPerSecond = 2.0
	// inputReadDivisor sets when the inputs of a call count as read: after CallTime /
	// inputReadDivisor, since the upstream fetches them before it starts to compute.
	inputReadDivisor = 3
	// resultExpirySlack is added to the TTL of results, after which they count as expired even
	// if their release got lost.
	resultExpirySlack = 200 * time.Millisecond
)

// ReleaseRequest is a set of results that one upstream can delete.
type ReleaseRequest struct {
	Upstream string
	Handles  []string
}

// heldResult is a result that occupies memory at its upstream.
type heldResult struct {
	upstream string
	bytes    int64
	expires  clock.Instant
	// releasing is set until the upstream confirms the release.
	releasing bool
}

// Pool is the state of one pool at its owner.
type Pool struct {
	batch     catalog.Batch
	upstreams map[string]*upstream
	// upstreamIDs is sorted so that iteration is deterministic.
	upstreamIDs []string
	// suspectZones holds the zones that are probably cut off.
	suspectZones map[string]bool
	// blocks holds the ends of blocks by upstream.
	blocks           map[string]clock.Instant
	jobs             map[JobID]*job
	queue            []*job
	heldResults      map[string]heldResult
	retryBudget      retry.Budget
	budgetRefilledAt clock.Instant
	lastJobID        JobID
	lastCallID       CallID
	outcomes         []JobOutcome
	releaseRequests  []ReleaseRequest
	inputsRead       []JobID
	memoryQueries    []string
	// reservations holds the stages that will be submitted later.
	reservations map[StageID]Reservation
	// meanCallTime is the moving average of the call time.
	meanCallTime time.Duration
	// memoryBoundAt is when a shortage of memory last left an upstream without a call, and
	// memoryLimitedAt when it last left waiting pieces out of a call.
	memoryBoundAt   clock.Instant
	memoryLimitedAt clock.Instant
	// outOfMemoryAt is when an upstream last had no memory for a result, or when this owner began.
	outOfMemoryAt clock.Instant
	lastDispatch  clock.Instant
	completed     throughput
	startedAt     clock.Instant
	// previousCallsUntil is when calls of the previous owner have ended at the latest.
	previousCallsUntil clock.Instant
}

// New returns a pool without upstreams.
func New(now clock.Instant) *Pool {
	p := &Pool{upstreams: map[string]*upstream{}, jobs: map[JobID]*job{}, heldResults: map[string]heldResult{}, reservations: map[StageID]Reservation{}, budgetRefilledAt: now, startedAt: now, outOfMemoryAt: now}
	p.retryBudget.AddTokens(10 * retryRefillPerSecond)
	p.previousCallsUntil = now.Add(previousCallsDuration)
	return p
}

// Configure sets the limits and the upstreams in service. Running calls to other upstreams
// continue.
func (p *Pool) Configure(now clock.Instant, batch catalog.Batch, inService []Upstream) {
	batch.Concurrency, batch.MaxPieces = max(batch.Concurrency, 1), max(batch.MaxPieces, 1)
	p.batch = batch
	for _, u := range p.upstreams {
		u.inService = false
	}
	for _, entry := range inService {
		known := p.upstreams[entry.ID]
		if known == nil {
			known = &upstream{Upstream: entry, calls: map[CallID]*runningCall{}, slowness: 1, slownessMeasuredAt: now}
			p.upstreams[entry.ID] = known
		}
		known.inService = true
	}
	p.upstreamIDs = p.upstreamIDs[:0]
	for id, u := range p.upstreams {
		if !u.inService && len(u.calls) == 0 {
			delete(p.upstreams, id)
			continue
		}
		p.upstreamIDs = append(p.upstreamIDs, id)
	}
	slices.Sort(p.upstreamIDs)
}

// SetSuspectZones sets the zones that are probably cut off from the owner. Their upstreams get no
// work as long as there are others: each call would take until its connection times out, and then
// wait for another upstream.
func (p *Pool) SetSuspectZones(zones map[string]bool) { p.suspectZones = zones }

// Submit adds a job, or refuses it at once if it cannot end before its deadline. A job with a
// reservation is not refused for this reason, since other pools have already done work for its
// request. The second result is the expected end of the job, or the end of the pause for Paused.
func (p *Pool) Submit(now clock.Instant, submitted Job) (JobID, clock.Instant, Refusal) {
	id := StageID{Request: submitted.Request, Stage: submitted.Stage}
	_, hasReservation := p.reservations[id]
	p.CancelReservation(id)
	if !p.hasUpstream() {
		return 0, now, NoUpstream
	}
	if until, paused := p.pausedUntil(now); paused && (!hasReservation || p.isPausedBeyond(now, submitted.Due)) {
		return 0, until, Paused
	}
	late := false
	order := orderTime(submitted.Due, submitted.Priority)
	expectedEnd := p.estimateEnd(now, p.piecesAhead(order, false), submitted.Pieces, submitted.ResultBytes)
	if expectedEnd.After(submitted.Due) {
		late = true
		expectedEnd = p.estimateEnd(now, p.piecesAhead(order, true), submitted.Pieces, submitted.ResultBytes)
	}
	if expectedEnd.After(submitted.Deadline) && !hasReservation {
		return 0, expectedEnd, Overloaded
	}
	p.lastJobID++
	j := &job{Job: submitted, id: p.lastJobID, pieces: make([]piece, submitted.Pieces), late: late}
	p.jobs[j.id] = j
	at, _ := slices.BinarySearchFunc(p.queue, j, compareJobPriority)
	p.queue = slices.Insert(p.queue, at, j)
	for range j.pieces {
		p.retryBudget.Deposit()
	}
	return j.id, expectedEnd, NoRefusal
}

func compareJobPriority(a, b *job) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(orderTime(a.Due, a.Priority), orderTime(b.Due, b.Priority)); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// hasUpstream reports whether an upstream is in service.
func (p *Pool) hasUpstream() bool { return p.hasUpstreamOutside(nil) }

// hasUpstreamOutside reports whether an upstream outside of the zones is in service.
func (p *Pool) hasUpstreamOutside(zones map[string]bool) bool {
	for _, u := range p.upstreams {
		if u.inService && !zones[u.Zone] && p.blocks[u.ID] != NoEnd {
			return true
		}
	}
	return false
}

// Cancel ends a job whose request has ended, and releases its results.
func (p *Pool) Cancel(id JobID) {
	if j := p.jobs[id]; j != nil && !j.ended {
		p.finishJob(j, NoRefusal, false)
	}
}

// Release releases results that are no longer needed. It returns the handles that this owner
// does not know because another VM owned the pool when they were created.
func (p *Pool) Release(handles []string) (unknown []string) {
	byUpstream := map[string][]string{}
	for _, handle := range handles {
		h, ok := p.heldResults[handle]
		if !ok {
			unknown = append(unknown, handle)
			continue
		}
		if h.releasing {
			continue
		}
		h.releasing = true
		p.heldResults[handle] = h
		byUpstream[h.upstream] = append(byUpstream[h.upstream], handle)
	}
	for _, id := range p.upstreamIDs {
		if released := byUpstream[id]; len(released) > 0 {
			p.releaseRequests = append(p.releaseRequests, ReleaseRequest{Upstream: id, Handles: released})
		}
	}
	return unknown
}

// ConfirmReleased records that an upstream has deleted results, so that their memory can be
// reused.
func (p *Pool) ConfirmReleased(handles []string) {
	for _, handle := range handles {
		p.removeHeldResult(handle)
	}
}

func (p *Pool) removeHeldResult(handle string) {
	h, ok := p.heldResults[handle]
	if !ok {
		return
	}
	delete(p.heldResults, handle)
	if u := p.upstreams[h.upstream]; u != nil {
		u.usedBytes -= h.bytes
	}
}

// Outcomes returns the outcomes of the jobs that ended since the last call.
func (p *Pool) Outcomes() []JobOutcome {
	out := p.outcomes
	p.outcomes = nil
	return out
}

// InputsRead returns the jobs whose inputs the upstreams have read since the last call. The
// inputs can be released although the job has not ended; if a call is lost afterwards, the job
// ends with InputsMissing.
func (p *Pool) InputsRead() []JobID {
	out := p.inputsRead
	p.inputsRead = nil
	return out
}

// ReleaseRequests returns the releases to send to upstreams since the last call.
func (p *Pool) ReleaseRequests() []ReleaseRequest {
	out := p.releaseRequests
	p.releaseRequests = nil
	return out
}

// WaitingPieces returns the number of pieces that are waiting to be sent.
func (p *Pool) WaitingPieces() int {
	waiting := 0
	for _, j := range p.queue {
		waiting += j.waitingPieces()
	}
	return waiting
}

// finishJob ends a job. Its results are released unless they are reported with the outcome.
func (p *Pool) finishJob(j *job, refusal Refusal, reportOutcome bool) {
	j.ended = true
	if at := slices.Index(p.queue, j); at >= 0 {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
	if refusal == NoRefusal && reportOutcome && !j.inputsReadReported {
		j.inputsReadReported = true
		p.inputsRead = append(p.inputsRead, j.id)
	}
	var handles []string
	for i := range j.pieces {
		if j.pieces[i].state == pieceDone {
			handles = append(handles, j.pieces[i].handle)
		}
	}
	if reportOutcome {
		outcome := JobOutcome{Job: j.id, Refusal: refusal, MemoryShort: p.isMemoryShort(p.lastDispatch)}
		if refusal == NoRefusal {
			outcome.Handles = handles
		}
		p.outcomes = append(p.outcomes, outcome)
	}
	if !reportOutcome || refusal != NoRefusal {
		p.Release(handles)
	}
	if !j.hasRunningPieces() {
		delete(p.jobs, j.id)
	}
}
