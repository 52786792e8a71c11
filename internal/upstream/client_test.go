package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/pipeline"
)

// server passes each request with its connection to a handle function, which writes the
// response. The connection is closed when handle returns false. OPTIONS requests, which the
// client sends as probes, get a response without a call of handle.
type server struct {
	net.Listener
	requests    atomic.Int64
	connections atomic.Int64
}

func newServer(t *testing.T, handle func(n int64, c net.Conn, r *http.Request) bool) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c, handle)
		}
	}()
	return s
}

func (s *server) serveConn(c net.Conn, handle func(int64, net.Conn, *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	counted := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodOptions {
			_, _ = c.Write([]byte("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"))
			return
		}
		if !counted {
			s.connections.Add(1)
			counted = true
		}
		body := make([]byte, request.ContentLength)
		for read := 0; read < len(body); {
			n, err := request.Body.Read(body[read:])
			read += n
			if err != nil && read < len(body) {
				return
			}
		}
		request.Header.Set("Test-Body", string(body))
		if !handle(s.requests.Add(1), c, request) {
			return
		}
	}
}

// reply writes a response with the identity headers of the request.
func reply(c net.Conn, r *http.Request, status int, body string) { writeReply(c, r, status, body) }

func writeReply(w io.Writer, r *http.Request, status int, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nHoist-Request: %s\r\nHoist-Stage: %s\r\nHoist-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get(HeaderRequest), r.Header.Get(HeaderStage), r.Header.Get(HeaderAttempt), len(body), body)
}

func testOptions() Options {
	options := DefaultOptions()
	options.MinSilenceTimeout = 20 * time.Millisecond
	return options
}

func (s *server) call(body string) *Call {
	return &Call{
		Identity: pipeline.Identity{RequestID: "request-" + body, Stage: "stage", Attempt: 1},
		Address:  s.Addr().String(), Path: "/", Workspace: "w", Deadline: time.Now().Add(30 * time.Second),
		Body: []byte(body), EchoesIdentity: true,
	}
}

func expectOutcome(t *testing.T, result Result, outcome dispatch.OutcomeKind) {
	t.Helper()
	if result.Outcome != outcome {
		t.Fatalf("outcome %d, expected %d: %s", result.Outcome, outcome, result.Detail)
	}
}

// TestDoDoesNotRetry guards against a client that retries a call by itself when the
// connection breaks before the response, which would run non-idempotent work twice.
func TestDoDoesNotRetry(t *testing.T) {
	s := newServer(t, func(n int64, c net.Conn, r *http.Request) bool {
		if n == 1 {
			reply(c, r, 200, "warm")
		}
		// The second request arrives on the same connection and gets no response.
		return n == 1
	})
	client := NewClient(testOptions())
	expectOutcome(t, client.Do(&CancelHandle{}, s.call("a")), dispatch.OutcomeSuccess)
	// The upstream still accepts connections, so it is not known to have crashed.
	expectOutcome(t, client.Do(&CancelHandle{}, s.call("b")), dispatch.OutcomeReset)
	if got := s.requests.Load(); got != 2 {
		t.Errorf("%d requests received, expected 2", got)
	}
}

// TestClosedIdleConnectionIsReplaced guards against failing a call because the upstream
// closed an idle connection, and against opening a connection for each call.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := newServer(t, func(n int64, c net.Conn, r *http.Request) bool {
		reply(c, r, 200, "ok")
		if n != 2 {
			return true
		}
		_ = c.Close()
		closed <- struct{}{}
		return false
	})
	client := NewClient(testOptions())
	for i := range 4 {
		expectOutcome(t, client.Do(&CancelHandle{}, s.call(fmt.Sprint(i))), dispatch.OutcomeSuccess)
		if i == 1 {
			<-closed
		}
	}
	if s.requests.Load() != 4 || s.connections.Load() != 2 {
		t.Errorf("%d requests on %d connections, expected 4 on 2", s.requests.Load(), s.connections.Load())
	}
}

// TestLateResponseIsNotGivenToNextCall guards against returning the response of a call that
// timed out to the next call.
func TestLateResponseIsNotGivenToNextCall(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(n int64, c net.Conn, r *http.Request) bool {
		if n == 1 {
			<-release
		}
		reply(c, r, 200, "answer to "+r.Header.Get("Test-Body"))
		return true
	})
	client := NewClient(testOptions())
	first := s.call("first")
	first.Deadline, first.NonIdempotent = time.Now().Add(30*time.Millisecond), true
	expectOutcome(t, client.Do(&CancelHandle{}, first), dispatch.OutcomeTimeout)
	// Do has returned, so the caller may overwrite the body.
	copy(first.Body, "XXXXX")
	close(release)
	result := client.Do(&CancelHandle{}, s.call("second"))
	expectOutcome(t, result, dispatch.OutcomeSuccess)
	if string(result.Body) != "answer to second" {
		t.Errorf("got %q", result.Body)
	}
}

