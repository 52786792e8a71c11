package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// uploadBytes is more than a connection takes whose upstream reads nothing, and less than a VM accepts.
const uploadBytes = 4 << 20

// resetDuringUpload answers a request of which it has read the head alone, and resets the connection.
func resetDuringUpload(u *rawUpstream, conn net.Conn, answer string) bool {
	u.write(conn, answer)
	<-time.After(20 * time.Millisecond)
	return resetConn(conn)
}

// upload sends a request with a long body and returns the response, its body, and an error if it does not
// look complete.
func upload(t *testing.T, f *testFleet, protocol, id string) (*http.Response, string, error) {
	t.Helper()
	caller := newRawCaller(t, f)
	head := fmt.Sprintf("POST /x/ %s\r\nHost: a.example\r\nRequest: %s\r\nContent-Length: %d\r\n\r\n", protocol, id, uploadBytes)
	if _, err := caller.conn.Write(append([]byte(head), make([]byte, uploadBytes)...)); err != nil {
		t.Fatal(err)
	}
	return caller.read(http.MethodPost)
}

// TestResetDuringUpload guards against a part of an answer that reaches the caller as a whole one, since
// the connection to the upstream was reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 6
	stream, resumable := catalog.Stream, func(r *catalog.Route) { r.Resumable = true }
	for name, test := range map[string]struct {
		kind    catalog.RequestKind
		change  func(*catalog.Route)
		headers string
		part    string
		// want is the body of the answer if the request can go on at the other upstream.
		want string
	}{
		"whole answer":                 {kind: catalog.NonIdempotent, part: "part"},
		"whole answer, repeatable":     {kind: catalog.Idempotent, part: "part", want: sseEvent(1) + sseEvent(2) + sseEvent(3)},
		"stream":                       {kind: stream, headers: streamHeaders, part: sseEvent(1)},
		"stream, inside an event":      {kind: stream, headers: streamHeaders, part: sseEvent(1) + "id: 2\nda"},
		"resumed stream":               {kind: stream, change: resumable, headers: streamHeaders, part: sseEvent(1), want: sseEvent(1) + sseEvent(2) + sseEvent(3)},
		"resumed stream, second event": {kind: stream, change: resumable, headers: streamHeaders, part: sseEvent(1) + sseEvent(2), want: sseEvent(1) + sseEvent(2) + sseEvent(3)},
	} {
		for _, protocol := range callerProtocols {
			t.Run(name+" "+protocol, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int64
				respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
					if requests.Add(1) == 1 {
						return resetDuringUpload(u, conn, head(request, test.headers)+test.part)
					}
					_, _ = io.Copy(io.Discard, request.Body) // The answer does not depend on the body.
					u.write(conn, head(request, test.headers)+eventsAfter(request))
					return false
				}
				for i := range uploads {
					requests.Store(0)
					// Each request has its own VM, which knows of no earlier failure of an upstream.
					f := startWithRawUpstreams(t, test.kind, test.change, newEarlyUpstream(t, respond), newEarlyUpstream(t, respond))
					response, body, err := upload(t, f, protocol, fmt.Sprint("r", i))
					body = strings.ReplaceAll(body, ":\n\n", "")
					switch {
					case test.want != "" && (err != nil || body != test.want):
						t.Errorf("upload %d: body %q, error %v; expected %q", i, body, err, test.want)
					case test.want == "" && err == nil && response.StatusCode != http.StatusBadGateway:
						t.Errorf("upload %d: the part of an answer looks complete: status %d, body %q", i, response.StatusCode, body)
					}
				}
			})
		}
	}
}

// TestStageCallIsReset guards against results of a stage that are used although the connection was reset
// while the call was still being written.
func TestStageCallIsReset(t *testing.T) {
	results := `[{"Handle":"127.0.0.1:1/1-0"},{"Handle":"127.0.0.1:1/1-1"}]`
	for name, body := range map[string]string{"part": results[:20], "whole": results} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newEarlyUpstream(t, func(u *rawUpstream, conn net.Conn, _ *http.Request) bool {
				return resetDuringUpload(u, conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
			})
			runner := newPoolRunner("a", startFleet(t, 1, nil).servers[0])
			for range 20 {
				call := twoPieceCall()
				call.Pieces[0].Key = strings.Repeat("k", uploadBytes)
				if outcome, _, _, err := runner.sendCall(call, u.listener.Addr().String()); outcome != stagepool.CallFailed {
					t.Errorf("outcome %s, error %v", callOutcomeNames[outcome], err)
				}
			}
		})
	}
}
