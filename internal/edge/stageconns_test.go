package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// newCopyingUpstream starts an upstream that calls answer with the number and the path of each request,
// and sends the answers to requests with the path a second time where the next answer on the connection
// is expected. Any path is meant if it is empty.
func newCopyingUpstream(t *testing.T, copied string, answer func(n int64, path string) string) *rawUpstream {
	t.Helper()
	var copies sync.Map
	return newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
		text := answer(u.requests.Load(), request.URL.Path)
		if previous, ok := copies.LoadAndDelete(conn.RemoteAddr().String()); ok {
			u.write(conn, previous.(string))
		}
		if copied == "" || copied == request.URL.Path {
			copies.Store(conn.RemoteAddr().String(), text)
		}
		return u.write(conn, text)
	})
}

func okAnswer(headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", headers, len(body), body)
}

// stageAnswer returns the results of a call with two pieces; the names of the handles have the number.
func stageAnswer(n int64) string {
	return okAnswer("", fmt.Sprintf(`[{"Handle":"127.0.0.1:1/%d-0"},{"Handle":"127.0.0.1:1/%d-1"}]`, n, n))
}

func twoPieceCall() stagepool.Call {
	return stagepool.Call{Upstream: "s", Pieces: make([]stagepool.CallPiece, 2), Timeout: 5 * time.Second}
}

// closedConnections returns the number of connections that were closed for the reason.
func closedConnections(s *Server, pool, reason string) float64 {
	return testutil.ToFloat64(s.metrics.stageConnectionsClosed.WithLabelValues(pool, reason))
}

// TestSecondCopyOfResultsWithoutHandle guards against requests that run with the inputs of other
// requests: nothing tells a second copy of an answer without a handle from the answer to the next call,
// and from then on each call on the connection gets the answer to the call before it.
func TestSecondCopyOfResultsWithoutHandle(t *testing.T) {
	for name, first := range map[string]string{
		"no handle":  `[{"Outcome":4},{"Outcome":4}]`,
		"one handle": `[{"Handle":"127.0.0.1:1/1-0"},{"Outcome":3}]`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newCopyingUpstream(t, "", func(n int64, _ string) string {
				if n == 1 {
					return okAnswer("", first)
				}
				return stageAnswer(n)
			})
			f := startFleet(t, 1, nil)
			runner := newPoolRunner("a", f.servers[0])
			for n := range 4 {
				outcome, results, _, err := runner.sendCall(twoPieceCall(), u.listener.Addr().String())
				if n == 0 && outcome != stagepool.CallAnswered {
					t.Fatalf("first call: outcome %s, error %v", callOutcomeNames[outcome], err)
				}
				if n == 0 || outcome == stagepool.CallFailed {
					continue
				}
				if want := fmt.Sprintf("127.0.0.1:1/%d-0", u.requests.Load()); len(results) != 2 || results[0].Handle != want {
					t.Errorf("call %d has the results %v, expected %s", n, results, want)
				}
			}
			if n := closedConnections(f.servers[0], "a", "result_without_handle"); n != 1 {
				t.Errorf("%v connections counted, expected 1", n)
			}
		})
	}
}

// TestSecondCopyAfterHandOver guards against results of another request after a pool was divided anew:
// its runners share connections, so they must share what is known of the results that came on them.
func TestSecondCopyAfterHandOver(t *testing.T) {
	u := newCopyingUpstream(t, "", func(n int64, _ string) string { return stageAnswer(n) })
	f := startFleet(t, 1, nil)
	if outcome, _, _, err := newPoolRunner("a", f.servers[0]).sendCall(twoPieceCall(), u.listener.Addr().String()); outcome != stagepool.CallAnswered {
		t.Fatalf("outcome %s, error %v", callOutcomeNames[outcome], err)
	}
	outcome, results, _, _ := newPoolRunner("a/2", f.servers[0]).sendCall(twoPieceCall(), u.listener.Addr().String())
	if outcome != stagepool.CallFailed {
		t.Errorf("outcome %s, results %v; expected that the copy is found", callOutcomeNames[outcome], results)
	}
	if n := closedConnections(f.servers[0], "a/2", "foreign_response"); n != 1 {
		t.Errorf("%v connections counted, expected 1", n)
	}
}

// TestSecondCopyOfPlainAnswers guards against the free memory of an earlier query, and against stage calls
// that fail, after second copies of answers that say nothing about their request: those to memory
// queries and releases.
func TestSecondCopyOfPlainAnswers(t *testing.T) {
	for _, copied := range []string{"/memory", "/release"} {
		t.Run(copied, func(t *testing.T) {
			t.Parallel()
			u := newCopyingUpstream(t, copied, func(n int64, path string) string {
				switch path {
				case "/memory":
					return okAnswer("", fmt.Sprint(n))
				case "/release":
					return okAnswer("", "")
				}
				return stageAnswer(n)
			})
			f := startFleet(t, 1, nil)
			runner := newPoolRunner("a", f.servers[0])
			address := u.listener.Addr().String()
			for step := range strings.FieldsSeq("stage release query query stage release release stage") {
				checkPlainAnswer(t, runner, u, step, address)
			}
			if queries := closedConnections(f.servers[0], "a", "memory_query"); queries != 2 {
				t.Errorf("%v connections of queries counted, expected 2", queries)
			}
		})
	}
}

func checkPlainAnswer(t *testing.T, runner *poolRunner, u *rawUpstream, step, address string) {
	t.Helper()
	switch step {
	case "release":
		if !runner.sendRelease(address, []string{"127.0.0.1:1/x"}) {
			t.Error("release failed")
		}
	case "query":
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		free, err := runner.fetchFreeMemory(ctx, address)
		if want := u.requests.Load(); err != nil || free != want {
			t.Errorf("free memory %d, error %v; expected %d", free, err, want)
		}
	case "stage":
		outcome, results, _, err := runner.sendCall(twoPieceCall(), address)
		if want := fmt.Sprintf("127.0.0.1:1/%d-0", u.requests.Load()); outcome != stagepool.CallAnswered || results[0].Handle != want {
			t.Errorf("outcome %s, results %v, error %v; expected %s", callOutcomeNames[outcome], results, err, want)
		}
	}
}

// TestContradictoryStageAnswer guards against using a connection again after an answer that has results
// and says at the same time that the call did not run, or has an encoding that no upstream uses.
func TestContradictoryStageAnswer(t *testing.T) {
	for _, headers := range []string{"Not-Run: 1\r\n", "Content-Encoding: gzip\r\n"} {
		u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, _ *http.Request) bool {
			return u.write(conn, strings.Replace(stageAnswer(u.requests.Load()), "OK\r\n", "OK\r\n"+headers, 1))
		})
		f := startFleet(t, 1, nil)
		runner := newPoolRunner("a", f.servers[0])
		before := f.servers[0].client.Stats.Reuses.Load()
		for range 2 {
			if outcome, _, _, _ := runner.sendCall(twoPieceCall(), u.listener.Addr().String()); outcome == stagepool.CallAnswered {
				t.Errorf("%q: outcome %s", headers, callOutcomeNames[outcome])
			}
		}
		if n := f.servers[0].client.Stats.Reuses.Load() - before; n != 0 {
			t.Errorf("%q: the connection was used again", headers)
		}
	}
}
