package stagepool

import "time"

// CallID identifies a call of one Pool.
type CallID uint64

// Call is a batch of pieces to send to one upstream.
type Call struct {
	ID       CallID
	Upstream string
	Pieces   []CallPiece
	// Timeout is the time after which the call is given up.
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
	// TimeLeft is the time after which the result is of no use.
	TimeLeft time.Duration
}

// CallOutcome says how a call ended as a whole.
type CallOutcome uint8

const (
	// CallAnswered calls have a result for each piece.
	CallAnswered CallOutcome = iota
	// CallRejected calls did not run since the upstream had no place.
	CallRejected
	// CallMisdirected calls reached another upstream, which did not run them.
	CallMisdirected
	// CallFailed calls may have run, and their results are lost.
	CallFailed
	// CallNotSent calls reached no upstream.
	CallNotSent
)

// PieceOutcome says how one piece of an answered call ended.
type PieceOutcome uint8

const (
	// PieceSucceeded pieces have a handle.
	PieceSucceeded PieceOutcome = iota
	// PieceExpired pieces were dropped since their time was over.
	PieceExpired
	// PieceInputMissing pieces lack an input.
	PieceInputMissing
	// PieceOutOfMemory pieces found no memory for their result.
	PieceOutOfMemory
	// PieceFailed pieces failed.
	PieceFailed
)

// PieceResult is the result of one piece.
type PieceResult struct {
	Outcome PieceOutcome
	Handle  string
}
