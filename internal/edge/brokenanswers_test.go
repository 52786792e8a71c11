package edge

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// rawUpstream is an upstream that writes bytes of the test's choice.
type rawUpstream struct {
	// zone is the zone of the upstream; "zone-a", that of the VMs, if empty.
	zone     string
	listener net.Listener
	// early is set if the upstream reads the heads of requests alone. It then takes one on a connection.
	early bool
	// requests counts the requests, and closed those whose connection was then closed by the VM.
	requests atomic.Int64
	closed   atomic.Int64
	written  atomic.Int64
}

// newRawUpstream starts an upstream that calls respond with each request and its connection.
// The upstream then closes the connection if respond returns false.
func newRawUpstream(t *testing.T, respond func(u *rawUpstream, conn net.Conn, request *http.Request) bool) *rawUpstream {
	t.Helper()
	return startRawUpstream(t, &rawUpstream{}, respond)
}

// newEarlyUpstream is newRawUpstream for an upstream that responds before it has read the body.
func newEarlyUpstream(t *testing.T, respond func(u *rawUpstream, conn net.Conn, request *http.Request) bool) *rawUpstream {
	t.Helper()
	return startRawUpstream(t, &rawUpstream{early: true}, respond)
}

func startRawUpstream(t *testing.T, u *rawUpstream, respond func(u *rawUpstream, conn net.Conn, request *http.Request) bool) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, respond)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn, respond func(u *rawUpstream, conn net.Conn, request *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !u.early {
			_, _ = io.Copy(io.Discard, request.Body) // The response does not depend on the body.
		}
		u.requests.Add(1)
		if !respond(u, conn, request) || u.early {
			return
		}
	}
}

// write writes text and reports whether the connection is still open.
func (u *rawUpstream) write(conn net.Conn, text string) bool {
	n, err := io.WriteString(conn, text)
	u.written.Add(int64(n))
	if err != nil {
		u.closed.Add(1)
	}
	return err == nil
}

func (u *rawUpstream) entry(id string) catalog.Upstream {
	return catalog.Upstream{ID: id, Pool: "p", Address: u.listener.Addr().String(), Zone: cmp.Or(u.zone, "zone-a"), StartID: 1}
}

// head returns the head of a sealed response to the request.
func head(request *http.Request, headers string) string {
	return "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest: " + request.Header.Get("Request") + "\r\n" + headers + "\r\n"
}

const streamHeaders = "Content-Type: text/event-stream\r\n"

// startWithRawUpstreams starts one VM with a route of the kind to the upstreams.
func startWithRawUpstreams(t *testing.T, kind catalog.RequestKind, change func(*catalog.Route), upstreams ...*rawUpstream) *testFleet {
	t.Helper()
	f := startFleet(t, 1, func(s *Settings) { s.MemoryBytes = 184 << 20 })
	var entries []catalog.Upstream
	for i, u := range upstreams {
		entries = append(entries, u.entry(fmt.Sprint("u", i)))
	}
	f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{testRoute("/x/", kind, change)}}, entries...)
	return f
}

// TestAnswerThatIsNone guards against an answer that reaches the caller as a success although
// it is not the upstream's whole answer to this request, against a second run of a request that
// may have run, and against the statement that it has not run.
func TestAnswerThatIsNone(t *testing.T) {
	const whole = "Content-Length: 4\r\n"
	for name, answer := range map[string]func(request *http.Request) string{
		"no seal":             func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + whole + "\r\nbody" },
		"encoded body":        func(r *http.Request) string { return head(r, whole+"Content-Encoding: gzip\r\n") + "body" },
		"switching protocols": func(*http.Request) string { return "HTTP/1.1 101 Switching Protocols\r\nSeal: s\r\n\r\n" },
		"length and chunks": func(r *http.Request) string {
			return head(r, whole+"Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n"
		},
		"another request": func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest: other\r\n" + whole + "\r\nbody"
		},
		"shorter than stated":   func(r *http.Request) string { return head(r, "Content-Length: 9\r\n") + "body" },
		"chunks without end":    func(r *http.Request) string { return head(r, "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n" },
		"head that breaks off":  func(r *http.Request) string { return strings.TrimSuffix(head(r, whole), "\r\n") },
		"noise":                 func(*http.Request) string { return "\x00\x01\x02\r\n\r\n" },
		"stream without seal":   func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + streamHeaders + "\r\n" + sseEvent(1) },
		"encoded stream":        func(r *http.Request) string { return head(r, streamHeaders+"Content-Encoding: br\r\n") + sseEvent(1) },
		"stream out of order":   func(r *http.Request) string { return head(r, streamHeaders) + sseEvent(1) + sseEvent(3) + sseEvent(2) },
		"event twice":           func(r *http.Request) string { return head(r, streamHeaders) + sseEvent(2) + sseEvent(3) + sseEvent(2) },
		"stream inside event":   func(r *http.Request) string { return head(r, streamHeaders) + sseEvent(1) + "id: 2\nda" },
		"429 without statement": func(r *http.Request) string { return strings.Replace(head(r, whole), "200 OK", "429 x", 1) + "body" },
		"408 without statement": func(r *http.Request) string { return strings.Replace(head(r, whole), "200 OK", "408 x", 1) + "body" },
		"400 without seal":      func(*http.Request) string { return "HTTP/1.1 400 Bad Request\r\n" + whole + "\r\nbody" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				u.write(conn, answer(request))
				return false
			})
			f := startWithRawUpstreams(t, catalog.NonIdempotent, nil, u)
			response, body, err := f.send(0, "r", "/x/", nil)
			if err == nil && response.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d, body %q; expected 502, or an answer that breaks off", response.StatusCode, body)
			}
			if n := u.requests.Load(); n != 1 {
				t.Errorf("sent %d times, expected once", n)
			}
		})
	}
}

