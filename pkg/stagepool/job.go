package stagepool

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// Job is one stage of one request.
type Job struct {
	Request string
	Stage   int
	Pieces  int
	// Key identifies the request's content for a stage without inputs.
	Key string
	// Inputs are the handles of all results that the stage needs.
	Inputs []string
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Zone is where the inputs are or the results are wanted; empty if it does not matter.
	Zone string
	// Due is when the stage should be done so that the request is on time.
	Due clock.Instant
	// Deadline is when the stage's results are of no use any more.
	Deadline clock.Instant
}

// JobID identifies a job of one Pool.
type JobID uint64

// Refusal says why a job ended without results.
type Refusal uint8

const (
	// NoRefusal means that all results are there.
	NoRefusal Refusal = iota
	// Overloaded means that the pool cannot run the job before its limit.
	Overloaded
	// InputsMissing means that a result that the job needs does not exist any more.
	InputsMissing
	// Failed means that the upstreams failed the job too often.
	Failed
	// NoUpstream means that the pool has no upstream in service.
	NoUpstream
	// OwnerChanged means that another VM owns the pool now; no piece of the job was sent.
	OwnerChanged
)

// JobOutcome is the end of a job.
type JobOutcome struct {
	Job     JobID
	Handles []string
	Refusal Refusal
}

// pieceState is where a piece of a job stands.
type pieceState uint8

const (
	pieceWaiting pieceState = iota
	pieceRunning
	pieceDone
)

// piece is one piece of a job.
type piece struct {
	state    pieceState
	handle   string
	attempts int
	// call is the latest call that the piece was sent in.
	call CallID
}

// job is a job that has not ended.
type job struct {
	Job
	id     JobID
	pieces []piece
	done   int
	// late jobs cannot be on time and come after all others.
	late bool
	// readAt is when the upstreams have read the inputs; 0 while a piece waits.
	readAt   clock.Instant
	reported bool
	// ended jobs wait only for pieces that are running, whose results are released at once.
	ended bool
}

// waiting reports whether a piece has not been sent.
func (j *job) waiting() bool { return j.waitingPieces() > 0 }

// waitingPieces returns the number of pieces that have not been sent.
func (j *job) waitingPieces() int {
	n := 0
	for i := range j.pieces {
		if j.pieces[i].state == pieceWaiting {
			n++
		}
	}
	return n
}

// begun reports whether a piece was sent.
func (j *job) begun() bool { return j.readAt != 0 }

func (j *job) running() bool {
	for i := range j.pieces {
		if j.pieces[i].state == pieceRunning {
			return true
		}
	}
	return false
}
