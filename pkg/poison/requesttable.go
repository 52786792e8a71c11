package poison

import (
	"encoding/binary"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// maxIncidentRequests bounds the requests kept of one crash.
	maxIncidentRequests = 128
	// minRequestOccasionShare is the share of the occasions since its first one that a request must
	// have. It is lower than that of parts, since requests that can't be repeated are not answered
	// after a crash, so that crashes of other causes stay unexplained.
	minRequestOccasionShare = 1.0 / 8
	// maxRequestCandidates is the number of requests, in flight at the same crashes, above which more
	// crashes are needed to tell which of them is the cause.
	maxRequestCandidates = 8
	// A crash says nothing about a request to which this VM has got frequentAnswers within recentTime: a
	// VM that is cut off from upstreams reports crashes that did not happen, and after a failure of all
	// upstreams of a pool nothing is answered for a moment. A request that begins to crash upstreams has
	// left this state before the third crash takes effect.
	frequentAnswers = 3
	recentTime      = 2 * time.Second
	// answerSlots is the number of requests whose latest answers are kept. A request takes the place of
	// another one now and then, which then counts as rarely answered until its next answers.
	answerSlots = 4096
)

// requestLimits are the limits of tables of whole requests. One request reaches several upstreams one after
// the other within an occasion, when it is sent again after a crash.
var requestLimits = partLimits{
	maxPrompts: maxIncidentRequests, minOccasionShare: minRequestOccasionShare, maxCandidates: maxRequestCandidates,
	neverAnswered: []evidence{{occasions: 2, crashes: 3}, {occasions: 1, crashes: 5}},
	answered:      []evidence{{occasions: 2, crashes: 4}},
}

// RequestKey identifies a request as a whole; it is the start of the fingerprint.
func (fp Fingerprint) RequestKey() Part { return Part(binary.BigEndian.Uint64(fp[:])) }

// RequestTable finds the requests that crash each upstream which runs them, by the keys of their
// fingerprints, from the crashes and answers that all VMs of a fleet report. It weighs the evidence as
// PartTable does, with each request as a prompt of one part:
//
// A crash puts all requests under suspicion that the upstream had not answered completely. An answer
// clears its request. One that remains after three crashes, or four if it was ever answered, on two
// separate occasions is blocked. It then explains the crashes: the other requests that were in flight are
// no longer under suspicion for them.
type RequestTable struct {
	table PartTable
	// suspects holds the requests that are under suspicion or blocked, so that an answer to another
	// one costs one look-up.
	suspects map[Part]bool
	// latest holds the latest answers, at a place that depends on the request.
	latest [answerSlots]latestAnswers
}

// latestAnswers are the times of the latest answers to one request, the last one first.
type latestAnswers struct {
	request Part
	at      [frequentAnswers]clock.Instant
}

// NewRequestTable returns an empty table.
func NewRequestTable() *RequestTable {
	return &RequestTable{table: PartTable{limits: &requestLimits}, suspects: map[Part]bool{}}
}

// RecordCrash records that an upstream crashed while it ran a request. The upstream is identified by one
// start of it. The key 0 is ignored.
func (t *RequestTable) RecordCrash(now clock.Instant, upstream string, request Part) {
	if request == 0 {
		return
	}
	if t.isAnsweredOften(now, request) {
		return
	}
	t.table.RecordCrash(now, upstream, []Part{request})
	t.suspects[request] = true
	t.forget()
}

// RecordAnswer records that a request was answered completely, and reports whether it was under suspicion
// or blocked.
func (t *RequestTable) RecordAnswer(now clock.Instant, request Part) (cleared bool) {
	if request == 0 {
		return false
	}
	t.table.answered.add(now, request)
	latest := &t.latest[request%answerSlots]
	if latest.request != request {
		*latest = latestAnswers{request: request}
	}
	copy(latest.at[1:], latest.at[:])
	latest.at[0] = now
	return t.clear(now, request)
}

// isAnsweredOften reports whether this VM has recently got many answers to a request.
func (t *RequestTable) isAnsweredOften(now clock.Instant, request Part) bool {
	latest := &t.latest[request%answerSlots]
	first := latest.at[frequentAnswers-1]
	return latest.request == request && first > 0 && now.Sub(first) < recentTime
}

// RecordClear records that another VM reports an answer to a request that was under suspicion there.
func (t *RequestTable) RecordClear(now clock.Instant, request Part) {
	if t.clear(now, request) {
		t.table.answered.add(now, request)
	}
}

func (t *RequestTable) clear(now clock.Instant, request Part) bool {
	if !t.suspects[request] {
		return false
	}
	delete(t.suspects, request)
	return t.table.clear(now, request)
}

// Check reports whether a request is blocked.
func (t *RequestTable) Check(now clock.Instant, request Part) bool {
	return t.suspects[request] && t.table.Check(now, []Part{request}) != nil
}

// Merge adds a block of another VM, and reports whether an answer known here refutes it, of which the
// other VM must learn.
func (t *RequestTable) Merge(now clock.Instant, b Block) (refuted bool) {
	if len(b.Parts) != 1 || b.Parts[0] == 0 {
		return false
	}
	if answeredAt, ok := t.table.answered.lastAdded(b.Parts[0]); ok && answeredAt < b.FirstCrash && now.Sub(answeredAt) >= 2*clearPrecedence {
		// This VM may have ignored the crashes, and the other one knows of no answer since.
		b.FirstCrash = max(b.FirstCrash, answeredAt.Add(clearPrecedence))
	}
	refuted = len(t.table.Merge(now, b)) > 0
	t.suspects[b.Parts[0]] = true
	t.forget()
	return refuted
}

// Blocks returns up to n blocks in force, the latest first, for other VMs.
func (t *RequestTable) Blocks(now clock.Instant, n int) []Block { return t.table.Blocks(now, n) }

// TakeNewlyBlocked returns the blocks that began since the last call.
func (t *RequestTable) TakeNewlyBlocked() []Block { return t.table.TakeNewlyBlocked() }

// forget bounds the suspects by those that crashes or blocks still concern.
func (t *RequestTable) forget() {
	if len(t.suspects) <= maxSuspects {
		return
	}
	clear(t.suspects)
	for _, in := range t.table.incidents {
		for _, part := range in.parts() {
			t.suspects[part] = true
		}
	}
	for _, b := range t.table.blocks {
		for _, part := range b.Parts {
			t.suspects[part] = true
		}
	}
}

// maxSuspects is twice the greatest number of requests that incidents and blocks hold, so that suspects are
// rebuilt rarely.
const maxSuspects = 2 * (maxIncidents*maxIncidentRequests + maxBlocks)