// TestAnswerWithoutEnd guards against an upstream that takes the memory of a VM with bytes that
// never make up an answer, or keeps its request until the deadline with them.
func TestAnswerWithoutEnd(t *testing.T) {
	// Chunks of one byte have five bytes of framing each. The rest is for socket buffers.
	const maxWritten = 6*(184<<20)/bodyMemoryDivisor + 8<<20
	for name, test := range map[string]struct {
		headers string
		unit    string
	}{
		"headers":                 {"", "A: b\r\n"},
		"body without length":     {"\r\n", "x"},
		"body in chunks":          {"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"event of short lines":    {streamHeaders + "\r\n", "data: x\n"},
		"event of one line":       {streamHeaders + "\r\n", "x"},
		"event of chunks":         {streamHeaders + "Transfer-Encoding: chunked\r\n\r\n", "8\r\ndata: x\n\r\n"},
		"id that does not end":    {streamHeaders + "\r\nid: ", "1"},
		"body of stated terabyte": {"Content-Length: 1000000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			block := strings.Repeat(test.unit, (16<<10)/len(test.unit))
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				for open := u.write(conn, strings.TrimSuffix(head(request, test.headers), "\r\n")); open; {
					open = u.write(conn, block)
				}
				return false
			})
			f := startWithRawUpstreams(t, catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = 20 * time.Second }, u)
			response, _, err := f.send(0, "r", "/x/", nil)
			if err == nil && response.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d, expected 502, or an answer that breaks off", response.StatusCode)
			}
			await(t, "the connection to the upstream is closed", func() bool { return u.closed.Load() > 0 })
			if n := u.written.Load(); n > maxWritten {
				t.Errorf("%d bytes were accepted, expected at most %d", n, maxWritten)
			}
		})
	}
}

// TestAnswersWithoutEndTogether guards against many long answers at a time that exceed the memory
// of a VM although each of them is within its limit.
func TestAnswersWithoutEndTogether(t *testing.T) {
	memory := newBodyMemory(184 << 20)
	const together = 64
	acquired, failed := int64(0), 0
	for range together {
		b, err := memory.read(strings.NewReader(strings.Repeat("x", int(memory.limit)-1)), -1, maxBodyBytes, memory.tryMemory)
		acquired += b.taken
		if err != nil {
			failed++
		}
	}
	if limit := int64(184<<20) / bodiesMemoryDivisor; acquired > limit {
		t.Errorf("%d bytes are held by %d bodies, expected at most %d", acquired, together, limit)
	}
	if failed == 0 || failed == together {
		t.Errorf("%d of %d bodies found no memory, expected some", failed, together)
	}
}

// TestStalledStream guards against a stream that never ends because its upstream sends a byte or
// a comment now and then, and against an end that looks complete.
func TestStalledStream(t *testing.T) {
	for name, test := range map[string]struct{ start, unit string }{
		"a byte now and then":       {sseEvent(1) + "id: 2\ndata: ", "x"},
		"comments":                  {sseEvent(1), ":\n\n"},
		"IDs without data":          {sseEvent(1), "id: 7\n\n"},
		"a byte before any event":   {"data: ", "x"},
		"comments before any event": {"", ":\n\n"},
		"silence":                   {sseEvent(1), ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				ticker := time.NewTicker(50 * time.Millisecond)
				defer ticker.Stop()
				for open := u.write(conn, head(request, streamHeaders)+test.start); open; open = u.write(conn, test.unit) {
					<-ticker.C
				}
				return false
			})
			f := startWithRawUpstreams(t, catalog.Stream, func(r *catalog.Route) { r.Timeout, r.Objective = time.Minute, 100*time.Millisecond }, u)
			started := time.Now()
			response, body, err := f.send(0, "r", "/x/", nil)
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("the stalled stream looks complete: %q", body)
			}
			// A caller waits two seconds for an event of such a route.
			if took := time.Since(started); took > 10*time.Second {
				t.Errorf("the stream ended after %v", took)
			}
			if n := u.requests.Load(); n != 1 {
				t.Errorf("sent %d times, expected once", n)
			}
		})
	}
}

