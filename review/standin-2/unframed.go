package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	// unframedEvents is the number of events of a stream, and of lines of another answer.
	unframedEvents   = 20
	unframedGapMS    = 60
	unframedRequests = 12
	// killAfter is when workers are killed, counted from the first request: each stream is in its middle.
	killAfter = 700 * time.Millisecond
)

// runUnframed checks that an answer whose worker is killed in its middle does not look complete. The answers
// have neither a length nor chunks and end with their channel.
func runUnframed(s *scene) (broken bool, err error) {
	s.configure(route("once", "stream", false, 1), route("again", "stream", true, 2), route("plain", "safe", false, 2))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var workers []*workerProcess
	for i := range 4 {
		ip := s.prefix + strconv.Itoa(101+i)
		port, err := freePort(ip)
		if err != nil {
			return false, err
		}
		options := workerOptions{
			ID: "w" + strconv.Itoa(i+1), Address: fmt.Sprint(ip, ":", port), Slots: 64, Queue: 192, Events: unframedEvents, FirstMS: 50, GapMS: unframedGapMS, Unframed: true,
		}
		p, err := s.addWorker(options, zones[i%len(zones)], nil)
		if err != nil {
			return false, err
		}
		workers = append(workers, p)
	}
	vms, err := s.addVMs(zones, 284, 4100)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range unframedRequests {
		path := []string{"/once/x", "/again/x", "/plain/x"}[n%3]
		prefix, tokens := promptOf(fmt.Sprintf("%08x", 0x70000000+n), false)
		r := request{id: fmt.Sprintf("%s-%d", path[1:strings.LastIndexByte(path, '/')], n), path: path, prefix: prefix, tokens: tokens, deadline: 15 * time.Second}
		v := vms[n%len(vms)]
		s.note("client: sends %s to %s", r.id, v.name)
		wg.Go(func() {
			a := r.send(v.front)
			parts := countParts(path, a.body)
			s.note("client: %s is answered: status %d, %d of %d parts, complete %v, error %v", r.id, a.status, parts, unframedEvents, a.complete, a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.complete && a.status == 200 && parts < unframedEvents {
				s.note("check: the answer to %s is a success and looks complete, but %d parts are missing", r.id, unframedEvents-parts)
				broken = true
			}
		})
	}
	if s.trouble {
		time.Sleep(killAfter)
		for _, p := range s.busiest(workers) {
			s.note("trouble: SIGKILL to worker %s", p.options.ID)
			_ = p.cmd.Process.Kill()
			id := p.options.ID
			time.AfterFunc(expiry, func() { s.store.remove(wire.WorkerKeys + id) })
		}
	}
	wg.Wait()
	return broken, nil
}

// countParts returns the number of events of a stream, or of lines of another answer.
func countParts(path, body string) int {
	if isStream(path) {
		return strings.Count(body, "\n\n")
	}
	return strings.Count(body, "\n")
}

// busiest returns the worker that runs the most requests.
func (s *scene) busiest(workers []*workerProcess) []*workerProcess {
	runs := map[string]int{}
	for _, seen := range s.sightings() {
		if seen.what == "runs" {
			runs[seen.worker]++
		}
	}
	best := workers[0]
	for _, p := range workers {
		if runs[p.options.ID] > runs[best.options.ID] {
			best = p
		}
	}
	return []*workerProcess{best}
}
