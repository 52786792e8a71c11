package harness

import (
	"fmt"
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// TestFreePortIsNotInUse guards against "address already in use" on a port that was just
// found free: a child of the test process that had not yet reached its exec held a copy of
// the listening socket with which the port had been checked.
func TestFreePortIsNotInUse(t *testing.T) {
	const (
		// starters is the number of scripts that start programs at the same time.
		starters = 4
		starts   = 400
	)
	allocated, err := ports.allocate(1)
	if err != nil {
		t.Fatal(err)
	}
	var started atomic.Int64
	var running sync.WaitGroup
	defer running.Wait()
	for range starters {
		running.Go(func() {
			for started.Add(1) <= starts {
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	checks, inUse := 0, 0
	for started.Load() <= starts {
		// A child may also hold a copy of the listener of the previous iteration.
		if !isPortFree(allocated[0]) {
			continue
		}
		checks++
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", allocated[0]))
		if err != nil {
			inUse++
			continue
		}
		_ = listener.Close()
	}
	if inUse > 0 || checks == 0 {
		t.Errorf("in %d of %d attempts, the port was in use after it was found free", inUse, checks)
	}
}

// TestPortWithListenerIsNotFree guards against a check that misses a listener, since the
// check binds a socket and does not listen.
func TestPortWithListenerIsNotFree(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "0.0.0.0:0", "[::]:0"} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if isPortFree(listener.Addr().(*net.TCPAddr).Port) {
			t.Errorf("the port of a listener on %s is reported as free", address)
		}
		_ = listener.Close()
	}
}
