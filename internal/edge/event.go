package edge

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream. The events of all streams of a VM at a time must
// fit into its memory.
const maxEventBytes = 64 << 10

// streamEvent is one event of a stream: its lines and the empty line that ends it.
type streamEvent struct {
	text []byte
	id   string
	// hasData is set if the event has a field other than its ID. A block of comments alone is
	// no progress of the stream.
	hasData bool
}

// follows reports whether the event may come after the event with the given ID. IDs that are
// numbers increase; an event without an ID may come at any place.
func (e *streamEvent) follows(lastID string) bool {
	if e.id == "" || lastID == "" {
		return true
	}
	id, err := strconv.ParseInt(e.id, 10, 64)
	last, lastErr := strconv.ParseInt(lastID, 10, 64)
	if err != nil || lastErr != nil {
		return e.id != lastID
	}
	return id > last
}

// readEvent returns the next event. The error is io.EOF at the end of the stream; an incomplete
// event is a different error.
func readEvent(reader *bufio.Reader) (streamEvent, error) {
	var event streamEvent
	for {
		lineStart := len(event.text)
		err := readLine(reader, &event)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event.text) > 0 {
				err = errors.New("the stream ended inside an event")
			}
			return streamEvent{}, err
		}
		if line := bytes.TrimRight(event.text[lineStart:], "\r\n"); len(line) > 0 {
			event.addField(line)
		} else {
			return event, nil
		}
	}
}

// readLine appends the next line to the event, or returns an error if the event gets too long.
func readLine(reader *bufio.Reader, event *streamEvent) error {
	for {
		part, err := reader.ReadSlice('\n')
		event.text = append(event.text, part...)
		if len(event.text) > maxEventBytes {
			return errors.Newf("an event exceeds %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (e *streamEvent) addField(line []byte) {
	if line[0] == ':' {
		return
	}
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		e.id = string(bytes.TrimSpace(value))
		return
	}
	e.hasData = true
}
