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

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// TestEndlessBodiesLeaveMemory guards against answers that do not end and take all memory for answers, so
// that other answers wait for it until their deadline; and against bodies that keep it beyond the time
// of their request.
func TestEndlessBodiesLeaveMemory(t *testing.T) {
	const (
		memory      = 64 << 20
		largeBodies = 4
		// Four such bodies, each of which then waits for its next byte, take all but 16 KB.
		endlessBytes  = (252 + 6*256) << 10
		ordinaryBytes = 200 << 10
	)
	for name, endlessHeaders := range map[string]string{"no length": "", "length": fmt.Sprintf("Content-Length: %d\r\n", memory/bodyMemoryDivisor-1)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			var releaseOnce sync.Once
			t.Cleanup(func() { releaseOnce.Do(func() { close(release) }) })
			u := newRawUpstream(t, func(u *rawUpstream, conn net.Conn, request *http.Request) bool {
				if strings.HasPrefix(request.Header.Get("Request"), "endless") {
					u.write(conn, head(request, endlessHeaders)+strings.Repeat("x", endlessBytes))
					<-release
					return false
				}
				return u.write(conn, head(request, fmt.Sprintf("Content-Length: %d\r\n", ordinaryBytes))+strings.Repeat("y", ordinaryBytes))
			})
			f := startFleet(t, 1, func(s *Settings) { s.MemoryBytes = memory })
			f.publish(&catalog.Catalog{Version: 1, Pools: singlePool(), Routes: []catalog.Route{
				testRoute("/endless/", catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = 12 * time.Second }),
				testRoute("/x/", catalog.NonIdempotent, func(r *catalog.Route) { r.Timeout = 5 * time.Second }),
			}}, u.entry("u0"))
			var wg sync.WaitGroup
			for i := range largeBodies {
				wg.Go(func() {
					response, _, err := f.send(0, fmt.Sprint("endless-", i), "/endless/", nil)
					if err == nil && response.StatusCode != http.StatusGatewayTimeout && response.StatusCode != http.StatusBadGateway {
						t.Errorf("endless body %d: status %d, expected 502 or 504", i, response.StatusCode)
					}
				})
			}
			free := f.servers[0].responseMemory.free
			await(t, "the memory is taken", func() bool {
				if free.TryAcquire(ordinaryBytes) {
					free.Release(ordinaryBytes)
					return false
				}
				return u.requests.Load() == largeBodies
			})
			for i := range 3 {
				response, body, err := f.send(0, fmt.Sprint("r", i), "/x/", nil)
				if err != nil || response.StatusCode != http.StatusOK || len(body) != ordinaryBytes {
					t.Errorf("ordinary request %d: %v, %d bytes, error %v", i, response, len(body), err)
				}
			}
			wg.Wait()
			if !free.TryAcquire(memory / bodiesMemoryDivisor) {
				t.Error("memory is held after the end of all requests")
			}
		})
	}
}

// pendingReader returns bytes up to a limit, and then nothing until the context ends.
type pendingReader struct {
	ctx  context.Context
	left int
}

// Read implements io.Reader.
func (r *pendingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		<-r.ctx.Done()
		return 0, r.ctx.Err()
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

// TestBodiesThatWaitForEachOther guards against bodies that each hold memory and wait for more, so that
// none of them ends, and against an ordinary body that is broken off because of them.
func TestBodiesThatWaitForEachOther(t *testing.T) {
	const (
		memory      = 64 << 20
		largeBodies = 16
	)
	m := newResponseMemory(memory)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for range largeBodies {
		wg.Go(func() {
			bodyContext, interrupt := context.WithCancel(ctx)
			defer interrupt()
			b, err := m.readResponse(ctx, &pendingReader{bodyContext, memory/bodyMemoryDivisor - 1}, -1, interrupt)
			defer b.release()
			if err == nil || errors.Is(err, errBodyTooLarge) {
				t.Errorf("error %v, expected that the body is broken off", err)
			}
		})
	}
	await(t, "a body broken off", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.reading) < largeBodies && m.waiting == 0
	})
	for range 3 {
		body := strings.Repeat("y", 32<<10)
		b, err := m.readResponse(ctx, strings.NewReader(body), -1, func() { t.Error("the ordinary body is broken off") })
		if err != nil || b.size() != int64(len(body)) {
			t.Errorf("%d bytes, error %v", b.size(), err)
		}
		b.release()
	}
	cancel()
	wg.Wait()
	if !m.free.TryAcquire(memory/bodiesMemoryDivisor) || m.revoked != 0 || m.waiting != 0 || len(m.reading) != 0 {
		t.Errorf("memory is held after the end of all bodies: %d revoked, %d awaited, %d being read", m.revoked, m.waiting, len(m.reading))
	}
}
