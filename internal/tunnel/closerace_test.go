package tunnel

import (
	"sync/atomic"
	"testing"
)

// TestCloseIsNoBreak guards against a carrier that is taken for failed since this side closed a connection.
func TestCloseIsNoBreak(t *testing.T) {
	const conns = 3000
	var broken atomic.Int64
	client := newClient(t, &echoServer{})
	for range conns {
		conn, err := Open(t.Context(), client, "u", "10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if err := conn.Receive(); err != nil {
				broken.Add(1)
			}
		}()
		_ = conn.Close()
		<-ended
	}
	if n := broken.Load(); n > 0 {
		t.Errorf("%d of %d connections that this side closed count as broken by the carrier", n, conns)
	}
}
