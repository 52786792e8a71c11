package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// CallLoad is what an upstream said about its calls when it answered one, without that one.
type CallLoad struct {
	Running int
	Waiting int
}

// FinishCall takes over the end of a call. Results has an entry for each piece of an answered
// call; load is nil if the upstream said nothing.
func (p *Pool) FinishCall(now clock.Instant, upstreamID string, id CallID, end CallOutcome, results []PieceResult, load *CallLoad) {
	u := p.upstreams[upstreamID]
	if u == nil || u.calls[id] == nil {
		return
	}
	running := u.calls[id]
	delete(u.calls, id)
	u.used -= running.reserved
	u.freeAt = now
	p.judge(now, u, running, end)
	if end == CallRejected || (load != nil && load.Running+load.Waiting > len(u.calls)) {
		u.sharedUntil = now.Add(sharedTime)
	}
	made := 0
	for i, item := range running.call.Pieces {
		result := PieceResult{Outcome: PieceFailed}
		if end == CallAnswered && i < len(results) {
			result = results[i]
		}
		if result.Outcome == PieceOutOfMemory {
			p.foundNoRoom(now, u)
		}
		if result.Outcome == PieceSucceeded {
			made++
		}
		p.pieceDone(now, u, id, item, end, result)
	}
	if end == CallAnswered && made == 0 && len(running.call.Pieces) > 0 {
		u.pausedUntil = max(u.pausedUntil, now.Add(rejectedBackoff))
	}
}

// judge updates what is known of the upstream.
func (p *Pool) judge(now clock.Instant, u *upstream, running *runningCall, end CallOutcome) {
	switch end {
	case CallAnswered:
		u.failures = 0
		p.typicalCall += (now.Sub(running.started) - p.typicalCall) / typicalCalls
		p.made.add(now, len(running.call.Pieces))
		u.measure(now, float64(now.Sub(running.started))/float64(max(running.expected, time.Millisecond)))
	case CallRejected:
		u.pausedUntil = max(u.pausedUntil, now.Add(rejectedBackoff))
	case CallMisdirected, CallFailed, CallNotSent:
		u.failed(now)
	}
}

// typicalCalls is the number of calls over which the typical time is averaged.
const typicalCalls = 8

func (p *Pool) pieceDone(now clock.Instant, u *upstream, id CallID, item CallPiece, end CallOutcome, result PieceResult) {
	j := p.jobs[item.Job]
	if result.Outcome == PieceSucceeded {
		p.hold(now, u, result.Handle, j)
	}
	if j == nil || j.pieces[item.Piece].state == pieceDone || j.ended {
		p.discard(j, item, id, result)
		return
	}
	state := &j.pieces[item.Piece]
	if result.Outcome == PieceSucceeded {
		state.state, state.handle = pieceDone, result.Handle
		j.done++
		if j.done == len(j.pieces) {
			p.end(j, NoRefusal, true)
		}
		return
	}
	if state.call != id || state.state == pieceWaiting {
		// The piece was put back, and another call decides.
		return
	}
	state.state = pieceWaiting
	switch {
	case end == CallNotSent:
		state.attempts--
	case result.Outcome == PieceInputMissing:
		p.end(j, InputsMissing, true)
	case result.Outcome == PieceExpired:
		p.end(j, Overloaded, true)
	case end == CallAnswered && result.Outcome == PieceOutOfMemory:
		p.repeat(j, state, maxRoomAttempts)
	default:
		p.repeat(j, state, maxAttempts)
	}
}

// discard releases a result that nobody waits for.
func (p *Pool) discard(j *job, item CallPiece, id CallID, result PieceResult) {
	if result.Outcome == PieceSucceeded {
		p.Release([]string{result.Handle})
	}
	if j == nil {
		return
	}
	state := &j.pieces[item.Piece]
	if state.state == pieceRunning && state.call == id {
		state.state = pieceWaiting
	}
	if j.ended && !j.running() {
		delete(p.jobs, j.id)
	}
}

// maxRoomAttempts bounds how often a piece that finds no room is sent.
const maxRoomAttempts = 5

// repeat leaves the piece in the queue if it may be sent again.
func (p *Pool) repeat(j *job, state *piece, limit int) {
	if state.attempts >= limit || !p.budget.Take() {
		p.end(j, Failed, true)
	}
}

func (p *Pool) hold(now clock.Instant, u *upstream, handle string, j *job) {
	var bytes int64
	if j != nil {
		bytes = j.ResultBytes
	}
	u.used += bytes
	p.held[handle] = held{upstream: u.ID, bytes: bytes, expires: now.Add(p.batch.ResultTTL + releaseSlack)}
}
