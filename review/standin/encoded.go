package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// invoices is the number of requests that can't be repeated, of each form of the path.
	invoices = 200
	// invoiceInterval is the time between two of them.
	invoiceInterval = 50 * time.Millisecond
	// lostEvery says which answers of one worker are lost: each that many. They are lost from lostFrom
	// after the first request for lostTime.
	lostEvery = 5
	lostFrom  = 2 * time.Second
	lostTime  = 5500 * time.Millisecond
)

// invoiceWatch counts how often each request ran.
type invoiceWatch struct {
	mu   sync.Mutex
	runs map[string]int
}

// run counts a run.
func (i *invoiceWatch) run(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.runs[id]++
}

// twice returns how many of the requests ran more than once.
func (i *invoiceWatch) twice(ids []string) (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, id := range ids {
		if i.runs[id] > 1 {
			n++
		}
	}
	return n
}

// encodedPath: a worker runs requests that can't be repeated and some of its answers are lost. The
// path of one half of the requests has an encoded slash.
func encodedPath(s *scene) bool {
	watch := &invoiceWatch{runs: map[string]int{}}
	var answers atomic.Int64
	var areLost atomic.Bool
	serve := func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
		_, _ = io.Copy(io.Discard, r.Body) // A channel that has broken shows in work.
		watch.run(id)
		s.log("worker %s runs %s, path %s", w.currentID(), id, r.RequestURI)
		if !work(r.Context(), 30*time.Millisecond) {
			return
		}
		if areLost.Load() && w.zone == "sines" && answers.Add(1)%lostEvery == 0 {
			s.log("the answer of worker %s to %s is lost", w.currentID(), id)
			resetChannel(rw)
			return
		}
		w.answer(rw, id)
		_, _ = io.WriteString(rw, `{"ok":true}`) // A client that has left sees the error itself.
	}
	var vms []*vm
	for i, zone := range []string{"sines", "leixoes", "aveiras"} {
		vms = append(vms, s.addVM(i+2, zone))
		s.startWorker(fmt.Sprintf("i-90062%03x", i), "huno90b", zone, 0, serve)
	}
	s.publish([]any{
		// Requests to /bobo563/lo7/ can't be repeated, but for those to /bobo563/lo7/2026/.
		invoiceRoute("huno90b"),
		map[string]any{
			"name": "r-balance", "host": host, "prefix": "/bobo563/lo7/2026/", "service": "huno90b", "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 500,
			"priority": 2, "max_attempts": 2,
		},
	}, []any{map[string]any{"name": "huno90b", "health_path": "/health", "max_conns": 49, "cold_s": 0.0}})
	startAll(vms)

	// Invoice 2026/17 has the path 2026%2F17; no configuration allows the route r-balance for it.
	paths := map[string]string{"encoded": "/bobo563/lo7/2026%2F17", "plain": "/bobo563/lo7/17"}
	ids := map[string][]string{}
	time.AfterFunc(lostFrom, func() { areLost.Store(s.trouble) })
	time.AfterFunc(lostFrom+lostTime, func() { areLost.Store(false) })
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range invoices {
		time.Sleep(invoiceInterval)
		for form, path := range paths {
			wg.Go(func() {
				out := s.send(vms[n%len(vms)], path, fmt.Sprintf(`{"invoice":"2026/17","line":%d}`, n), 3*time.Second, nil)
				s.log("request %s, path %s: status %d", out.id, path, out.status)
				mu.Lock()
				defer mu.Unlock()
				ids[form] = append(ids[form], out.id)
			})
		}
	}
	wg.Wait()
	encoded, plain := watch.twice(ids["encoded"]), watch.twice(ids["plain"])
	s.log("requests that can't be repeated and ran twice: %d with an encoded slash, %d without", encoded, plain)
	fmt.Printf("requests that ran twice: %d with an encoded slash, %d without, of %d each\n", encoded, plain, invoices)
	return encoded+plain > 0
}

// resetChannel resets the channel of a request.
func resetChannel(rw http.ResponseWriter) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return // The channel has broken already.
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The close then resets the channel.
	}
	_ = conn.Close()
}
