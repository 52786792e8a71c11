package stagepool

import "time"

// CallID identifies a call of one Pool.
type CallID uint64

// Call is a batch of pieces to send to one upstream.
type Call struct {
	ID       CallID
	Upstream string
	Pieces   []CallPiece
	// Timeout is the time after which the call is abandoned.
	Timeout time.Duration
}

// CallPiece is one piece of a call.
type CallPiece struct {
	Job     JobID
	Request string
	Stage   int
	Piece   int
	Key     string
	Inputs  []string
	// TimeLeft is the time until the deadline of the piece's job.
	TimeLeft time.Duration
}

// CallOutcome says how a call ended as a whole.
type CallOutcome uint8

const (
	// CallAnswered means that the response has a result for each piece.
	CallAnswered CallOutcome = iota
	// CallRejected means that the upstream had no capacity and did not run the call.
	CallRejected
	// CallPaused means that the upstream asked for no traffic. That is no failure of the upstream.
	CallPaused
	// CallWithheld means that the call was not sent, since the upstream was found to be blocked after
	// the call was dispatched. That is no failure of the upstream.
	CallWithheld
	// CallMisdirected means that the call reached another upstream, which did not run it.
	CallMisdirected
	// CallFailed means that the call may have run but its results are lost.
	CallFailed
	// CallNotSent means that the call reached no upstream.
	CallNotSent
)

// PieceOutcome says how one piece of an answered call ended.
type PieceOutcome uint8

const (
	// PieceSucceeded means that the result has a handle.
	PieceSucceeded PieceOutcome = iota
	// PieceExpired means that the upstream dropped the piece because its deadline had passed.
	PieceExpired
	// PieceInputMissing means that an input no longer exists.
	PieceInputMissing
	// PieceOutOfMemory means that the upstream had no memory for the result.
	PieceOutOfMemory
	// PieceFailed means that running the piece failed.
	PieceFailed
)

// PieceResult is the result of one piece.
type PieceResult struct {
	Outcome PieceOutcome
	// Handle identifies the result; it is set if the piece succeeded.
	Handle string
}
