package ingress

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

func accept(t *testing.T, a *Account, now clock.Instant, name string) *Conn {
	t.Helper()
	c, _ := a.Accept(now, name)
	if c == nil {
		t.Fatalf("%s is refused", name)
	}
	return c
}

func names(closing []Closing) []string {
	var out []string
	for _, c := range closing {
		out = append(out, c.Conn.Owner.(string)+" "+c.Reason.String())
	}
	return out
}

func expectClosed(t *testing.T, closing []Closing, want ...string) {
	t.Helper()
	got := names(closing)
	if len(got) != len(want) {
		t.Fatalf("closed %v, expected %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("closed %v, expected %v", got, want)
		}
	}
}

// TestEvictionOrder guards against a connection that is closed while a less valuable one is kept.
func TestEvictionOrder(t *testing.T) {
	a := New(Limits{Connections: 6})
	running, idle := accept(t, a, 1, "running"), accept(t, a, 1, "idle")
	for _, c := range []*Conn{running, idle} {
		a.Received(2, c, 100, 3)
		if !a.Begin(2, c) || !a.Admit(2, c) {
			t.Fatal("not admitted")
		}
	}
	a.End(3, idle)
	accept(t, a, 4, "unused")
	slow, old, fresh := accept(t, a, 5, "slow"), accept(t, a, 5, "old"), accept(t, a, 5, "fresh")
	a.Received(6, slow, 1, 0)
	a.Received(7, old, 2000, 1)
	a.Received(8, fresh, 2000, 1)
	a.Received(9, slow, 1, 0) // A single byte is no progress.
	for _, want := range []string{"slow", "old", "fresh", "unused"} {
		_, closing := a.Accept(10, "next")
		if got := names(closing); want == "unused" {
			expectClosed(t, closing, "unused connection_limit")
		} else if len(got) != 1 || got[0] != want+" connection_limit" {
			t.Fatalf("closed %v, expected %s", got, want)
		}
	}
	// The new ones never sent anything; then comes the idle one, and the running one stays.
	for range 4 {
		_, closing := a.Accept(11, "later")
		expectClosed(t, closing, "next connection_limit")
	}
	if idle.Phase() != Idle || running.Phase() != Running {
		t.Fatalf("phases %v and %v", idle.Phase(), running.Phase())
	}
}

// TestRunningIsNeverClosed guards against a request that is cut off for a limit, and against a closed
// connection whose request runs.
func TestRunningIsNeverClosed(t *testing.T) {
	a := New(Limits{Connections: 2})
	first, second := accept(t, a, 1, "first"), accept(t, a, 1, "second")
	a.Begin(2, first)
	a.Admit(2, first)
	a.Begin(2, second)
	third, closing := a.Accept(3, "third")
	expectClosed(t, closing, "second connection_limit")
	if a.Admit(4, second) {
		t.Error("the request of a closed connection is admitted")
	}
	a.Begin(4, third)
	a.Admit(4, third)
	if c, closing := a.Accept(5, "fourth"); c != nil || len(closing) > 0 || a.Stats().Refused != 1 {
		t.Errorf("accepted %v, closed %v", c, names(closing))
	}
}

// TestRefusedConnectionIsNotClosed guards against a new connection that is reset before its refusal is
// written, since running requests hold all of the memory.
func TestRefusedConnectionIsNotClosed(t *testing.T) {
	a := New(Limits{Bytes: ConnectionBytes + ConnectionBytes/2})
	running := accept(t, a, 1, "running")
	a.Received(2, running, 100, 3)
	if !a.Begin(2, running) || !a.Admit(2, running) {
		t.Fatal("not admitted")
	}
	refused, closing := a.Accept(3, "new")
	if refused != nil {
		t.Error("accepted beyond the memory limit")
	}
	expectClosed(t, closing)
	if stats := a.Stats(); stats.Refused != 1 || stats.Closed[MemoryLimit] != 0 {
		t.Errorf("refused %d and closed %d, expected 1 and 0", stats.Refused, stats.Closed[MemoryLimit])
	}
}

