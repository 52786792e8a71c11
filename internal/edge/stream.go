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

// stream passes on whole events as they arrive. What an upstream leaves of an event that
// it did not end is dropped, so that the stream can go on at another one.
func (t *transaction) stream(taken *lease, exchange *outbound.Exchange) (attemptOutcome, *wholeAnswer, string) {
	reader := bufio.NewReader(exchange.Body)
	for {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return t.endStream(taken, exchange)
		}
		if err != nil {
			return t.streamBroken(taken, err)
		}
		if id != "" && id == t.lastEventID {
			// A resumed stream must not repeat the event after which it goes on.
			continue
		}
		if err := t.writeEvent(taken, exchange, event); err != nil {
			return attemptAborted, nil, "the caller has left: " + err.Error()
		}
		if id != "" {
			t.lastEventID = id
		}
	}
}

func (t *transaction) endStream(taken *lease, exchange *outbound.Exchange) (attemptOutcome, *wholeAnswer, string) {
	if !t.responseStarted {
		t.writeStreamHead(exchange)
	}
	return attemptDone, nil, ""
}

func (t *transaction) streamBroken(taken *lease, err error) (attemptOutcome, *wholeAnswer, string) {
	if t.ctx.Err() != nil {
		return attemptAborted, nil, err.Error()
	}
	taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
	if t.events == 0 {
		t.s.checkForCrash(t, taken.entry)
	}
	return attemptBroken, nil, err.Error()
}

func (t *transaction) writeStreamHead(exchange *outbound.Exchange) {
	t.responseStarted = true
	header := t.w.Header()
	for name, values := range answerHeader(exchange.Header) {
		if name != "Content-Length" {
			header[name] = values
		}
	}
	t.w.WriteHeader(exchange.Status)
}

func (t *transaction) writeEvent(taken *lease, exchange *outbound.Exchange, event []byte) error {
	if !t.responseStarted {
		t.writeStreamHead(exchange)
	}
	if !taken.gotEvent {
		taken.gotEvent = true
		t.noteFirst(taken)
		// The upstream has read the results of the stages by now.
		t.releaseInputs()
	}
	if _, err := t.w.Write(event); err != nil {
		return err
	}
	t.events++
	return http.NewResponseController(t.w).Flush()
}

// noteFirst records how long the first event took.
func (t *transaction) noteFirst(taken *lease) {
	elapsed := t.s.now().Sub(taken.started)
	expected := float64(max(t.route.Objective/expectedPart, 1))
	taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordSuccess(now, float64(elapsed)/expected) })
	t.s.metrics.firstEvent.WithLabelValues(t.pool).Observe(t.s.now().Sub(t.arrived).Seconds())
}

// readEvent returns the next event with its final empty line, and its ID. The error is
// io.EOF if the stream ended; an event without its end is an error.
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
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, id, nil
		}
	}
}
