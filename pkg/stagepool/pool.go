// Package stagepool decides, at the one VM that owns a pool, which pieces of stages are
// sent to which upstream and when.
//
// A call takes most of its time whatever it holds, so full batches decide what a pool can
// do at the worst load. Pieces of all requests wait in one queue in the order in which
// they are due. Each batch goes to the upstream that would end it first, which leaves out
// upstreams that have become slow. A job that cannot end before its limit is refused when
// it arrives, and dropped before its pieces cost anything.
//
// A Pool is deterministic and not safe for concurrent use. Invariants:
//   - a piece is in at most one running call that is not overdue;
//   - results of jobs that ended are released;
//   - an upstream has at most the configured number of calls.
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
	// grantPerSecond is the part of the budget for repeated pieces that does not depend on
	// load. Together with a tenth of the pieces it stays below what operators allow, also
	// if two VMs take themselves for the owner.
	grantPerSecond = 2.0
	// readPart is the part of a call's fixed time after which its inputs have been read; the
	// upstream fetches them before it begins.
	readPart = 3
	// releaseSlack is added to the lifetime of results whose release got lost.
	releaseSlack = 200 * time.Millisecond
)

// ReleaseRequest is a set of results that one upstream may forget.
type ReleaseRequest struct {
	Upstream string
	Handles  []string
}

// held is a result that occupies memory.
type held struct {
	upstream string
	bytes    int64
	expires  clock.Instant
	// releasing is set while the upstream has not confirmed the release.
	releasing bool
}

// Pool is the state of one pool at its owner.
type Pool struct {
	batch     catalog.Batch
	upstreams map[string]*upstream
	// names is the sorted list of upstreams, so that iteration is deterministic.
	names    []string
	jobs     map[JobID]*job
	queue    []*job
	held     map[string]held
	budget   retry.Budget
	granted  clock.Instant
	nextJob  JobID
	nextCall CallID
	outcomes []JobOutcome
	frees    []ReleaseRequest
	read     []JobID
	asks     []string
	// reserved holds the stages that will be submitted later.
	reserved map[StageID]Reservation
	// typicalCall is the recent mean time of calls.
	typicalCall time.Duration
	// roomBoundAt is when an upstream was last idle for want of room.
	roomBoundAt clock.Instant
	made        throughput
	// blindUntil ends the time in which calls of an earlier owner may be under way.
	blindUntil clock.Instant
}

// New returns a pool without upstreams.
func New(now clock.Instant) *Pool {
	p := &Pool{upstreams: map[string]*upstream{}, jobs: map[JobID]*job{}, held: map[string]held{}, reserved: map[StageID]Reservation{}, granted: now}
	p.budget.Grant(10 * grantPerSecond)
	p.blindUntil = now.Add(blindTime)
	return p
}

// Configure sets the limits and the upstreams in service. Calls to others go on.
func (p *Pool) Configure(now clock.Instant, batch catalog.Batch, inService []Upstream) {
	batch.Concurrency, batch.MaxPieces = max(batch.Concurrency, 1), max(batch.MaxPieces, 1)
	p.batch = batch
	for _, u := range p.upstreams {
		u.inService = false
	}
	for _, entry := range inService {
		known := p.upstreams[entry.ID]
		if known == nil {
			known = &upstream{Upstream: entry, calls: map[CallID]*runningCall{}, slowness: 1, measuredAt: now}
			p.upstreams[entry.ID] = known
		}
		known.inService = true
	}
	p.names = p.names[:0]
	for name, u := range p.upstreams {
		if !u.inService && len(u.calls) == 0 {
			delete(p.upstreams, name)
			continue
		}
		p.names = append(p.names, name)
	}
	slices.Sort(p.names)
}

