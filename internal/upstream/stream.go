package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

// readStream reads the body of a streamed response whose head was read, and passes its events to
// call.OnEvent. It also reports whether the connection is reusable.
func (c *Client) readStream(cn *conn, call *Call, response *fasthttp.Response) (Result, bool, error) {
	result := classifyResponse(call, response)
	if result.Outcome != dispatch.OutcomeSuccess {
		return result, false, nil
	}
	done, err := readEvents(bufio.NewReader(newBodyReader(cn.reader, &response.Header)), call.OnEvent)
	if err != nil {
		return Result{}, false, err
	}
	length := response.Header.ContentLength()
	if length == contentLengthIdentity && !done {
		// The end of the connection does not prove that the response is complete.
		return Result{}, false, io.ErrUnexpectedEOF
	}
	return result, length == contentLengthChunked && readTrailers(cn.reader) == nil, nil
}

// readEvents passes each event to onEvent until the body ends. It reports whether the final
// event [DONE] was seen. A truncated event is not passed on.
func readEvents(r *bufio.Reader, onEvent func(data []byte, token bool)) (bool, error) {
	var event []byte
	token, done := false, false
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes {
			continue
		}
		if err == io.EOF {
			if len(bytes.TrimSpace(event)) > 0 {
				return done, io.ErrUnexpectedEOF
			}
			return done, nil
		}
		if err != nil {
			return done, err
		}
		if len(event) > maxEventBytes {
			return done, errProtocol
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 || completesPartialLine(event, line) {
			if data, ok := bytes.CutPrefix(lastLine(event), []byte("data:")); ok {
				isDone := string(bytes.TrimSpace(data)) == "[DONE]"
				done = done || isDone
				token = token || !isDone
			}
			continue
		}
		if len(bytes.TrimSpace(event)) > 0 {
			onEvent(event, token)
		}
		event, token = event[:0], false
	}
}

// completesPartialLine reports whether piece, which holds only a line ending, is appended to
// a line whose start was read before, so that it is not the empty line that ends an event.
func completesPartialLine(event, piece []byte) bool {
	before := event[:len(event)-len(piece)]
	return len(before) > 0 && before[len(before)-1] != '\n'
}

// lastLine returns the last line of an event without its line ending.
func lastLine(event []byte) []byte {
	text := bytes.TrimRight(event, "\r\n")
	return text[bytes.LastIndexByte(text, '\n')+1:]
}
