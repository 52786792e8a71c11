package edge

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// relayStream forwards complete events as they arrive. An incomplete event at the end of a
// broken stream is dropped, so that another upstream can resume the stream.
func (t *transaction) relayStream(upstreamLease *lease, exchange *outbound.Exchange) (attemptOutcome, *bufferedResponse, string) {
	reader := bufio.NewReader(exchange.Body)
	for {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return t.finishStream(upstreamLease, exchange)
		}
		if err != nil {
			return t.recordStreamError(upstreamLease, err)
		}
		if id != "" && id == t.lastEventID {
			// A resumed stream must not repeat the last event that was forwarded.
			continue
		}
		if err := t.writeEvent(upstreamLease, exchange, event); err != nil {
			return attemptAborted, nil, "the caller has left: " + err.Error()
		}
		if id != "" {
			t.lastEventID = id
		}
	}
}

func (t *transaction) finishStream(upstreamLease *lease, exchange *outbound.Exchange) (attemptOutcome, *bufferedResponse, string) {
	if !t.responseStarted {
		t.writeStreamHeader(exchange)
	}
	return attemptDone, nil, ""
}

func (t *transaction) recordStreamError(upstreamLease *lease, err error) (attemptOutcome, *bufferedResponse, string) {
	if t.ctx.Err() != nil {
		return attemptAborted, nil, err.Error()
	}
	upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
	if t.events == 0 {
		t.s.checkForCrash(t, upstreamLease.entry)
	}
	return attemptBroken, nil, err.Error()
}

func (t *transaction) writeStreamHeader(exchange *outbound.Exchange) {
	t.responseStarted = true
	header := t.w.Header()
	for name, values := range responseHeader(exchange.Header) {
		if name != "Content-Length" {
			header[name] = values
		}
	}
	t.w.WriteHeader(exchange.Status)
}

func (t *transaction) writeEvent(upstreamLease *lease, exchange *outbound.Exchange, event []byte) error {
	if !t.responseStarted {
		t.writeStreamHeader(exchange)
	}
	if !upstreamLease.eventSent {
		upstreamLease.eventSent = true
		t.recordFirstEvent(upstreamLease)
		// The upstream has read the stage results before its first event.
		t.releaseInputs()
	}
	if _, err := t.w.Write(event); err != nil {
		return err
	}
	t.events++
	return http.NewResponseController(t.w).Flush()
}

// recordFirstEvent records the time to the first event.
func (t *transaction) recordFirstEvent(upstreamLease *lease) {
	elapsed := t.s.now().Sub(upstreamLease.started)
	expected := float64(max(t.route.Objective/expectedTimeDivisor, 1))
	upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordSuccess(now, float64(elapsed)/expected) })
	t.s.metrics.firstEvent.WithLabelValues(t.pool).Observe(t.s.now().Sub(t.arrived).Seconds())
}

// readEvent returns the next event, including the empty line that ends it, and the event's ID.
// The error is io.EOF at the end of the stream; an incomplete event is a different error.
func readEvent(reader *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEventBytes {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) > 0 {
				return nil, "", errors.New("the stream ended inside an event")
			}
			return nil, "", err
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
	}
}
