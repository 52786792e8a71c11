package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// callerProtocols are the protocol versions of callers. A stream to an HTTP/1.0 caller has no
// chunks either and ends with its connection.
var callerProtocols = []string{"HTTP/1.1", "HTTP/1.0"}

// rawCaller sends requests on one connection.
type rawCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newRawCaller(t *testing.T, f *testFleet) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp4", f.servers[0].settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &rawCaller{conn: conn, reader: bufio.NewReader(conn)}
}

// call sends a request and returns the response and its body. The error is not nil if the response
// does not look complete.
func (c *rawCaller) call(method, protocol, id string) (*http.Response, string, error) {
	if _, err := fmt.Fprintf(c.conn, "%s /x/ %s\r\nHost: a.example\r\nRequest: %s\r\n\r\n", method, protocol, id); err != nil {
		return nil, "", err
	}
	return c.read(method)
}

// read returns the next response and its body, and an error if it does not look complete.
func (c *rawCaller) read(method string) (*http.Response, string, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// resetConn lets the connection end with a reset when it is closed.
func resetConn(conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0) // Fails only if the connection is closed already.
	return false
}

// eventsAfter returns the events of a stream of three after the request's last one.
func eventsAfter(request *http.Request) string {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event")) // No header means the start.
	text := ""
	for id := last + 1; id <= 3; id++ {
		text += sseEvent(id)
	}
	return text
}

// TestUnframedAnswer guards against losing or breaking off a whole answer that has neither a length
// nor chunks and ends with the upstream's connection, and against closing the caller's connection
// with it.
func TestUnframedAnswer(t *testing.T) {
	long := strings.Repeat("0123456789", 30_000)
	for name, prepare := range map[string]func(head string) string{
		"HTTP/1.1": func(head string) string { return head },
		"HTTP/1.0": func(head string) string { return strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) },
		"Connection: close": func(head string) string {
			return strings.Replace(head, "\r\n", "\r\nConnection: close\r\n", 1)
		},
	} {
		for _, kind := range []catalog.RequestKind{catalog.NonIdempotent, catalog.Stream} {
			headers, want := "", long
			if kind == catalog.Stream {
				headers, want = streamHeaders, sseEvent(1)+sseEvent(2)+sseEvent(3)
			}
			t.Run(fmt.Sprint(name, " kind ", kind), func(t *testing.T) {
				t.Parallel()
				u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
					u.write(conn, prepare(head(request, headers))+want)
					return false
				})
				f := startWithRawUpstreams(t, kind, nil, u)
				kept := newRawCaller(t, f)
				for i := range 3 {
					response, body, err := kept.call(http.MethodPost, "HTTP/1.1", fmt.Sprint("kept", i))
					if err != nil || response.StatusCode != http.StatusOK || body != want || response.Close {
						t.Fatalf("answer %d on a kept connection: %v, %d bytes, error %v", i, response, len(body), err)
					}
				}
				response, body, err := newRawCaller(t, f).call(http.MethodPost, "HTTP/1.0", "old")
				if err != nil || response.StatusCode != http.StatusOK || body != want {
					t.Errorf("answer to an HTTP/1.0 caller: %v, %d bytes, error %v", response, len(body), err)
				}
			})
		}
	}
}

// TestUnframedAnswerIsReset guards against taking an answer without a length for whole although its
// connection was reset.
func TestUnframedAnswerIsReset(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				if u.write(conn, head(request, "")+"whole"); requests.Add(1) == 1 {
					return resetConn(conn)
				}
				return false
			}
			kind := catalog.NonIdempotent
			if repeatable {
				kind = catalog.Idempotent
			}
			f := startWithRawUpstreams(t, kind, nil, newRawUpstream(t, respond), newRawUpstream(t, respond))
			response, body, err := f.send(0, "r", "/x/", nil)
			switch {
			case err != nil:
				t.Fatal(err)
			case repeatable && (response.StatusCode != http.StatusOK || body != "whole" || requests.Load() != 2):
				t.Errorf("status %d, body %q, %d sends; expected the answer of the second upstream", response.StatusCode, body, requests.Load())
			case !repeatable && (response.StatusCode != http.StatusBadGateway || requests.Load() != 1):
				t.Errorf("status %d, %d sends; expected 502 after one", response.StatusCode, requests.Load())
			}
		})
	}
}