// TestMismatchedOrMissingIdentityFails guards against returning the response of another call.
func TestMismatchedOrMissingIdentityFails(t *testing.T) {
	for _, test := range []struct {
		identityHeaders string
		mismatch        bool
	}{
		{"Hoist-Request: other\r\nHoist-Stage: stage\r\nHoist-Attempt: 1\r\n", true},
		{"Hoist-Request: request-x\r\nHoist-Stage: other\r\nHoist-Attempt: 1\r\n", true},
		{"Hoist-Request: request-x\r\nHoist-Stage: stage\r\nHoist-Attempt: 2\r\n", true},
		{"", false},
	} {
		s := newServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nno", test.identityHeaders)
			return true
		})
		result := NewClient(testOptions()).Do(&CancelHandle{}, s.call("x"))
		expectOutcome(t, result, dispatch.OutcomeFailed)
		if result.IdentityMismatch != test.mismatch || result.Body != nil {
			t.Errorf("%q: identity mismatch %v, body %q", test.identityHeaders, result.IdentityMismatch, result.Body)
		}
	}
}

// TestUnsolicitedBytesAreNotAResponse guards against taking bytes that arrived before a
// request for its response. Extra bytes that arrive together with a response are always
// detected. Extra bytes that arrive between the check of an idle connection and the request
// are detected only by the identity headers, so in that case the test accepts any outcome but
// a success with the wrong body.
func TestUnsolicitedBytesAreNotAResponse(t *testing.T) {
	for _, echoes := range []bool{false, true} {
		s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
			var ownResponse bytes.Buffer
			writeReply(&ownResponse, r, 200, "own")
			extraResponse := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
			if echoes {
				_, _ = c.Write(ownResponse.Bytes())
				_, _ = c.Write([]byte(extraResponse))
				return true
			}
			_, _ = c.Write(append(ownResponse.Bytes(), extraResponse...))
			return true
		})
		client := NewClient(testOptions())
		for i := range 50 {
			call := s.call(fmt.Sprint(i))
			call.EchoesIdentity = echoes
			result := client.Do(&CancelHandle{}, call)
			if !echoes {
				expectOutcome(t, result, dispatch.OutcomeSuccess)
			}
			if result.Outcome == dispatch.OutcomeSuccess && string(result.Body) != "own" {
				t.Fatalf("call %d got %q", i, result.Body)
			}
		}
	}
}

// TestStatusClassification guards against confusing overload, errors that any upstream would
// return, and errors of one upstream.
func TestStatusClassification(t *testing.T) {
	for status, want := range map[int]struct {
		outcome   dispatch.OutcomeKind
		permanent bool
	}{
		200: {dispatch.OutcomeSuccess, false}, 429: {dispatch.OutcomeOverloaded, false}, 503: {dispatch.OutcomeOverloaded, false},
		500: {dispatch.OutcomeFailed, false}, 422: {dispatch.OutcomeFailed, true},
	} {
		s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool { reply(c, r, status, ""); return true })
		result := NewClient(testOptions()).Do(&CancelHandle{}, s.call("x"))
		expectOutcome(t, result, want.outcome)
		if result.Permanent != want.permanent {
			t.Errorf("status %d: permanent %v", status, result.Permanent)
		}
	}
}

// TestRefusedMeansNothingSent guards against reporting a call as refused although bytes of it
// were sent, which would allow it to run twice.
func TestRefusedMeansNothingSent(t *testing.T) {
	s := newServer(t, nil)
	call := s.call("x")
	_ = s.Close()
	expectOutcome(t, NewClient(testOptions()).Do(&CancelHandle{}, call), dispatch.OutcomeRefused)

	closing := newServer(t, func(int64, net.Conn, *http.Request) bool { return false })
	expectOutcome(t, NewClient(testOptions()).Do(&CancelHandle{}, closing.call("x")), dispatch.OutcomeReset)
}

// TestUpstreamCrashIsDetected guards against not detecting that a call crashed its upstream.
// Only a refused new connection distinguishes a crash from a single broken connection.
func TestUpstreamCrashIsDetected(t *testing.T) {
	var s *server
	s = newServer(t, func(int64, net.Conn, *http.Request) bool {
		_ = s.Close()
		return false
	})
	expectOutcome(t, NewClient(testOptions()).Do(&CancelHandle{}, s.call("x")), dispatch.OutcomeDied)
}

