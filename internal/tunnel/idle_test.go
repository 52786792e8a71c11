package tunnel

import (
	"io"
	"testing"
	"time"
)

// TestExtraBytesAreNotIdle guards against a connection that is reused although bytes after the response arrived.
func TestExtraBytesAreNotIdle(t *testing.T) {
	const response, extra = "response", "extra"
	near, far := tcpPair(t)
	conn, _ := openTo(t, near)
	for _, data := range []string{response, extra} {
		if _, err := far.Write([]byte(data)); err != nil {
			t.Fatal(err)
		}
		<-time.After(2 * time.Millisecond) // Makes two messages of them.
	}
	deadline := time.Now().Add(10 * time.Second)
	for conn.unreadBytes() < len(response)+len(extra) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes were received before the first was read", conn.unreadBytes())
		}
		<-time.After(time.Millisecond)
	}
	if _, err := io.ReadFull(conn, make([]byte, len(response))); err != nil {
		t.Fatal(err)
	}
	if conn.IsIdle() {
		t.Error("a connection with bytes after the response may be reused")
	}
	if got, err := io.ReadAll(io.LimitReader(conn, int64(len(extra)))); string(got) != extra {
		t.Errorf("read %q after the response: %v", got, err)
	}
}

// unreadBytes returns the number of bytes that were received and not read.
func (c *Conn) unreadBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread)
}