// TestUnframedStreamBreaksOff guards against a stream without a length or chunks that looks complete
// although its connection was reset or ended inside an event, and against forwarding a part of an
// event.
func TestUnframedStreamBreaksOff(t *testing.T) {
	for name, test := range map[string]struct {
		start string
		reset bool
	}{
		"reset after an event":             {sseEvent(1), true},
		"reset inside an event":            {sseEvent(1) + "id: 2\nda", true},
		"reset before the first event":     {"", true},
		"end inside a line":                {sseEvent(1) + "id: 2\ndata: d", false},
		"end after a line":                 {sseEvent(1) + "id: 2\ndata: d2\n", false},
		"end after an ID":                  {sseEvent(1) + "id: 2\n", false},
		"end after a CRLF line":            {sseEvent(1) + "id: 2\r\ndata: d2\r\n", false},
		"end inside the last CRLF":         {sseEvent(1) + "id: 2\r\ndata: d2\r\n\r", false},
		"end after a comment of an event":  {sseEvent(1) + ":\n", false},
		"end inside the first event":       {"id: 1\ndata: d1\n", false},
		"end inside the first line":        {"i", false},
		"end before the first event":       {"", false},
		"end after a comment and no event": {":\n\n", false},
		"end after empty lines":            {"\n\n", false},
	} {
		for _, resumable := range []bool{true, false} {
			for _, protocol := range callerProtocols {
				// Each case has its own VM, since the budget for retries begins with one.
				t.Run(fmt.Sprint(name, " resumable ", resumable, " ", protocol), func(t *testing.T) {
					t.Parallel()
					var requests atomic.Int64
					respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
						if requests.Add(1) == 1 {
							u.write(conn, head(request, streamHeaders)+test.start)
							return test.reset && resetConn(conn)
						}
						u.write(conn, head(request, streamHeaders)+eventsAfter(request))
						return false
					}
					f := startWithRawUpstreams(t, catalog.Stream, func(r *catalog.Route) { r.Resumable = resumable },
						newRawUpstream(t, respond), newRawUpstream(t, respond))
					response, body, err := newRawCaller(t, f).call(http.MethodPost, protocol, "r")
					body = strings.TrimLeft(strings.ReplaceAll(body, ":\n\n", ""), "\n")
					switch want := sseEvent(1) + sseEvent(2) + sseEvent(3); {
					case resumable && (err != nil || body != want):
						t.Errorf("body %q, error %v; expected %q", body, err, want)
					case !resumable && err == nil && response.StatusCode != http.StatusBadGateway:
						t.Errorf("the broken stream looks complete: status %d, body %q", response.StatusCode, body)
					case !resumable && err != nil && body != "" && body != sseEvent(1):
						t.Errorf("body %q, expected whole events", body)
					}
				})
			}
		}
	}
}

// TestResumedStreamWithoutEvents guards against a stream that looks complete although the upstream
// that should go on with it died before its first event, and against breaking off a stream whose
// last event was forwarded before it had to move.
func TestResumedStreamWithoutEvents(t *testing.T) {
	for name, test := range map[string]struct {
		headers, body string
		complete      bool
	}{
		"no length":             {"", "", false},
		"no length, a comment":  {"", ":\n\n", false},
		"no length, last event": {"", sseEvent(1), true},
		"length":                {"Content-Length: 0\r\n", "", true},
		"chunks":                {"Transfer-Encoding: chunked\r\n", "0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				if request.Header.Get("Last-Event") == "" {
					u.write(conn, head(request, streamHeaders)+sseEvent(1)+"id: 2\n")
				} else {
					u.write(conn, head(request, streamHeaders+test.headers)+test.body)
				}
				return false
			}
			f := startWithRawUpstreams(t, catalog.Stream, func(r *catalog.Route) { r.Resumable = true },
				newRawUpstream(t, respond), newRawUpstream(t, respond))
			_, body, err := f.send(0, "r", "/x/", nil)
			if (err == nil) != test.complete || strings.TrimSuffix(body, ":\n\n") != sseEvent(1) {
				t.Errorf("body %q, error %v; expected one event, complete %v", body, err, test.complete)
			}
		})
	}
}