// TestSilentConnection guards against waiting for the deadline on a connection that makes no
// progress while new connections work, and against using the other idle connections after
// that.
func TestSilentConnection(t *testing.T) {
	release := make(chan struct{})
	var stalled atomic.Bool
	s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
		if stalled.Load() {
			<-release
		}
		reply(c, r, 200, "ok")
		return true
	})
	defer close(release)
	client := NewClient(testOptions())
	expectOutcome(t, client.Do(&CancelHandle{}, s.call("a")), dispatch.OutcomeSuccess)
	stalled.Store(true)
	expectOutcome(t, client.Do(&CancelHandle{}, s.call("b")), dispatch.OutcomeSilent)
	stalled.Store(false)
	expectOutcome(t, client.Do(&CancelHandle{}, s.call("c")), dispatch.OutcomeSuccess)
	if client.Stats.SilentConnections.Load() != 1 {
		t.Errorf("%d silent connections, expected 1", client.Stats.SilentConnections.Load())
	}
}

// TestSilenceTimeoutAdaptsToSlowUpstream guards against failing every call to an upstream that
// became slow as silent after the same timeout, since probes still succeed.
func TestSilenceTimeoutAdaptsToSlowUpstream(t *testing.T) {
	const slowdown = 5
	options := testOptions()
	var slow atomic.Bool
	s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
		if slow.Load() {
			<-time.After(slowdown * options.MinSilenceTimeout)
		}
		reply(c, r, 200, "ok")
		return true
	})
	client := NewClient(options)
	expectOutcome(t, client.Do(&CancelHandle{}, s.call("a")), dispatch.OutcomeSuccess)
	slow.Store(true)
	// The silence timeout doubles with each call that fails as silent.
	const doublings = 3
	for range doublings {
		if client.Do(&CancelHandle{}, s.call("b")).Outcome == dispatch.OutcomeSuccess {
			return
		}
	}
	expectOutcome(t, client.Do(&CancelHandle{}, s.call("c")), dispatch.OutcomeSuccess)
}

// TestCancel guards against a cancelled call that keeps using the caller's buffers, or whose
// upstream gets no POST /cancel.
func TestCancel(t *testing.T) {
	arrived, cancelled := make(chan struct{}), make(chan string, 1)
	release := make(chan struct{})
	s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
		if r.URL.Path == "/cancel" {
			cancelled <- r.Header.Get(HeaderRequest)
			reply(c, r, 200, "")
			return true
		}
		close(arrived)
		<-release
		return false
	})
	defer close(release)
	client := NewClient(DefaultOptions())
	call := s.call("x")
	call.SupportsCancel = true
	handle := &CancelHandle{}
	go func() {
		<-arrived
		handle.Cancel()
	}()
	expectOutcome(t, client.Do(handle, call), dispatch.OutcomeCancelled)
	if got := <-cancelled; got != "request-x" {
		t.Errorf("cancel request for %q, expected request-x", got)
	}
	// A late Cancel must not interrupt another call that uses the connection.
	handle.Cancel()
}

// TestStreamEvents guards against lost, repeated or truncated tokens, and against accepting a
// truncated stream as complete.
func TestStreamEvents(t *testing.T) {
	for _, test := range []struct {
		name, head, body string
		tokens           int
		outcome          dispatch.OutcomeKind
	}{
		{"chunked", "Transfer-Encoding: chunked", chunk("data: a\n\n:note\n\n") + chunk("data: b\n\ndata: [DONE]\n\n") + "0\r\n\r\n", 2, dispatch.OutcomeSuccess},
		{"event split across chunks", "Transfer-Encoding: chunked", chunk("data: a") + chunk("\n") + chunk("\n") + "0\r\n\r\n", 1, dispatch.OutcomeSuccess},
		{"long event", "Transfer-Encoding: chunked", chunk("data: "+strings.Repeat("x", 10000)+"\n\n") + "0\r\n\r\n", 1, dispatch.OutcomeSuccess},
		{"truncated after an event", "Transfer-Encoding: chunked", chunk("data: a\n\n"), 1, dispatch.OutcomeReset},
		{"truncated within an event", "Transfer-Encoding: chunked", chunk("data: a\n\ndata: b"), 1, dispatch.OutcomeReset},
		{"truncated after an event, with a length", "Content-Length: 100", "data: a\n\n", 1, dispatch.OutcomeReset},
		{"whole, with a length", "Content-Length: 9", "data: a\n\n", 1, dispatch.OutcomeSuccess},
		{"closed without chunked encoding", "Connection: close", "data: a\n\n", 1, dispatch.OutcomeReset},
		{"closed after [DONE]", "Connection: close", "data: a\n\ndata: [DONE]\n\n", 1, dispatch.OutcomeSuccess},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
				if r.Header.Get(HeaderResumeFrom) != "3" || r.Header.Get("Accept") != "text/event-stream" {
					return false
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHoist-Request: request-x\r\nHoist-Stage: stage\r\nHoist-Attempt: 1\r\n%s\r\n\r\n%s", test.head, test.body)
				return false
			})
			call := s.call("x")
			tokens := 0
			call.Stream, call.ResumeFrom = true, 3
			call.OnEvent = func(_ []byte, token bool) {
				if token {
					tokens++
				}
			}
			expectOutcome(t, NewClient(testOptions()).Do(&CancelHandle{}, call), test.outcome)
			if tokens != test.tokens {
				t.Errorf("%d tokens, expected %d", tokens, test.tokens)
			}
		})
	}
}

