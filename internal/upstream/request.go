package upstream

import (
	"bufio"
	"errors"
	"strconv"
	"time"
)

// errProtocol marks a response that is not valid HTTP or SSE.
var errProtocol = errors.New("protocol error")

// writeRequest writes the HTTP request of a call.
func writeRequest(w *bufio.Writer, call *Call) error {
	_, _ = w.WriteString("POST ")
	if call.Path == "" {
		_ = w.WriteByte('/')
	}
	_, _ = w.WriteString(call.Path)
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeHeader(w, "Host", call.Address)
	writeInt(w, "Content-Length", int64(len(call.Body)))
	writeHeader(w, "Content-Type", call.ContentType)
	writeHeader(w, HeaderRequest, call.Identity.RequestID)
	writeHeader(w, HeaderStage, call.Identity.Stage)
	writeInt(w, HeaderAttempt, int64(call.Identity.Attempt))
	writeInt(w, HeaderDeadline, max(0, time.Until(call.Deadline).Milliseconds()))
	writeInt(w, HeaderPriority, int64(call.Priority))
	writeHeader(w, "Workspace", call.Workspace)
	writeHeader(w, "traceparent", call.Traceparent)
	if call.Stream {
		writeHeader(w, "Accept", "text/event-stream")
	}
	if call.ResumeFrom > 0 {
		writeInt(w, HeaderResumeFrom, int64(call.ResumeFrom))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(call.Body)
	// bufio.Writer keeps the first error and returns it here.
	return w.Flush()
}

// writeHeader writes a header field unless its value is empty or has control characters,
// which would allow a caller to inject headers or requests.
func writeHeader(w *bufio.Writer, name, value string) {
	if value == "" {
		return
	}
	for i := range len(value) {
		if value[i] < ' ' || value[i] == 0x7f {
			return
		}
	}
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

func writeInt(w *bufio.Writer, name string, value int64) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	// AvailableBuffer avoids an allocation for each number.
	_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), value, 10))
	_, _ = w.WriteString("\r\n")
}
