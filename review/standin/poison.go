package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashDowntime is how long a crashed worker is down.
	crashDowntime = 2 * time.Second
	// poisonInterval is the time between two sends of the request that crashes workers.
	poisonInterval = 2500 * time.Millisecond
	// innocentInterval is the time between two other requests.
	innocentInterval = 15 * time.Millisecond
	// maxRetries is how many retries may reach workers later than the stable window after the third
	// crash.
	maxRetries = 3
	// poisonBody is the body of the request that crashes workers.
	poisonBody = `{"contract":"heating-77","month":"2026-11"}`
	// sendsAfterThirdCrash is how often the request comes again after that.
	sendsAfterThirdCrash = 10
)

// poisonWatch counts the crashes and the arrivals of the request that crashes workers.
type poisonWatch struct {
	scene *scene
	mu    sync.Mutex
	// third is when the third worker crashed.
	third    time.Time
	crashes  int
	arrivals []time.Time
	// innocentLost counts the other requests that failed.
	innocentLost atomic.Int64
	// stop ends the other requests, and innocents waits for their ends.
	stop      chan struct{}
	innocents sync.WaitGroup
}

func (p *poisonWatch) arrive(id, worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, time.Now())
	p.scene.log("worker %s runs the crashing request, attempt %s", worker, id)
}

func (p *poisonWatch) crash(w *worker, nextID string) {
	p.mu.Lock()
	p.crashes++
	if p.crashes == 3 {
		p.third = time.Now()
	}
	p.mu.Unlock()
	w.crash(crashDowntime, nextID)
}

// lateRetries returns the number of arrivals that were sent later than the stable window after the
// third crash.
func (p *poisonWatch) lateRetries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, at := range p.arrivals {
		if !p.third.IsZero() && at.After(p.third.Add(stableWindow)) {
			n++
		}
	}
	return n
}

func (p *poisonWatch) thirdCrash() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.third
}

// repeat sends the crashing request again and again, each time by the machine that next returns,
// until it came often enough after the third crash. It returns whether the rule was broken.
func (p *poisonWatch) repeat(next func(n int) *vm, path string, headers map[string]string) bool {
	s, sends := p.scene, 0
	for n := 0; n < 25 && sends < sendsAfterThirdCrash; n++ {
		v := next(n)
		out := s.send(v, path, poisonBody, 8*time.Second, headers)
		s.log("attempt %s of the crashing request by %s: status %d, complete %v", out.id, v.name, out.status, out.complete)
		if third := p.thirdCrash(); !third.IsZero() && out.sent.After(third.Add(stableWindow)) {
			sends++
		}
		time.Sleep(poisonInterval)
	}
	close(p.stop)
	p.innocents.Wait()
	late := p.lateRetries()
	s.log("crashes of workers: %d; sends later than %v after the third crash: %d, of which %d reached workers (allowed: %d); other requests lost: %d",
		p.crashes, stableWindow, sends, late, maxRetries, p.innocentLost.Load())
	fmt.Printf("crashes %d, late sends %d, of which reached workers %d (allowed %d), other requests lost %d\n", p.crashes, sends, late, maxRetries, p.innocentLost.Load())
	return late > maxRetries
}

// sendInnocents sends other requests that can't be repeated until stop is closed, and counts those
// that failed.
func (p *poisonWatch) sendInnocents(vms []*vm, path string) {
	defer p.innocents.Done()
	ticker := time.NewTicker(innocentInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		v := vms[n%len(vms)]
		p.innocents.Go(func() {
			out := p.scene.send(v, path, fmt.Sprintf(`{"invoice":%d}`, n), 3*time.Second, nil)
			p.scene.log("request %s by %s: status %d, complete %v", out.id, v.name, out.status, out.complete)
			if out.status != http.StatusOK {
				p.innocentLost.Add(1)
				p.scene.log("request %s is lost", out.id)
			}
		})
	}
}

// serveInvoice answers a request that can't be repeated.
func serveInvoice(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
	w.scene.log("worker %s runs %s", w.currentID(), id)
	if work(r.Context(), 100*time.Millisecond) {
		w.answer(rw, id)
		_, _ = io.WriteString(rw, `{"ok":true}`) // A client that has left sees the error itself.
	}
}

// serveStream writes a stream of events; it calls after with the number of each event that was sent.
func serveStream(w *worker, rw http.ResponseWriter, r *http.Request, id string, after func(n int) (goOn bool)) {
	w.answer(rw, id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 12; n++ {
		if !work(r.Context(), 30*time.Millisecond) {
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, id, n)
		_ = http.NewResponseController(rw).Flush()
		if !after(n) {
			return
		}
	}
}

// poisonStream: a stream crashes each worker that begins to run it, just after its first event.
func poisonStream(s *scene) bool {
	p := &poisonWatch{scene: s, stop: make(chan struct{})}
	var lifetimes atomic.Int64
	newID := func() string { return fmt.Sprintf("i-7f3a%04x", lifetimes.Add(1)) }
	serve := func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
		body, _ := io.ReadAll(r.Body)
		if !strings.HasPrefix(r.URL.Path, "/puxa400/") {
			serveInvoice(w, rw, r, id)
			return
		}
		isPoison := string(body) == poisonBody
		if isPoison {
			p.arrive(id, w.currentID())
		}
		serveStream(w, rw, r, id, func(n int) bool {
			if !isPoison || !s.trouble {
				return true
			}
			time.Sleep(20 * time.Millisecond)
			p.crash(w, newID())
			return false
		})
	}
	zones := []string{"sines", "leixoes", "aveiras"}
	var vms []*vm
	for i, zone := range zones {
		vms = append(vms, s.addVM(i+2, zone))
	}
	s.publish([]any{
		map[string]any{
			"name": "r-summary", "host": host, "prefix": "/puxa400/", "service": "dahu75a", "kind": "stream", "timeout_ms": 8000, "target_latency_ms": 1000,
			"gap_aim_ms": 400, "priority": 1, "max_attempts": 1, "sticky": true, "resumable": false,
		},
		invoiceRoute("dahu75a"),
	}, []any{map[string]any{"name": "dahu75a", "health_path": "/health", "max_conns": 280, "cold_s": 0.0, "cold_per_s": 13.0, "engine": map[string]any{"slots": 64, "kv_capacity": 548311}}})
	for i := range 6 {
		s.startWorker(newID(), "dahu75a", zones[i%3], 0, serve)
	}
	startAll(vms)
	p.innocents.Add(1)
	go p.sendInnocents(vms, "/bobo563/lo7/")
	return p.repeat(func(n int) *vm { return vms[n%len(vms)] }, "/puxa400/2f", map[string]string{
		wire.Model: "m", wire.TokenCounts: "1460,80", wire.PromptPrefix: "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
	})
}

// invoiceRoute is a route whose requests can't be repeated.
func invoiceRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-invoice", "host": host, "prefix": "/bobo563/lo7/", "service": service, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 500,
		"priority": 2, "max_attempts": 1,
	}
}

// startAll starts machines that know each other as seeds, and waits until they are ready and have
// run for the stable window.
func startAll(vms []*vm) {
	var seeds []string
	for _, v := range vms[:min(3, len(vms))] {
		seeds = append(seeds, v.controlAddress())
	}
	for _, v := range vms {
		v.writeSettings(seeds)
		v.start()
	}
	awaitReady(vms...)
	time.Sleep(stableWindow + time.Second)
}
