package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// coldPerSecond is the number of requests per second that a cold worker tolerates, and coldTime
	// how long it is cold.
	coldPerSecond = 13.0
	coldTime      = 8 * time.Second
	// coldBound is the number of requests in one second that the rule allows for a cold worker.
	coldBound = coldPerSecond*coldOverage + coldSlack
	// crashRate is the number of requests in one second beyond which a cold worker crashes.
	crashRate = 2 * coldPerSecond
	// requestInterval is the time between two requests to one machine.
	requestInterval = 40 * time.Millisecond
)

// arrival is a request that reached a cold worker.
type arrival struct {
	sent, arrived time.Time
}

// coldWatch counts the requests that reach cold workers.
type coldWatch struct {
	scene *scene
	mu    sync.Mutex
	sent  map[string]time.Time
	// arrivals are the requests that reached each lifetime of a worker while it was cold.
	arrivals map[string][]arrival
	lost     atomic.Int64
	ended    atomic.Bool
}

// arrive records a request and reports whether the worker crashes of it.
func (c *coldWatch) arrive(w *worker, id string) (crashes bool) {
	w.mu.Lock()
	worker, isCold := w.id, time.Now().Before(w.coldEnd)
	w.mu.Unlock()
	if !isCold {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.scene.log("request %s reaches the cold worker %s", id, worker)
	c.arrivals[worker] = append(c.arrivals[worker], arrival{c.sent[id], now})
	recent := 0
	for _, a := range c.arrivals[worker] {
		if now.Sub(a.arrived) < time.Second {
			recent++
		}
	}
	return recent > crashRate
}

// most returns the most requests that were sent and reached one lifetime of a worker inside one
// second.
func (c *coldWatch) most() (worker string, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, arrivals := range c.arrivals {
		for _, first := range arrivals {
			n := 0
			for _, a := range arrivals {
				if !a.sent.Before(first.sent) && a.arrived.Before(first.sent.Add(time.Second)) {
					n++
				}
			}
			if n > most {
				worker, most = id, n
			}
		}
	}
	return worker, most
}

// load sends requests to a machine until the case ends.
func (c *coldWatch) load(v *vm, wg *sync.WaitGroup) {
	defer wg.Done()
	for !c.ended.Load() {
		time.Sleep(requestInterval)
		wg.Go(func() {
			id := c.scene.newID()
			c.mu.Lock()
			c.sent[id] = time.Now()
			c.mu.Unlock()
			out := c.scene.sendAs(id, v, "/bobo563/lo7/2f", fmt.Sprintf(`{"invoice":%q}`, id), 1500*time.Millisecond, nil)
			c.scene.log("request %s by %s: status %d, complete %v", id, v.name, out.status, out.complete)
			if out.status != http.StatusOK && out.status != http.StatusServiceUnavailable {
				c.lost.Add(1)
				c.scene.log("request %s is lost", id)
			}
		})
	}
}

// splitFleet: all machines lose power. Those that the seeds name stay down; the others come back, and
// the platform writes their new seeds into their settings files. Then workers come back cold.
func splitFleet(s *scene) bool {
	c := &coldWatch{scene: s, sent: map[string]time.Time{}, arrivals: map[string][]arrival{}}
	var lifetimes atomic.Int64
	newID := func() string { return fmt.Sprintf("i-90062%03x", lifetimes.Add(1)) }
	serve := func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
		if c.arrive(w, id) {
			w.crashCold(1500*time.Millisecond, newID(), coldTime)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // A channel that has broken shows in work.
		s.log("worker %s runs %s", w.currentID(), id)
		if work(r.Context(), 60*time.Millisecond) {
			w.answer(rw, id)
			_, _ = io.WriteString(rw, `{"ok":true}`) // A client that has left sees the error itself.
		}
	}
	var named, others []*vm
	for i, zone := range []string{"sines", "leixoes", "aveiras"} {
		named = append(named, s.addVM(2+2*i, zone))
		others = append(others, s.addVM(3+2*i, zone))
	}
	s.publish([]any{invoiceRoute("huno90b")}, []any{map[string]any{
		"name": "huno90b", "health_path": "/health", "max_conns": 280, "cold_s": coldTime.Seconds(), "cold_per_s": coldPerSecond,
	}})
	workers := []*worker{s.startWorker(newID(), "huno90b", "sines", 0, serve), s.startWorker(newID(), "huno90b", "sines", 0, serve)}
	startAll(append(append([]*vm{}, named...), others...))

	var wg sync.WaitGroup
	for _, v := range others {
		wg.Add(1)
		go c.load(v, &wg)
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.losePower(named, others)
	}
	awaitReady(others...)
	time.Sleep(2 * stableWindow)

	c.lost.Store(0)
	s.log("the workers go and come back cold")
	for _, w := range workers {
		w.crashCold(time.Second, newID(), coldTime)
	}
	time.Sleep(coldTime)
	c.ended.Store(true)
	wg.Wait()
	worker, most := c.most()
	s.log("most requests in one second at a cold worker: %d at %s (allowed: %.1f); requests lost since: %d", most, worker, coldBound, c.lost.Load())
	fmt.Printf("most requests in one second at a cold worker: %d (allowed %.1f), requests lost %d\n", most, coldBound, c.lost.Load())
	return float64(most) > coldBound
}

// losePower ends all machines at once. The others come back, and the platform writes their new seeds
// after the time by which seeds may be late.
func (s *scene) losePower(named, others []*vm) {
	s.log("all machines lose power")
	for _, v := range append(append([]*vm{}, named...), others...) {
		v.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
	var seeds []string
	for _, v := range others {
		v.start()
		seeds = append(seeds, v.controlAddress())
	}
	time.Sleep(seedLag)
	for _, v := range others {
		v.writeSettings(seeds)
		v.signal(syscall.SIGHUP)
		s.log("%s has new settings with the seeds %v, and SIGHUP", v.name, seeds)
	}
}
