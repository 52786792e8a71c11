package upstream

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// TestResponsesWithoutEndTogether guards against an upstream whose responses, each below the limit for one,
// take the memory of the process together.
func TestResponsesWithoutEndTogether(t *testing.T) {
	const calls, bodyBytes, totalBytes = 16, 16 << 20, 32 << 20
	block := strings.Repeat("x", 64<<10)
	for name, test := range map[string]struct{ head, start, end string }{
		"no length": {head: "\r\n"},
		"length":    {head: "Content-Length: 60000000\r\n\r\n"},
		"chunks":    {head: "Transfer-Encoding: chunked\r\n\r\n", start: "10000\r\n", end: "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := newServer(t, func(_ int64, c net.Conn, _ *http.Request) bool {
				_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n", test.head)
				for sent := 0; err == nil && sent < bodyBytes; sent += len(block) {
					_, err = fmt.Fprint(c, test.start, block, test.end)
				}
				<-release
				return false
			})
			options := testOptions()
			options.MaxResponseMemory = totalBytes
			client := NewClient(options)
			results := make(chan Result, calls)
			var handles [calls]CancelHandle
			var wg sync.WaitGroup
			for i := range handles {
				call := s.call(fmt.Sprint(i))
				call.EchoesIdentity, call.NonIdempotent = false, true
				wg.Go(func() { results <- client.Do(&handles[i], call) })
			}
			// The total, and half of it for responses that hold less than their share.
			const maxHeld = totalBytes * 3 / 2 / bodyBytes
			for range calls - maxHeld {
				select {
				case result := <-results:
					expectOutcome(t, result, dispatch.OutcomeFailed)
				case <-time.After(10 * time.Second):
					t.Fatal("more responses are held than the memory for all allows")
				}
			}
			for i := range handles {
				handles[i].Cancel()
			}
			close(release)
			wg.Wait()
			if held := client.responses.held; held != 0 {
				t.Errorf("%d bytes are held after all calls", held)
			}
		})
	}
}

// TestShareOfResponseMemory guards against small responses that fail because large ones have taken the
// memory, and against memory that is not returned.
func TestShareOfResponseMemory(t *testing.T) {
	m := &responseMemory{total: 1000}
	large, small := m.begin(), m.begin()
	if err := large.take(1000); err != nil {
		t.Fatal(err)
	}
	if large.take(1) == nil {
		t.Error("a large response holds more than all may")
	}
	if err := small.take(250); err != nil {
		t.Errorf("a response below its share: %v", err)
	}
	if small.take(1) == nil {
		t.Error("a response above its share takes memory that is not there")
	}
	large.end()
	if err := small.take(700); err != nil {
		t.Errorf("after the large response has ended: %v", err)
	}
	small.end()
	if m.held != 0 || m.readings != 0 {
		t.Errorf("%d bytes and %d responses are left", m.held, m.readings)
	}
}

// TestResponseMemoryIsBounded guards against responses that begin one after the other and each take their
// share beside what the earlier ones hold.
func TestResponseMemoryIsBounded(t *testing.T) {
	m := &responseMemory{total: 1000}
	for range 200 {
		r := m.begin()
		for r.take(1) == nil {
		}
	}
	if m.held > m.total*3/2 {
		t.Errorf("%d bytes are held, expected at most one and a half times %d", m.held, m.total)
	}
}
