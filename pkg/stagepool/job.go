package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Job is one stage of one request.
type Job struct {
	Request string
	Stage   int
	Pieces  int
	// Key identifies the content of the request; it is used by stages without inputs.
	Key string
	// Inputs are the handles of all results that the stage needs.
	Inputs []string
	// KeepInputs is set if the inputs are kept until the job has ended, so that a piece that
	// failed can run again. Otherwise they count as read soon after the calls have begun, since
	// the pool that made them is short of memory.
	KeepInputs bool
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// Zone is the zone that holds the inputs or needs the results; empty if any zone will do.
	Zone string
	// Due is when the stage should be done for the request to meet its latency objective.
	Due clock.Instant
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Deadline is when the results of the stage become useless.
	Deadline clock.Instant
}

// priorityStep is how much later than its due time a job counts in the order of the queue, for
// each rank below the highest. Without waiting jobs it has no effect; under overload the jobs of
// lower rank are the ones that cannot be on time, and only jobs that wait for long overtake.
const priorityStep = 300 * time.Millisecond

// maxPriority bounds the ranks that are told apart.
const maxPriority = 29

// orderTime returns the time by which a stage is ordered in the queue.
func orderTime(due clock.Instant, priority int) clock.Instant {
	return due.Add(time.Duration(min(max(priority, 0), maxPriority)) * priorityStep)
}

// JobID identifies a job of one Pool.
type JobID uint64

// Refusal says why a job ended without results.
type Refusal uint8

const (
	// NoRefusal means that the job has all of its results.
	NoRefusal Refusal = iota
	// Overloaded means that the pool cannot run the job before its deadline.
	Overloaded
	// InputsMissing means that an input of the job no longer exists.
	InputsMissing
	// Failed means that the pieces of the job failed too often.
	Failed
	// NoUpstream means that the pool has no upstream in service.
	NoUpstream
	// OwnerChanged means that another VM owns the pool now and no piece of the job was sent.
	OwnerChanged
	// Paused means that all upstreams of the pool ask for no traffic.
	Paused
)

// JobOutcome is the result of a job.
type JobOutcome struct {
	Job     JobID
	Handles []string
	Refusal Refusal
	// MemoryShort is set if the pool needs the memory of the results back as soon as possible.
	MemoryShort bool
}

// pieceState is the state of a piece of a job.
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
	// call is the latest call that contained the piece.
	call CallID
}

// job is a job that has not ended, or whose pieces are still running.
type job struct {
	Job
	id         JobID
	pieces     []piece
	donePieces int
	// late jobs cannot meet their due time and are queued after all others.
	late bool
	// inputsReadAt is when the upstreams will have read the inputs; 0 until a piece is sent.
	inputsReadAt       clock.Instant
	inputsReadReported bool
	// ended jobs stay until their running pieces end, whose results are released at once.
	ended bool
}

// hasWaitingPieces reports whether some piece is waiting to be sent.
func (j *job) hasWaitingPieces() bool { return j.waitingPieces() > 0 }

// waitingPieces returns the number of pieces that are waiting to be sent.
func (j *job) waitingPieces() int {
	n := 0
	for i := range j.pieces {
		if j.pieces[i].state == pieceWaiting {
			n++
		}
	}
	return n
}

// started reports whether any piece was ever sent.
func (j *job) started() bool { return j.inputsReadAt != 0 }

func (j *job) hasRunningPieces() bool {
	for i := range j.pieces {
		if j.pieces[i].state == pieceRunning {
			return true
		}
	}
	return false
}
