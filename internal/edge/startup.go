package edge

import (
	"sync"
	"time"
)

// startupWait is how long after the start of a VM requests wait for the first configuration
// instead of being refused. Tables arrive within that time even if all VMs start at once, while a
// refused caller retries after one second at the earliest.
const startupWait = time.Second

// startup tells requests when the first configuration of this VM is in force.
type startup struct {
	configured chan struct{}
	once       sync.Once
}

func newStartup() *startup { return &startup{configured: make(chan struct{})} }

// setConfigured records that a configuration is in force.
func (s *startup) setConfigured() { s.once.Do(func() { close(s.configured) }) }

// awaitConfiguration waits for the first configuration while the VM has just started, at most until
// a planned stop cuts requests off.
func (t *transaction) awaitConfiguration() {
	if t.view != nil && t.view.Catalog != nil {
		return
	}
	left := t.s.startupWait - t.s.now().Sub(t.s.startedAt)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-t.s.startup.configured:
	case <-timer.C:
	case <-t.r.Context().Done():
	case <-t.s.stop.cut.Done():
	}
	t.view = t.s.view.Load()
}