// TestMemoryOfHeads guards against an account that counts the bytes of a head and not its cost, and
// against heads that take the memory of other requests.
func TestMemoryOfHeads(t *testing.T) {
	a := New(Limits{Bytes: 4 * ConnectionBytes})
	old, next := accept(t, a, 1, "old"), accept(t, a, 2, "next")
	expectClosed(t, a.Received(3, old, 1000, 10))
	// 200 lines cost about as much as two connections.
	expectClosed(t, a.Received(4, next, 800, 200), "old memory_limit")
	expectClosed(t, a.Received(5, next, 800, 200), "next memory_limit")
	if stats := a.Stats(); stats.HeldBytes != 0 {
		t.Errorf("%d bytes are held by no connection", stats.HeldBytes)
	}
}

// TestLargeHeadsGiveWay guards against a small head that is closed because it waits for its handler while
// large heads make progress.
func TestLargeHeadsGiveWay(t *testing.T) {
	a := New(Limits{Bytes: 8 * ConnectionBytes})
	small, large, next := accept(t, a, 1, "small"), accept(t, a, 1, "large"), accept(t, a, 1, "next")
	a.Received(2, small, 1000, 10)
	a.Received(3, large, ConnectionBytes, 0)
	expectClosed(t, a.Received(4, next, ConnectionBytes, 0), "large memory_limit")
	// A head that has made no progress for a while goes before a larger one.
	large = accept(t, a, 5, "large")
	now := clock.Instant(stallTime) + 5
	expectClosed(t, a.Received(now, large, ConnectionBytes, 0), "small memory_limit")
}

// TestBodiesGiveWay guards against bodies that never arrive and keep the memory for bodies.
func TestBodiesGiveWay(t *testing.T) {
	a := New(Limits{Bytes: 1 << 20, BodyBytes: 1000})
	stuck, running, next := accept(t, a, 1, "stuck"), accept(t, a, 1, "running"), accept(t, a, 1, "next")
	for _, c := range []*Conn{running, stuck, next} {
		a.Begin(2, c)
	}
	for _, c := range []*Conn{running, stuck} {
		if ok, _ := a.Reserve(2, c, 400); !ok {
			t.Fatal("no room")
		}
	}
	a.Admit(3, running)
	ok, closing := a.Reserve(3, next, 600)
	expectClosed(t, closing, "stuck memory_limit")
	if !ok {
		t.Error("no room although a body gave way")
	}
	if ok, closing := a.Reserve(3, next, 600); ok || len(closing) > 0 {
		t.Errorf("room taken from a running request, closed %v", names(closing))
	}
	a.End(4, running)
	if stats := a.Stats(); stats.BodyBytes != 600 {
		t.Errorf("%d bytes are held for bodies, expected 600", stats.BodyBytes)
	}
}

// TestTimeLimits guards against heads and idle connections that stay for ever, also if single bytes
// arrive.
func TestTimeLimits(t *testing.T) {
	a := New(Limits{HeadTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second, HeadBytes: 1000})
	second := clock.Instant(time.Second)
	head, large := accept(t, a, 0, "head"), accept(t, a, 0, "large")
	accept(t, a, 0, "unused")
	idle := accept(t, a, 0, "idle")
	a.Begin(0, idle)
	a.Admit(0, idle)
	a.End(2*second, idle)
	expectClosed(t, a.Received(second, large, 1001, 0), "large head_too_large")
	a.Received(second, head, 1, 0)
	a.Received(5*second, head, 1, 0)
	expectClosed(t, a.Tick(6*second))
	expectClosed(t, a.Tick(6*second+1), "head head_timeout")
	expectClosed(t, a.Tick(10*second+1), "unused idle_timeout")
	expectClosed(t, a.Tick(12*second+1), "idle idle_timeout")
}

// TestMultiplexedConnectionsStay guards against pings between two calls that count as a head without
// end, and against bytes between calls that are not counted.
func TestMultiplexedConnectionsStay(t *testing.T) {
	a := New(Limits{HeadTimeout: time.Second, Bytes: 3 * ConnectionBytes, Multiplexed: true})
	known, next := accept(t, a, 0, "known"), accept(t, a, 0, "next")
	a.Received(1, known, 100, 0)
	a.Begin(1, known)
	a.Admit(1, known)
	a.End(1, known)
	a.Received(2, known, 100, 0)
	expectClosed(t, a.Tick(clock.Instant(time.Hour)))
	expectClosed(t, a.Received(3, known, ConnectionBytes, 0), "next memory_limit")
	expectClosed(t, a.Received(4, known, ConnectionBytes-200, 0))
	expectClosed(t, a.Received(5, known, ConnectionBytes, 0), "known memory_limit")
	if next.Phase() != Closed {
		t.Error("the unused connection is still open")
	}
}

