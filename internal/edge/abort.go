package edge

import (
	"net/http"

	"github.com/hornbeamhoist/hornbeamhoist/internal/ingress"
)

// abort ends the response so that the caller sees that it is not complete. In HTTP/1.1 the last
// chunk or part of the stated length is missing.
func (t *transaction) abort() {
	t.setResetOnClose(true)
	panic(http.ErrAbortHandler)
}

// setResetOnClose sets whether the connection of an HTTP/1.0 caller ends with a reset. A stream to
// such a caller ends with its connection, so each end but that of a complete stream must be a reset,
// also if the handler panics or the process is killed.
func (t *transaction) setResetOnClose(reset bool) {
	conn := ingress.FromContext(t.r.Context())
	if conn == nil || t.r.ProtoAtLeast(1, 1) {
		return
	}
	linger := -1 // The default: data that was not sent yet is sent after the close.
	if reset {
		linger = 0
	}
	_ = conn.SetLinger(linger) // Fails only if the connection is closed already.
}
