package edge

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// abort ends the response so that the caller sees that it is not complete. In HTTP/1.1 the last
// chunk or part of the stated length is missing. A response to an HTTP/1.0 caller ends with its
// connection, which must therefore be reset.
func (t *transaction) abort() {
	conn, ok := t.r.Context().Value(connKey{}).(*net.TCPConn)
	if ok && !t.r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0) // Fails only if the connection is closed already.
	}
	panic(http.ErrAbortHandler)
}