// TestClosedConnectionsHoldMemory guards against heads that are read while those of closed connections
// are still in memory.
func TestClosedConnectionsHoldMemory(t *testing.T) {
	a := New(Limits{Bytes: 8 * ConnectionBytes})
	old, next := accept(t, a, 1, "old"), accept(t, a, 1, "next")
	a.Received(2, old, 2*ConnectionBytes, 0)
	if a.Crowded() {
		t.Error("crowded without closed connections")
	}
	expectClosed(t, a.Received(3, next, 100, 100), "old memory_limit")
	if !a.Crowded() || !next.IsReading() || old.IsReading() {
		t.Error("not crowded although a closed connection holds memory")
	}
	a.Remove(old)
	a.Remove(old)
	if a.Crowded() {
		t.Error("crowded after the connection was removed")
	}
}

// TestAccountHolds checks with random events that the limits hold after each, that no running
// connection is closed and that the sums are those of the connections.
func TestAccountHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Bytes: int64(rapid.IntRange(1, 10).Draw(t, "bytes")) * ConnectionBytes,
			BodyBytes: 3 * ConnectionBytes, HeadBytes: 8000, HeadTimeout: 50, IdleTimeout: 80,
		}
		a := New(limits)
		var open []*Conn
		var now clock.Instant
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += clock.Instant(rapid.IntRange(0, 20).Draw(t, "pause"))
			wasRunning := map[*Conn]bool{}
			for _, c := range open {
				wasRunning[c] = c.phase == Running
			}
			var closing []Closing
			event := rapid.IntRange(0, 7).Draw(t, "event")
			if event == 0 || len(open) == 0 {
				var c *Conn
				if c, closing = a.Accept(now, nil); c != nil {
					open = append(open, c)
				}
			} else {
				c := open[rapid.IntRange(0, len(open)-1).Draw(t, "conn")]
				switch event {
				case 1, 2:
					closing = a.Received(now, c, rapid.IntRange(1, 4000).Draw(t, "received"), rapid.IntRange(0, 200).Draw(t, "lines"))
				case 3:
					if c.phase != Running {
						a.Begin(now, c)
					}
				case 4:
					if c.phase == Body {
						_, closing = a.Reserve(now, c, int64(rapid.IntRange(1, 2*ConnectionBytes).Draw(t, "body")))
					}
				case 5:
					if c.phase == Body {
						a.Admit(now, c)
					}
				case 6:
					if c.phase == Running || c.phase == Body {
						a.End(now, c)
					}
				case 7:
					closing = a.Tick(now)
				}
			}
			for _, closed := range closing {
				if wasRunning[closed.Conn] {
					t.Fatal("a running connection was closed")
				}
				open = slices.DeleteFunc(open, func(c *Conn) bool { return c == closed.Conn })
			}
			var held, body int64
			for _, c := range open {
				held, body = held+c.held, body+c.body
			}
			if held != a.held || body != a.body || len(open) != a.open() {
				t.Fatalf("held %d, body %d, open %d; the connections hold %d and %d and are %d", a.held, a.body, a.open(), held, body, len(open))
			}
			if a.held > limits.Bytes || a.body > limits.BodyBytes || a.open() > limits.Connections {
				t.Fatalf("held %d, body %d, open %d exceed %+v", a.held, a.body, a.open(), limits)
			}
		}
	})
}

// BenchmarkReceived measures a head that arrives in two parts beside 1,000 others.
func BenchmarkReceived(b *testing.B) {
	a := New(Limits{Connections: 2000, Bytes: 1 << 30, BodyBytes: 1 << 30, HeadBytes: 1 << 20})
	var last *Conn
	for range 1000 {
		last, _ = a.Accept(1, nil)
		a.Received(1, last, 1, 0)
	}
	b.ReportAllocs()
	for now := clock.Instant(2); b.Loop(); now++ {
		a.Received(now, last, 800, 10)
		a.Received(now, last, 800, 10)
		a.Begin(now, last)
		a.Admit(now, last)
		a.End(now, last)
	}
}