// TestStalledStreamMovesOn guards against a caller that loses a stream whose upstream stalls
// although the route allows the stream to go on at another upstream.
func TestStalledStreamMovesOn(t *testing.T) {
	respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Last-Event") == "" {
			u.write(conn, head(request, streamHeaders)+sseEvent(1)+"id: 2\nda")
			_, _ = io.Copy(io.Discard, conn) // Returns when the VM closes the connection.
			return false
		}
		u.write(conn, head(request, streamHeaders)+sseEvent(2)+sseEvent(3))
		return false
	}
	f := startWithRawUpstreams(t, catalog.Stream, func(r *catalog.Route) { r.Resumable, r.Timeout, r.Objective = true, time.Minute, 100*time.Millisecond },
		newRawUpstream(t, respond), newRawUpstream(t, respond))
	_, body, err := f.send(0, "r", "/x/", nil)
	if want := sseEvent(1) + sseEvent(2) + sseEvent(3); err != nil || body != want {
		t.Errorf("body %q, error %v; expected %q", body, err, want)
	}
}

// TestSilentStreamLeavesSuspectZone guards against a caller that waits for its patience to end while
// membership suspects that the zone of the upstream is cut off, and against counting the request as
// the cause of the upstream's silence.
func TestSilentStreamLeavesSuspectZone(t *testing.T) {
	respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Last-Event") == "" {
			u.write(conn, head(request, streamHeaders)+sseEvent(1))
			_, _ = io.Copy(io.Discard, conn) // Returns when the VM closes the connection.
			return false
		}
		u.write(conn, head(request, streamHeaders)+sseEvent(2))
		return false
	}
	const objective = 10 * time.Second
	a, b := newRawUpstream(t, respond), newRawUpstream(t, respond)
	a.zone, b.zone = "zone-b", "zone-b"
	f := startWithRawUpstreams(t, catalog.Stream, func(r *catalog.Route) { r.Resumable, r.Timeout, r.Objective = true, time.Minute, objective }, a, b)
	// The VM knows no other one in that zone, and each change of membership would end the suspicion.
	done := make(chan struct{})
	defer close(done)
	go func() {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			f.servers[0].suspectZones.Store(&map[string]bool{"zone-b": true})
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	}()
	started := time.Now()
	_, body, err := f.send(0, "r", "/x/", nil)
	if want := sseEvent(1) + sseEvent(2); err != nil || body != want {
		t.Errorf("body %q, error %v; expected %q", body, err, want)
	}
	if took := time.Since(started); took > objective {
		t.Errorf("the stream moved on after %v, when its caller's patience had nearly ended", took)
	}
}

// TestSlowStream guards against cutting a stream that is slow but sound: its events come slower
// than the objective for gaps, and faster than a caller gives up.
func TestSlowStream(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			t.Parallel()
			const events = 6
			respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				ticker := time.NewTicker(800 * time.Millisecond)
				defer ticker.Stop()
				u.write(conn, head(request, streamHeaders))
				for id := 1; id <= events; id++ {
					<-ticker.C
					u.write(conn, sseEvent(id))
				}
				return false
			}
			a, b := newRawUpstream(t, respond), newRawUpstream(t, respond)
			f := startWithRawUpstreams(t, catalog.Stream, func(r *catalog.Route) {
				r.Resumable, r.Timeout, r.Objective, r.EventGapObjective = resumable, time.Minute, 100*time.Millisecond, 100*time.Millisecond
			}, a, b)
			_, body, err := f.send(0, "r", "/x/", nil)
			if err != nil || strings.Count(body, "data:") != events {
				t.Errorf("body %q, error %v; expected %d events", body, err, events)
			}
			if n := a.requests.Load() + b.requests.Load(); n != 1 {
				t.Errorf("sent %d times, expected once", n)
			}
		})
	}
}

