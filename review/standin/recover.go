package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// pollInterval is the time between two requests to one machine, and pollWork what a worker takes.
	pollInterval = 25 * time.Millisecond
	pollWork     = 150 * time.Millisecond
	// recoveryTime is recovery_s of the settings.
	recoveryTime = 12 * time.Second
	// judgedTime is how long requests are counted after it.
	judgedTime = 10 * time.Second
)

// recoverIdentical: all processes are killed and come back. Then two workers crash, one after the
// other, and come back. The callers ask for the same thing again and again.
func recoverIdentical(s *scene) bool {
	serve := func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
		s.log("worker %s runs %s", w.currentID(), id)
		if work(r.Context(), pollWork) {
			w.answer(rw, id)
			_, _ = io.WriteString(rw, `{"balance":4711}`) // A client that has left sees the error itself.
		}
	}
	var vms []*vm
	var workers []*worker
	for i, zone := range []string{"sines", "leixoes", "aveiras"} {
		vms = append(vms, s.addVM(i+2, zone))
		workers = append(workers, s.startWorker(fmt.Sprintf("i-90062%03x", i), "huno90b", zone, 0, serve))
	}
	s.publish([]any{map[string]any{
		"name": "r-balance", "host": host, "prefix": "/bobo563/lo7/", "service": "huno90b", "kind": "safe", "timeout_ms": 1500, "target_latency_ms": 300,
		"priority": 2, "max_attempts": 2,
	}}, []any{map[string]any{"name": "huno90b", "health_path": "/health", "max_conns": 49, "cold_s": 0.0}})
	workers = append(workers, s.startWorker("i-90062003", "huno90b", "sines", 0, serve))
	startAll(vms)

	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	ended := make(chan struct{})
	for _, v := range vms {
		wg.Go(func() {
			ticker := time.NewTicker(pollInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ended:
					return
				case <-ticker.C:
				}
				wg.Go(func() {
					out := s.poll(v)
					s.log("request %s by %s: status %d", out.id, v.name, out.status)
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, out)
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	faultAt := time.Now()
	if s.trouble {
		s.log("all processes are killed")
		for _, v := range vms {
			v.signal(syscall.SIGKILL)
		}
		time.Sleep(1400 * time.Millisecond)
		for _, v := range vms {
			v.start()
		}
	}
	awaitReady(vms...)
	back := time.Now()
	s.log("the machines are back")
	for _, w := range workers[:2] {
		time.Sleep(3 * time.Second)
		if s.trouble {
			w.crash(crashDowntime, w.currentID()+"a")
		}
	}
	time.Sleep(time.Until(back.Add(recoveryTime + judgedTime)))
	close(ended)
	wg.Wait()
	before := servedShare(outcomes, time.Time{}, faultAt.Add(-time.Second))
	after := servedShare(outcomes, back.Add(recoveryTime), time.Now())
	s.log("served before the fault: %.3f; of the requests sent later than %v after the machines were back: %.3f", before, recoveryTime, after)
	fmt.Printf("served before %.3f, after the recovery time %.3f (a quarter is required)\n", before, after)
	return before >= 0.25 && after < 0.25
}

// poll asks for the balance.
func (s *scene) poll(v *vm) outcome {
	out := outcome{id: s.newID(), sent: time.Now()}
	request, err := http.NewRequest(http.MethodGet, "http://"+v.frontAddress()+"/bobo563/lo7/2f", nil)
	require(err)
	request.Host = host
	request.Header.Set(wire.AttemptID, out.id)
	request.Header.Set(wire.Deadline, "1500")
	request.Header.Set("Authorization", "Token "+apiKey)
	out.read(request)
	return out
}

// servedShare returns the share of the requests sent in a time that were answered with success.
func servedShare(outcomes []outcome, from, to time.Time) float64 {
	sent, served := 0, 0
	for _, out := range outcomes {
		if out.sent.Before(from) || out.sent.After(to) {
			continue
		}
		sent++
		if out.complete && out.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}
