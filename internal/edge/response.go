package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// bufferedResponse is an upstream's response that is not a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   *body
}

// relayResponse reads the whole response before it forwards any of it, so that another
// upstream can be tried if the response is incomplete or too large. cancel ends the exchange.
func (t *transaction) relayResponse(upstreamLease *lease, exchange *outbound.Exchange, cancel context.CancelFunc) (attemptOutcome, *bufferedResponse, string) {
	responseBody, err := t.s.responseMemory.readResponse(t.ctx, exchange.Body, exchange.ContentLength, cancel)
	if err != nil {
		responseBody.release()
		if t.ctx.Err() != nil {
			return attemptAborted, nil, err.Error()
		}
		if errors.Is(err, errBodyRevoked) {
			// The upstream is not at fault if the body would have ended.
			t.s.metrics.bodiesRevoked.Inc()
			return attemptBroken, nil, err.Error()
		}
		if upstreamLease.recordPathFailure(err) {
			return attemptBroken, nil, err.Error()
		}
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		t.s.checkForCrash(t, upstreamLease.entry)
		return attemptBroken, nil, err.Error()
	}
	isUnframedAndEmpty := exchange.EndsWithConnection && responseBody.size() == 0
	if isUnframedAndEmpty {
		// The upstream may have died after the head. A server that has no body to send says so.
		t.s.checkForCrash(t, upstreamLease.entry)
	}
	if isUnframedAndEmpty && exchange.Status < http.StatusBadRequest {
		responseBody.release()
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, "the connection ended before the body"
	}
	response := &bufferedResponse{status: exchange.Status, header: responseHeader(exchange.Header), body: responseBody}
	if statusMeansNotRun(response.status) {
		// The upstream did not say so in a way that counts, and must not seem to.
		response.release()
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, "status " + strconv.Itoa(response.status) + " that is no answer of the upstream"
	}
	if exchange.Status >= http.StatusInternalServerError {
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptFailed, response, http.StatusText(response.status)
	}
	elapsed := t.s.now().Sub(upstreamLease.started)
	t.s.durations.recordFinalCall(t.route.Name, elapsed)
	if exchange.Status < http.StatusMultipleChoices {
		// Upstreams send other statuses before they begin to run a request.
		t.recordCompleteAnswer(upstreamLease, exchange)
	}
	expected := float64(max(t.route.Objective/expectedTimeDivisor, time.Millisecond))
	upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordSuccess(now, float64(elapsed)/expected) })
	response.writeTo(t)
	return attemptDone, nil, ""
}

// expectedTimeDivisor divides the objective to give the expected time of a response.
const expectedTimeDivisor = 3

// statusMeansNotRun reports whether a status tells the caller that the request did not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeTo writes the response to the caller and releases its body.
func (b *bufferedResponse) writeTo(t *transaction) {
	defer b.body.release()
	header := t.w.Header()
	for name, values := range b.header {
		header[name] = values
	}
	if size := b.body.size(); size > 0 {
		header.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	t.writeHeader(b.status)
	for _, part := range b.body.parts {
		if _, err := t.w.Write(part); err != nil {
			t.s.logger.Info("response not delivered", zap.String("request", t.requestInfo.ID), obs.ErrorField(err))
			return
		}
	}
}

// release releases the body of a response that is not forwarded.
func (b *bufferedResponse) release() {
	if b != nil {
		b.body.release()
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// responseHeader returns the header of an upstream's response as sent to the caller.
func responseHeader(from http.Header) http.Header {
	header := from.Clone()
	removeHopByHopHeaders(header)
	return header
}

// removeHopByHopHeaders removes the headers that apply to a single connection.
func removeHopByHopHeaders(header http.Header) {
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// RequestHeader returns the header of a caller's request without hop-by-hop headers and
// without Content-Length and Expect, since the body is sent as a whole.
func RequestHeader(from http.Header) http.Header {
	header := from.Clone()
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	return header
}
