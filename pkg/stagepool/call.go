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
	// Left is the time after which the result is of no use.
	Left time.Duration
}

// CallEnd says how a call ended as a whole.
type CallEnd uint8

const (
	// Answered calls have a result for each piece.
	Answered CallEnd = iota
	// Rejected calls did not run since the upstream had no place.
	Rejected
	// Misdirected calls reached another upstream, which did not run them.
	Misdirected
	// Broken calls may have run, and their results are lost.
	Broken
	// Unsent calls reached no upstream.
	Unsent
)

// PieceEnd says how one piece of an answered call ended.
type PieceEnd uint8

const (
	// PieceMade pieces have a handle.
	PieceMade PieceEnd = iota
	// PieceLate pieces were dropped since their time was over.
	PieceLate
	// PieceInputGone pieces lack an input.
	PieceInputGone
	// PieceNoRoom pieces found no memory for their result.
	PieceNoRoom
	// PieceFailed pieces failed.
	PieceFailed
)

// PieceResult is the result of one piece.
type PieceResult struct {
	End    PieceEnd
	Handle string
}