// Submit adds a job, or refuses it at once if it cannot end before its limit. A job that was
// promised a place is not refused, since other pools have worked for it by now. The second
// result is the expected end of the job.
func (p *Pool) Submit(now clock.Instant, submitted Job) (JobID, clock.Instant, Refusal) {
	id := StageID{Request: submitted.Request, Stage: submitted.Stage}
	_, isPromised := p.reserved[id]
	p.Unreserve(id)
	if !p.hasUpstream() {
		return 0, now, NoUpstream
	}
	late := false
	end := p.estimate(now, p.ahead(submitted.Due, false), submitted.Pieces, submitted.ResultBytes)
	if end.After(submitted.Due) {
		late = true
		end = p.estimate(now, p.ahead(submitted.Due, true), submitted.Pieces, submitted.ResultBytes)
	}
	if end.After(submitted.Deadline) && !isPromised {
		return 0, end, Overloaded
	}
	p.nextJob++
	j := &job{Job: submitted, id: p.nextJob, pieces: make([]piece, submitted.Pieces), late: late}
	p.jobs[j.id] = j
	at, _ := slices.BinarySearchFunc(p.queue, j, compareJobs)
	p.queue = slices.Insert(p.queue, at, j)
	for range j.pieces {
		p.budget.Deposit()
	}
	return j.id, end, NoRefusal
}

func compareJobs(a, b *job) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.Due, b.Due); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

func (p *Pool) hasUpstream() bool {
	for _, u := range p.upstreams {
		if u.inService {
			return true
		}
	}
	return false
}

// Cancel ends a job whose request has ended. Its results are released.
func (p *Pool) Cancel(id JobID) {
	if j := p.jobs[id]; j != nil && !j.ended {
		p.end(j, NoRefusal, false)
	}
}

// Release frees results that are not needed any more. It returns those that this owner does
// not know, since another VM owned the pool when they were made.
func (p *Pool) Release(handles []string) (unknown []string) {
	byUpstream := map[string][]string{}
	for _, handle := range handles {
		h, ok := p.held[handle]
		if !ok {
			unknown = append(unknown, handle)
			continue
		}
		if h.releasing {
			continue
		}
		h.releasing = true
		p.held[handle] = h
		byUpstream[h.upstream] = append(byUpstream[h.upstream], handle)
	}
	for _, name := range p.names {
		if freed := byUpstream[name]; len(freed) > 0 {
			p.frees = append(p.frees, ReleaseRequest{Upstream: name, Handles: freed})
		}
	}
	return unknown
}

// ConfirmReleased takes over that an upstream has released results, whose memory can be used again.
func (p *Pool) ConfirmReleased(handles []string) {
	for _, handle := range handles {
		p.forget(handle)
	}
}

func (p *Pool) forget(handle string) {
	h, ok := p.held[handle]
	if !ok {
		return
	}
	delete(p.held, handle)
	if u := p.upstreams[h.upstream]; u != nil {
		u.used -= h.bytes
	}
}

// Outcomes returns the jobs that ended since the last call.
func (p *Pool) Outcomes() []JobOutcome {
	out := p.outcomes
	p.outcomes = nil
	return out
}

// InputsRead returns the jobs whose inputs the upstreams have read since the last call. The
// inputs can be released, though the job has not ended; if a call is lost afterwards, the
// job ends with InputsGone.
func (p *Pool) InputsRead() []JobID {
	out := p.read
	p.read = nil
	return out
}

// ReleaseRequests returns the results to release since the last call.
func (p *Pool) ReleaseRequests() []ReleaseRequest {
	out := p.frees
	p.frees = nil
	return out
}

// WaitingPieces returns the number of pieces that wait.
func (p *Pool) WaitingPieces() int {
	waiting := 0
	for _, j := range p.queue {
		waiting += j.waitingPieces()
	}
	return waiting
}

// end finishes a job. Results are released unless they are handed to the request.
func (p *Pool) end(j *job, refusal Refusal, report bool) {
	j.ended = true
	if at := slices.Index(p.queue, j); at >= 0 {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
	if refusal == NoRefusal && report && !j.reported {
		j.reported = true
		p.read = append(p.read, j.id)
	}
	var handles []string
	for i := range j.pieces {
		if j.pieces[i].state == pieceDone {
			handles = append(handles, j.pieces[i].handle)
		}
	}
	if report {
		outcome := JobOutcome{Job: j.id, Refusal: refusal}
		if refusal == NoRefusal {
			outcome.Handles = handles
		}
		p.outcomes = append(p.outcomes, outcome)
	}
	if !report || refusal != NoRefusal {
		p.Release(handles)
	}
	if !j.running() {
		delete(p.jobs, j.id)
	}
}
