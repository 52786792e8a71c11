package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestLongStreamIsResumed guards against a stream that is not resumed since its first upstream failed when
// the request had arrived longer ago than callers wait for the next event.
func TestLongStreamIsResumed(t *testing.T) {
	var requestClock partClock
	respond := func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
		if request.Header.Get("Last-Event") == "" {
			// The events until now have taken longer than a caller waits for one.
			requestClock.advance(2 * (minStreamPatience + patienceMargin))
			u.write(conn, head(request, streamHeaders)+sseEvent(1)+"id: 2\nda")
			return false
		}
		u.write(conn, head(request, streamHeaders)+sseEvent(2)+sseEvent(3))
		return false
	}
	f := startFleetWith(t, 1, nil, func(s *Server) {
		s.now = func() clock.Instant { return bootclock.Now().Add(time.Duration(requestClock.ahead.Load())) }
	})
	a, b := newRawUpstream(t, respond), newRawUpstream(t, respond)
	f.publish(&catalog.Catalog{
		Version: 1, Pools: singlePool(),
		Routes: []catalog.Route{testRoute("/x/", catalog.Stream, func(r *catalog.Route) { r.Resumable, r.Timeout, r.Objective = true, time.Minute, 100*time.Millisecond })},
	}, a.entry("a"), b.entry("b"))
	_, body, err := f.send(0, "r", "/x/", nil)
	if want := sseEvent(1) + sseEvent(2) + sseEvent(3); err != nil || body != want {
		t.Errorf("body %q, error %v; expected %q", body, err, want)
	}
}