// TestEmptyUnframedAnswer guards against a success without a body that stands for the answer of an
// upstream which died after the head: without a length or chunks, its end cannot be told from that
// of a whole answer.
func TestEmptyUnframedAnswer(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				if u.write(conn, head(request, "")); requests.Add(1) > 1 {
					u.write(conn, "whole")
				}
				return false
			}
			kind := catalog.NonIdempotent
			if repeatable {
				kind = catalog.Idempotent
			}
			f := startWithRawUpstreams(t, kind, nil, newRawUpstream(t, respond), newRawUpstream(t, respond))
			response, body, err := f.send(0, "r", "/x/", nil)
			switch {
			case err != nil:
				t.Fatal(err)
			case repeatable && (response.StatusCode != http.StatusOK || body != "whole"):
				t.Errorf("status %d, body %q; expected the answer of the second upstream", response.StatusCode, body)
			case !repeatable && (response.StatusCode != http.StatusBadGateway || requests.Load() != 1):
				t.Errorf("status %d, body %q, %d sends; expected 502 after one", response.StatusCode, body, requests.Load())
			}
		})
	}
}

// TestEmptyUnframedAnswerOfDeadUpstream guards against a request that crashes one upstream after the other
// unseen, since each dies after the head of its answer.
func TestEmptyUnframedAnswerOfDeadUpstream(t *testing.T) {
	for status, alive := range map[string]bool{"200 OK": false, "404 Not Found": false, "500 Internal Server Error": false, "201 Created": true} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			core, logs := observer.New(zap.InfoLevel)
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				u.write(conn, strings.Replace(head(request, ""), "200 OK", status, 1))
				if !alive {
					_ = u.listener.Close()
				}
				return false
			})
			f := startFleetWith(t, 1, nil, func(s *Server) { s.logger = zap.New(core) })
			f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", catalog.NonIdempotent, nil)}}, u.entry("u0"))
			if _, _, err := f.send(0, "r", "/x/", nil); err != nil {
				t.Fatal(err)
			}
			if n := logs.FilterMessage("upstream died while it ran a request").Len(); (n == 1) == alive {
				t.Errorf("%d crashes recorded, upstream alive: %v", n, alive)
			}
		})
	}
}

// resumePanicDialect is a testDialect that panics on the response of an upstream that goes on with a
// stream.
type resumePanicDialect struct{ testDialect }

func (d resumePanicDialect) DecodeResponse(status int, header http.Header) ResponseInfo {
	if header.Get("Panic") != "" {
		panic("response of the test")
	}
	return d.testDialect.DecodeResponse(status, header)
}

// TestStreamEndsInPanic guards against a stream that looks complete although its handling panicked. To
// an HTTP/1.0 caller, any end of the connection other than a reset is the end of the stream.
func TestStreamEndsInPanic(t *testing.T) {
	for _, protocol := range callerProtocols {
		t.Run(protocol, func(t *testing.T) {
			t.Parallel()
			respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				if request.Header.Get("Last-Event") == "" {
					u.write(conn, head(request, streamHeaders)+sseEvent(1)+"id: 2\n")
				} else {
					u.write(conn, head(request, streamHeaders+"Panic: 1\r\n")+sseEvent(2))
				}
				return false
			}
			f := startFleetWith(t, 1, nil, func(s *Server) { s.dialect = resumePanicDialect{} })
			f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
				testRoute("/x/", catalog.Stream, func(r *catalog.Route) { r.Resumable = true }),
			}}, newRawUpstream(t, respond).entry("u0"), newRawUpstream(t, respond).entry("u1"))
			response, body, err := newRawCaller(t, f).call(http.MethodPost, protocol, "r")
			if err == nil {
				t.Errorf("the stream looks complete: status %d, body %q", response.StatusCode, body)
			}
		})
	}
}

