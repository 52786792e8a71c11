// Package rawserver starts HTTP servers for tests that answer with bytes of the test's choice.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// Start starts a server until the end of the test and returns its IP:port. It calls respond once the head of
// the first request on a connection was read, and closes the connection when respond returns. The reader
// holds bytes that were received after the head.
func Start(t testing.TB, respond func(conn *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		respond(conn.(*net.TCPConn), buffered.Reader)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// WriteUntilClosed writes start, and then repeats unit until the other end closes the connection. It adds the
// bytes that are accepted to written as they are.
func WriteUntilClosed(conn net.Conn, start, unit string, written *atomic.Int64) {
	n, err := io.WriteString(conn, start)
	written.Add(int64(n))
	for err == nil {
		n, err = io.WriteString(conn, unit)
		written.Add(int64(n))
	}
}

// ResetOnClose lets a connection end with a reset when it is closed.
func ResetOnClose(conn *net.TCPConn) { _ = conn.SetLinger(0) } // Fails only if the connection is closed already.
