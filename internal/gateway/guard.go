package gateway

import (
	"errors"
	"io"
	"math"
	"net"
	"runtime/debug"

	"github.com/valyala/fasthttp"

	guard "github.com/hornbeamhoist/hornbeamhoist/internal/ingress"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/ingress"
)

const (
	// memoryDivisor divides GOMEMLIMIT to get MemoryShare, and defaultMemoryBytes applies if there is no
	// such limit.
	memoryDivisor      = 4
	defaultMemoryBytes = 1 << 30
	// minBodyBuffer is the first size of the buffer of a body.
	minBodyBuffer = 4 << 10
)

// NewGuard returns the guard of the listener for callers, which bounds their connections and what they
// hold. The time limits are those of the server.
func NewGuard(now func() clock.Instant, maxConnections int) *guard.Guard {
	limits := ingress.Limits{Connections: maxConnections, Bytes: MemoryShare(), WholeRequests: true}
	return guard.New("callers", now, func() ingress.Limits { return limits })
}

// MemoryShare returns the memory that callers may hold before their requests are handled, in bytes. It is
// also what the responses of upstreams may hold while they are read.
func MemoryShare() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit / memoryDivisor
	}
	return defaultMemoryBytes
}

// guarded returns a handler that reads the body of a request and tells the guard of its connection when
// the request runs. A request whose connection was closed for a limit does not run.
//
// The server itself would take memory for all of an announced body before any of it has arrived.
func (g *Gateway) guarded(next fasthttp.RequestHandler, maxBodyBytes int) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn, _ := ctx.Conn().(*guard.Conn)
		err := errConnClosed
		if conn.Begin() {
			err = readBody(ctx, conn, maxBodyBytes)
		}
		if err == nil && !conn.Admit() {
			err = errConnClosed
		}
		if err != nil {
			g.handleReadError(ctx, err)
			ctx.SetConnectionClose()
			return
		}
		next(ctx)
	}
}

var (
	errConnClosed   = errors.New("the connection was closed for a limit")
	errNoBodyMemory = errors.New("no memory is left for the body")
)

// readBody reads the body of a request into a buffer that grows with what arrives.
func readBody(ctx *fasthttp.RequestCtx, conn *guard.Conn, limit int) error {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	announced := ctx.Request.Header.ContentLength()
	if announced > limit {
		return fasthttp.ErrBodyTooLarge
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), minBodyBuffer)
			if announced >= 0 && (cap(body) >= ingress.ProbeBytes || size > announced) {
				// The byte beyond the body finds its end.
				size = announced + 1
			}
			if !conn.Reserve(int64(size - cap(body))) {
				return errNoBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF) && len(body) >= announced:
			ctx.Request.SetBodyRaw(body)
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// guardState tells the guard of a connection when a response is complete.
func guardState(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*guard.Conn); ok && state == fasthttp.StateIdle {
		c.End()
	}
}
