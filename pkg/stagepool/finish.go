package stagepool

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// CallLoad is the number of calls that an upstream reported with a response, excluding the call
// that it answered.
type CallLoad struct {
	Running int
	Waiting int
	// Places is the number of calls that the upstream runs at a time; 0 if not stated.
	Places int
	// Pace is how long work takes at the upstream now, relative to the usual time; 0 if not stated.
	Pace float64
}

// FinishCall records the end of a call. results has an entry for each piece of an answered
// call; load is nil if the upstream reported none.
func (p *Pool) FinishCall(now clock.Instant, upstreamID string, id CallID, outcome CallOutcome, results []PieceResult, load *CallLoad) {
	u := p.upstreams[upstreamID]
	if u == nil || u.calls[id] == nil {
		return
	}
	running := u.calls[id]
	delete(u.calls, id)
	u.usedBytes -= running.reservedBytes
	u.freeAt = now
	if outcome == CallRejected || (load != nil && load.Running+load.Waiting > len(u.calls)) {
		u.contendedUntil = now.Add(contentionDuration)
	}
	u.recordPace(now, load)
	succeeded, outOfMemory := 0, false
	for i, callPiece := range running.call.Pieces {
		result := PieceResult{Outcome: PieceFailed}
		if outcome == CallAnswered && i < len(results) {
			result = results[i]
		}
		outOfMemory = outOfMemory || result.Outcome == PieceOutOfMemory
		if result.Outcome == PieceSucceeded {
			succeeded++
		}
		p.finishPiece(now, u, id, callPiece, outcome, result)
	}
	p.recordCall(now, u, running, outcome, succeeded)
	if outOfMemory {
		p.recordOutOfMemory(now, u)
	}
	if outcome == CallAnswered && succeeded == 0 && len(running.call.Pieces) > 0 {
		u.backoffUntil = max(u.backoffUntil, now.Add(rejectionBackoff))
	}
}

// recordCall updates the backoff and the speed estimates of the upstream after a call with the
// given number of results. The time of a call without results says nothing about the speed.
func (p *Pool) recordCall(now clock.Instant, u *upstream, running *runningCall, outcome CallOutcome, results int) {
	switch outcome {
	case CallAnswered:
		u.failures = 0
		if results == 0 {
			return
		}
		elapsed := now.Sub(running.startedAt)
		p.meanCallTime += (elapsed - p.meanCallTime) / meanCallTimeSamples
		p.completed.add(now, results)
		u.recordSlowness(now, float64(elapsed)/float64(max(p.callTime(results), time.Millisecond)))
	case CallRejected:
		u.backoffUntil = max(u.backoffUntil, now.Add(rejectionBackoff))
	case CallMisdirected, CallFailed, CallNotSent:
		u.recordFailure(now)
	}
}

// meanCallTimeSamples is the number of calls that the moving average of the call time covers.
const meanCallTimeSamples = 8

func (p *Pool) finishPiece(now clock.Instant, u *upstream, id CallID, callPiece CallPiece, outcome CallOutcome, result PieceResult) {
	j := p.jobs[callPiece.Job]
	if result.Outcome == PieceSucceeded {
		p.addHeldResult(now, u, result.Handle, j)
	}
	if j == nil || j.pieces[callPiece.Piece].state == pieceDone || j.ended {
		p.discardResult(j, callPiece, id, result)
		return
	}
	jobPiece := &j.pieces[callPiece.Piece]
	if result.Outcome == PieceSucceeded {
		jobPiece.state, jobPiece.handle = pieceDone, result.Handle
		j.donePieces++
		if j.donePieces == len(j.pieces) {
			p.finishJob(j, NoRefusal, true)
		}
		return
	}
	if jobPiece.call != id || jobPiece.state == pieceWaiting {
		// Another call already retries this piece and decides its outcome.
		return
	}
	jobPiece.state = pieceWaiting
	switch {
	case outcome == CallNotSent || outcome == CallWithheld:
		jobPiece.attempts--
	case result.Outcome == PieceInputMissing:
		p.finishJob(j, InputsMissing, true)
	case result.Outcome == PieceExpired:
		p.finishJob(j, Overloaded, true)
	case outcome == CallAnswered && result.Outcome == PieceOutOfMemory:
		p.retryOrFail(now, j, jobPiece, maxOutOfMemoryAttempts)
	default:
		p.retryOrFail(now, j, jobPiece, maxAttempts)
	}
}

// discardResult releases a result that is no longer needed.
func (p *Pool) discardResult(j *job, callPiece CallPiece, id CallID, result PieceResult) {
	if result.Outcome == PieceSucceeded {
		p.Release([]string{result.Handle})
	}
	if j == nil {
		return
	}
	jobPiece := &j.pieces[callPiece.Piece]
	if jobPiece.state == pieceRunning && jobPiece.call == id {
		jobPiece.state = pieceWaiting
	}
	if j.ended && !j.hasRunningPieces() {
		delete(p.jobs, j.id)
	}
}

// maxOutOfMemoryAttempts bounds how often a piece is sent if upstreams have no memory for its
// result.
const maxOutOfMemoryAttempts = 5

// retryOrFail leaves the piece in the queue if the attempt limit and the retry budget allow
// another attempt; otherwise the job fails.
func (p *Pool) retryOrFail(now clock.Instant, j *job, jobPiece *piece, limit int) {
	if jobPiece.attempts >= limit || !p.retryBudget.TryWithdraw() {
		p.finishJob(j, p.failure(now), true)
	}
}

func (p *Pool) addHeldResult(now clock.Instant, u *upstream, handle string, j *job) {
	var bytes int64
	if j != nil {
		bytes = j.ResultBytes
	}
	u.usedBytes += bytes
	p.heldResults[handle] = heldResult{upstream: u.ID, bytes: bytes, expires: now.Add(p.batch.ResultTTL + resultExpirySlack)}
}