// TestSlowBodyOfIdempotentRequest guards against waiting for a body that comes a byte at a time
// while another upstream could still answer.
func TestSlowBodyOfIdempotentRequest(t *testing.T) {
	var requests atomic.Int64
	respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
		if requests.Add(1) > 1 {
			return u.write(conn, head(request, "Content-Length: 2\r\n")+"ok")
		}
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for open := u.write(conn, head(request, "Content-Length: 1000\r\n")); open; open = u.write(conn, "x") {
			<-ticker.C
		}
		return false
	}
	f := startWithRawUpstreams(t, catalog.Idempotent, func(r *catalog.Route) { r.Timeout, r.Objective = 20*time.Second, 300*time.Millisecond },
		newRawUpstream(t, respond), newRawUpstream(t, respond))
	response, body, err := f.send(0, "r", "/x/", nil)
	if err != nil || response.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("%v %q, error %v; expected the answer of the other upstream", response, body, err)
	}
}

// TestSecondCopyOnUsedConnection lets an upstream send each answer a second time, on a connection
// that then serves the next request. It guards against a caller that gets the answer to another
// request, as a whole or as a stream.
func TestSecondCopyOnUsedConnection(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			t.Parallel()
			answer := func(request *http.Request) string {
				id := request.Header.Get("Request")
				if stream {
					text := "id: 1\ndata: " + id + "\n\n"
					return head(request, streamHeaders+fmt.Sprintf("Content-Length: %d\r\n", len(text))) + text
				}
				return head(request, fmt.Sprintf("Content-Length: %d\r\n", len(id))) + id
			}
			var lastAnswer sync.Map
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				if previous, ok := lastAnswer.Swap(conn.RemoteAddr().String(), answer(request)); ok {
					// The copy of the previous answer comes while the connection is in use again.
					u.write(conn, previous.(string))
				}
				return u.write(conn, answer(request))
			})
			kind := catalog.NonIdempotent
			if stream {
				kind = catalog.Stream
			}
			f := startWithRawUpstreams(t, kind, nil, u)
			foreign := 0
			for i := range 6 {
				id := fmt.Sprint("request-", i)
				response, body, err := f.send(0, id, "/x/", nil)
				switch {
				case err != nil || response.StatusCode == http.StatusBadGateway:
					foreign++
				case !strings.Contains(body, id):
					t.Errorf("%s got the answer %q", id, body)
				}
			}
			if foreign == 0 {
				t.Error("no connection was used again; the case was not tested")
			}
		})
	}
}

// TestSecondCopyOfRefusal lets an upstream refuse each second request and write the refusal once more on the
// connection: at once, or when the next request arrives. It guards against a caller that is told that its
// request has not run although it has, and against a second run of a request that may run once.
func TestSecondCopyOfRefusal(t *testing.T) {
	for _, kind := range []catalog.RequestKind{catalog.NonIdempotent, catalog.Idempotent, catalog.Stream} {
		for _, names := range []bool{true, false} {
			for _, atOnce := range []bool{true, false} {
				t.Run(fmt.Sprintf("kind %d, named %v, at once %v", kind, names, atOnce), func(t *testing.T) {
					t.Parallel()
					testSecondCopyOfRefusal(t, kind, names, atOnce)
				})
			}
		}
	}
}

func testSecondCopyOfRefusal(t *testing.T, kind catalog.RequestKind, names, atOnce bool) {
	refusal := func(id string) string {
		text := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
		if names {
			text += "Request: " + id + "\r\n"
		}
		return text + "\r\n"
	}
	var mu sync.Mutex
	runs, refused := map[string]int{}, map[net.Conn]string{}
	respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Request")
		mu.Lock()
		defer mu.Unlock()
		if earlier := refused[conn]; earlier != "" {
			u.write(conn, refusal(earlier))
		}
		if u.requests.Load()%2 == 0 {
			refused[conn] = id
			if atOnce {
				u.write(conn, refusal(id))
			}
			return u.write(conn, refusal(id))
		}
		runs[id]++
		refused[conn] = ""
		if kind == catalog.Stream {
			text := "id: 1\ndata: " + id + "\n\n"
			return u.write(conn, head(request, streamHeaders+fmt.Sprintf("Content-Length: %d\r\n", len(text)))+text)
		}
		return u.write(conn, head(request, fmt.Sprintf("Content-Length: %d\r\n", len(id)))+id)
	}
	f := startWithRawUpstreams(t, kind, nil, newRawUpstream(t, respond), newRawUpstream(t, respond))
	for i := range 30 {
		id := fmt.Sprint("request-", i)
		response, body, err := f.send(0, id, "/x/", nil)
		mu.Lock()
		ran := runs[id]
		mu.Unlock()
		if err == nil && response.StatusCode == http.StatusServiceUnavailable && ran > 0 && kind != catalog.Idempotent {
			t.Errorf("%s ran, and its caller is told that it has not", id)
		}
		if ran > 1 && kind != catalog.Idempotent {
			t.Errorf("%s ran %d times", id, ran)
		}
		if err == nil && response.StatusCode == http.StatusOK && !strings.Contains(body, id) {
			t.Errorf("%s got the answer %q", id, body)
		}
	}
}
