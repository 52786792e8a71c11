package edge

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// relayStream forwards complete events as they arrive. An incomplete event at the end of a
// broken stream is dropped, so that another upstream can resume the stream.
func (t *transaction) relayStream(upstreamLease *lease, exchange *outbound.Exchange, progress *progressTimer) (attemptOutcome, *bufferedResponse, string) {
	reader := bufio.NewReader(exchange.Body)
	hasEvents := false
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			if exchange.EndsWithConnection && !hasEvents {
				return t.recordStreamError(upstreamLease, errors.New("the connection ended before the first event"))
			}
			return t.finishStream(upstreamLease, exchange)
		}
		if err != nil {
			return t.recordStreamError(upstreamLease, err)
		}
		hasEvents = hasEvents || event.hasData
		if event.id != "" && event.id == t.lastEventID {
			// A resumed stream must not repeat the last event that was forwarded.
			continue
		}
		if !event.follows(t.lastEventID) {
			return t.recordStreamError(upstreamLease, errors.Newf("event %q after event %q", event.id, t.lastEventID))
		}
		if err := t.writeEvent(upstreamLease, exchange, event); err != nil {
			return attemptAborted, nil, "the caller has left: " + err.Error()
		}
		if event.id != "" {
			t.lastEventID = event.id
		}
		if event.hasData {
			progress.reset(t.eventTimeout())
		}
	}
}

func (t *transaction) finishStream(upstreamLease *lease, exchange *outbound.Exchange) (attemptOutcome, *bufferedResponse, string) {
	if !t.responseStarted {
		t.writeStreamHeader(exchange)
	}
	t.setResetOnClose(false)
	t.recordCompleteAnswer(upstreamLease, exchange)
	return attemptDone, nil, ""
}

// eventTimeout returns how long the upstream may take for the next event. A stream that can go on
// at another upstream moves there while its caller still waits.
func (t *transaction) eventTimeout() time.Duration {
	patience := streamPatience(t.route)
	if t.canMove() {
		return patience / resumePatienceDivisor
	}
	return patience + patienceMargin
}

// canMove reports whether another upstream may take the request over from one that may have run it.
func (t *transaction) canMove() bool {
	return t.isRepeatable() && len(t.tried) < t.route.MaxUpstreams && t.hasUntriedUpstream(t.s.view.Load())
}

func (t *transaction) recordStreamError(upstreamLease *lease, err error) (attemptOutcome, *bufferedResponse, string) {
	if t.ctx.Err() != nil {
		return attemptAborted, nil, err.Error()
	}
	t.recordBroken(upstreamLease, err)
	return attemptBroken, nil, err.Error()
}

func (t *transaction) writeStreamHeader(exchange *outbound.Exchange) {
	t.responseStarted = true
	t.setResetOnClose(true)
	header := t.w.Header()
	for name, values := range responseHeader(exchange.Header) {
		if name != "Content-Length" {
			header[name] = values
		}
	}
	t.writeHeader(exchange.Status)
}

func (t *transaction) writeEvent(upstreamLease *lease, exchange *outbound.Exchange, event streamEvent) error {
	if !t.responseStarted {
		t.writeStreamHeader(exchange)
	}
	t.bindOrigin(upstreamLease.entry)
	if event.hasData {
		t.recordEvent(upstreamLease)
	}
	if _, err := t.w.Write(event.text); err != nil {
		return err
	}
	if event.hasData {
		t.events++
		t.lastEventAt = t.s.now()
	}
	return http.NewResponseController(t.w).Flush()
}

// recordEvent records that an event is forwarded to the caller.
func (t *transaction) recordEvent(upstreamLease *lease) {
	now := t.s.now()
	upstreamLease.recordEvent(now)
	if upstreamLease.events == 1 {
		t.recordFirstEvent(upstreamLease)
		// The upstream has read the stage results before its first event.
		t.releaseInputs()
	}
	if !t.partsAnswered && now.Sub(upstreamLease.firstEvent) >= soundStreamTime {
		t.recordPartsAnswered()
	}
}

// recordFirstEvent records the time to the first event.
func (t *transaction) recordFirstEvent(upstreamLease *lease) {
	now := t.s.now()
	elapsed := now.Sub(upstreamLease.started)
	expected := float64(max(t.route.Objective/expectedTimeDivisor, 1))
	upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordSuccess(now, float64(elapsed)/expected) })
	t.s.durations.recordFinalCall(t.route.Name, elapsed)
	if t.firstEvent == 0 {
		t.firstEvent = now.Sub(t.arrived)
		t.s.metrics.firstEvent.WithLabelValues(t.pool).Observe(t.firstEvent.Seconds())
	}
}