// TestResponseWithoutEnd guards against a response that takes memory without bound: a head, a body or
// an event that goes on until the client closes the connection.
func TestResponseWithoutEnd(t *testing.T) {
	const maxWritten = 8 << 20
	for name, test := range map[string]struct {
		start, unit string
		stream      bool
	}{
		"status line":           {"HTTP/1.1 200 ", "x", false},
		"one header":            {"HTTP/1.1 200 OK\r\nA: ", "x", false},
		"many headers":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"noise":                 {"", "\x00\xff", false},
		"body without length":   {"HTTP/1.1 200 OK\r\n\r\n", "x", false},
		"body in chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", false},
		"chunk length":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", false},
		"event of short lines":  {"HTTP/1.1 200 OK\r\nHoist-Request: request-x\r\nHoist-Stage: stage\r\nHoist-Attempt: 1\r\n\r\n", "data: x\n", true},
		"event of one line":     {"HTTP/1.1 200 OK\r\nHoist-Request: request-x\r\nHoist-Stage: stage\r\nHoist-Attempt: 1\r\n\r\n", "x", true},
		"many headers, streams": {"HTTP/1.1 200 OK\r\n", "A: b\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written atomic.Int64
			block := strings.Repeat(test.unit, (16<<10)/len(test.unit))
			s := newServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				for _, err := io.WriteString(c, test.start); err == nil; {
					var n int
					n, err = io.WriteString(c, block)
					written.Add(int64(n))
				}
				return false
			})
			options := testOptions()
			options.MaxResponseBytes = 1 << 20
			call := s.call("x")
			call.Stream, call.OnEvent = test.stream, func([]byte, bool) {}
			if result := NewClient(options).Do(&CancelHandle{}, call); result.Outcome == dispatch.OutcomeSuccess || result.Outcome == dispatch.OutcomeTimeout {
				t.Errorf("outcome %d: %s", result.Outcome, result.Detail)
			}
			if n := written.Load(); n > maxWritten {
				t.Errorf("%d bytes were accepted, expected at most %d", n, maxWritten)
			}
		})
	}
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// TestHeaderInjection guards against a header value of a caller that adds headers to the
// request to the upstream.
func TestHeaderInjection(t *testing.T) {
	s := newServer(t, func(_ int64, c net.Conn, r *http.Request) bool {
		reply(c, r, 200, r.Header.Get("Injected"))
		return true
	})
	call := s.call("x")
	call.Traceparent = "00-a\r\nInjected: yes"
	result := NewClient(testOptions()).Do(&CancelHandle{}, call)
	expectOutcome(t, result, dispatch.OutcomeSuccess)
	if len(result.Body) != 0 {
		t.Errorf("the upstream received the injected header with value %q", result.Body)
	}
}

// FuzzParseLoad guards against a panic on, or a negative load from, a malformed report.
func FuzzParseLoad(f *testing.F) {
	f.Add("in_flight=3; state=cold")
	f.Add("in_flight=; state")
	f.Fuzz(func(t *testing.T, header string) {
		if report := parseLoad([]byte(header)); report != nil && report.InFlight < 0 {
			t.Errorf("%q gives %+v", header, report)
		}
	})
}

// FuzzReadEvents guards against events whose bytes differ from the stream.
func FuzzReadEvents(f *testing.F) {
	f.Add("data: a\n\n:b\r\n\r\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		var got strings.Builder
		_, err := readEvents(bufio.NewReaderSize(strings.NewReader(stream), 16), func(data []byte, _ bool) { got.Write(data) })
		strip := func(s string) string { return strings.NewReplacer("\n", "", "\r", "").Replace(s) }
		if err == nil && strings.TrimSpace(strip(got.String())) != strings.TrimSpace(strip(stream)) {
			t.Errorf("%q became %q", stream, got.String())
		}
	})
}