// TestEmptyAnswer guards against taking an empty answer for a broken one although its head says that
// it is empty.
func TestEmptyAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		method, status, headers, body string
		kind                          catalog.RequestKind
	}{
		"length":         {http.MethodPost, "200 OK", "Content-Length: 0\r\n", "", catalog.NonIdempotent},
		"chunks":         {http.MethodPost, "200 OK", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", catalog.NonIdempotent},
		"no content":     {http.MethodPost, "204 No Content", "", "", catalog.NonIdempotent},
		"not modified":   {http.MethodGet, "304 Not Modified", "", "", catalog.Idempotent},
		"HEAD":           {http.MethodHead, "200 OK", "", "", catalog.Idempotent},
		"HEAD, close":    {http.MethodHead, "200 OK", "Connection: close\r\n", "", catalog.Idempotent},
		"error":          {http.MethodPost, "400 Bad Request", "", "", catalog.NonIdempotent},
		"stream, length": {http.MethodPost, "200 OK", streamHeaders + "Content-Length: 0\r\n", "", catalog.Stream},
		"stream, chunks": {http.MethodPost, "200 OK", streamHeaders + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n", catalog.Stream},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				u.write(conn, strings.Replace(head(request, test.headers), "200 OK", test.status, 1)+test.body)
				return false
			})
			f := startWithRawUpstreams(t, test.kind, nil, u)
			response, body, err := newRawCaller(t, f).call(test.method, "HTTP/1.1", "r")
			if err != nil || !strings.HasPrefix(test.status, strconv.Itoa(response.StatusCode)) || body != "" {
				t.Errorf("%v, body %q, error %v; expected status %s", response, body, err, test.status)
			}
			if n := u.requests.Load(); n != 1 {
				t.Errorf("sent %d times, expected once", n)
			}
		})
	}
}

// TestUnframedStageResults guards against results that are used although the answer to their stage
// call ended early: without a length or chunks, only its content shows that.
func TestUnframedStageResults(t *testing.T) {
	const whole = `[{"Handle":"127.0.0.1:1/1"},{"Handle":"127.0.0.1:1/2"}]`
	var length atomic.Int64
	var reset atomic.Bool
	u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, _ *http.Request) bool {
		u.write(conn, "HTTP/1.1 200 OK\r\n\r\n"+whole[:length.Load()])
		return reset.Load() && resetConn(conn)
	})
	f := startFleet(t, 1, nil)
	runner := newPoolRunner("a", f.servers[0])
	call := stagepool.Call{Upstream: "s", Pieces: make([]stagepool.CallPiece, 2), Timeout: 5 * time.Second}
	for n := range len(whole) {
		length.Store(int64(n))
		if outcome, results, _, _ := runner.sendCall(call, u.listener.Addr().String()); outcome != stagepool.CallFailed {
			t.Errorf("%d of %d bytes: outcome %s, results %v", n, len(whole), callOutcomeNames[outcome], results)
		}
	}
	length.Store(int64(len(whole)))
	reset.Store(true)
	if outcome, _, _, _ := runner.sendCall(call, u.listener.Addr().String()); outcome != stagepool.CallFailed {
		t.Errorf("after a reset: outcome %s", callOutcomeNames[outcome])
	}
	reset.Store(false)
	if outcome, results, _, err := runner.sendCall(call, u.listener.Addr().String()); outcome != stagepool.CallAnswered || len(results) != 2 {
		t.Errorf("the whole answer: outcome %s, results %v, error %v", callOutcomeNames[outcome], results, err)
	}
}
