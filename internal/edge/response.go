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

// maxResponseBytes bounds the body of a response that is not a stream.
const maxResponseBytes = 32 << 20

// bufferedResponse is an upstream's response that is not a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayResponse reads the whole response before it forwards any of it, so that another
// upstream can be tried if the response is incomplete or too large.
func (t *transaction) relayResponse(upstreamLease *lease, exchange *outbound.Exchange, info ResponseInfo) (attemptOutcome, *bufferedResponse, string) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Newf("the answer has over %d bytes", maxResponseBytes)
	}
	if err != nil {
		if t.ctx.Err() != nil {
			return attemptAborted, nil, err.Error()
		}
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, err.Error()
	}
	response := &bufferedResponse{status: exchange.Status, header: responseHeader(exchange.Header), body: body}
	if exchange.Status >= http.StatusInternalServerError {
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		if !info.Sealed || statusMeansNotRun(response.status) {
			// Without a seal the response is not known to come from the upstream. A status
			// that tells the caller that the request did not run must not be forwarded.
			return attemptBroken, nil, "status " + http.StatusText(response.status) + " that is no answer of the upstream"
		}
		return attemptFailed, response, http.StatusText(response.status)
	}
	if exchange.Status < 300 && !info.Sealed {
		return attemptBroken, nil, "the answer has no proof"
	}
	elapsed := float64(t.s.now().Sub(upstreamLease.started))
	expected := float64(max(t.route.Objective/expectedTimeDivisor, time.Millisecond))
	upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordSuccess(now, elapsed/expected) })
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

func (b *bufferedResponse) writeTo(t *transaction) {
	header := t.w.Header()
	for name, values := range b.header {
		header[name] = values
	}
	t.w.WriteHeader(b.status)
	if _, err := t.w.Write(b.body); err != nil {
		t.s.logger.Info("response not delivered", zap.String("request", t.requestInfo.ID), obs.ErrorField(err))
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
