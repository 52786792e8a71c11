package edge

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// maxAnswerBytes bounds an answer that is not a stream.
const maxAnswerBytes = 32 << 20

// wholeAnswer is an upstream's answer that is not a stream.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// whole reads the answer before any of it is passed on, so that a broken one can be
// replaced.
func (t *transaction) whole(taken *lease, exchange *outbound.Exchange, verdict Verdict) (attemptOutcome, *wholeAnswer, string) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Newf("the answer has over %d bytes", maxAnswerBytes)
	}
	if err != nil {
		if t.ctx.Err() != nil {
			return attemptAborted, nil, err.Error()
		}
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, err.Error()
	}
	answer := &wholeAnswer{status: exchange.Status, header: answerHeader(exchange.Header), body: body}
	if exchange.Status >= http.StatusInternalServerError {
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		if !verdict.Sealed || isPromise(answer.status) {
			// Without a proof it is not the upstream's answer, and a status that promises
			// that the request did not run must not pass.
			return attemptBroken, nil, "status " + http.StatusText(answer.status) + " that is no answer of the upstream"
		}
		return attemptFailed, answer, http.StatusText(answer.status)
	}
	if exchange.Status < 300 && !verdict.Sealed {
		return attemptBroken, nil, "the answer has no proof"
	}
	elapsed := float64(t.s.now().Sub(taken.started))
	expected := float64(max(t.route.Objective/expectedPart, time.Millisecond))
	taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordSuccess(now, elapsed/expected) })
	answer.write(t)
	return attemptDone, nil, ""
}

// expectedPart is the part of the objective that an answer normally takes.
const expectedPart = 3

// isPromise reports whether a status says that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *wholeAnswer) write(t *transaction) {
	header := t.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	t.w.WriteHeader(a.status)
	if _, err := t.w.Write(a.body); err != nil {
		t.s.logger.Info("answer not delivered", zap.String("request", t.call.ID), obs.Reason(err))
	}
}

// hopHeaders concern one connection alone.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// answerHeader returns the header of an upstream's answer for the caller.
func answerHeader(from http.Header) http.Header {
	header := from.Clone()
	removeHop(header)
	return header
}

// removeHop removes the headers that concern one connection.
func removeHop(header http.Header) {
	for _, listed := range header["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// RequestHeader returns the header of a caller's request without what concerns one
// connection or the length of the body, which the system sends whole.
func RequestHeader(from http.Header) http.Header {
	header := from.Clone()
	removeHop(header)
	header.Del("Content-Length")
	header.Del("Expect")
	return header
}
