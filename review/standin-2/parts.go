package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case. A prompt has the parts of a session with many turns.
const (
	sharedParts  = 40
	taintedIndex = 35
	taintedPart  = "deadbeef"
	// workerDown is how long a worker that has crashed is away.
	workerDown     = 2500 * time.Millisecond
	soundInterval  = 50 * time.Millisecond
	taintInterval  = 1500 * time.Millisecond
	partsDuration  = 40 * time.Second
	stableWindow   = 3 * time.Second
	countedCrashes = 5
	maxArrivals    = 3
)

// promptOf returns the parts of a prompt: the shared ones and a last one of its own.
func promptOf(last string, tainted bool) (prefix string, tokens int) {
	var parts []string
	for i := range sharedParts {
		id := fmt.Sprintf("%08x", 0x5c1e0000+i)
		if tainted && i == taintedIndex {
			id = taintedPart
		}
		parts = append(parts, id+":100")
	}
	parts = append(parts, last+":50")
	return strings.Join(parts, ","), sharedParts*100 + 50
}

// runParts checks the rule BUDGET on parts of prompts that crash workers.
func runParts(s *scene) (broken bool, err error) {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	s.configure(route("chat", "stream", false, 1))
	crashPart := ""
	if s.trouble {
		crashPart = taintedPart
	}
	var generations sync.Map
	var restart func(p *workerProcess)
	add := func(name, address, zone string) error {
		n, _ := generations.LoadOrStore(name, new(int))
		*n.(*int)++
		_, err := s.addWorker(workerOptions{
			ID: fmt.Sprintf("%s-%d", name, *n.(*int)), Address: address, Slots: 64, Queue: 192, Events: 5, FirstMS: 100, GapMS: 60, CrashPart: crashPart,
		}, zone, restart)
		return err
	}
	restart = func(p *workerProcess) {
		id := p.options.ID
		time.AfterFunc(expiry, func() { s.store.remove(wire.WorkerKeys + id) })
		time.AfterFunc(workerDown, func() {
			if err := add(id[:strings.LastIndexByte(id, '-')], p.options.Address, p.zone); err != nil {
				s.note("restart of %s: %v", id, err)
			}
		})
	}
	for i := range 9 {
		ip := s.prefix + strconv.Itoa(101+i)
		port, err := freePort(ip)
		if err != nil {
			return false, err
		}
		if err := add("w"+strconv.Itoa(i+1), fmt.Sprint(ip, ":", port), zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	vms, err := s.addVMs(zones, 284, 4100)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	sendPartsTraffic(s, vms)
	return checkParts(s), nil
}

// sendPartsTraffic sends sound requests, and now and then one whose prompt has the tainted part.
func sendPartsTraffic(s *scene, vms []*vm) {
	var wg sync.WaitGroup
	send := func(kind string, n int, tainted bool) {
		id := fmt.Sprintf("%s-%d", kind, n)
		prefix, tokens := promptOf(fmt.Sprintf("%08x", 0x70000000+n), tainted)
		r := request{id: id, path: "/chat/x", prefix: prefix, tokens: tokens, deadline: 10 * time.Second}
		v := vms[n%len(vms)]
		s.note("client: sends %s to %s", id, v.name)
		wg.Go(func() {
			a := r.send(v.front)
			s.note("client: %s is answered: status %d, %d bytes, complete %v, error %v", id, a.status, len(a.body), a.complete, a.err)
		})
	}
	end := time.After(partsDuration)
	sound, taint := time.NewTicker(soundInterval), time.NewTicker(taintInterval)
	defer sound.Stop()
	defer taint.Stop()
	for n := 0; ; n++ {
		select {
		case <-sound.C:
			send("sound", n, false)
		case <-taint.C:
			send("tainted", n, true)
		case <-end:
			wg.Wait()
			return
		}
	}
}

// checkParts counts the requests with the tainted part that reach workers later than the stable window
// after the fifth crash.
func checkParts(s *scene) bool {
	var crashes []time.Time
	late, lost := 0, 0
	for _, seen := range s.sightings() {
		if seen.what == "crashes" {
			crashes = append(crashes, seen.at)
		}
	}
	for _, seen := range s.sightings() {
		if seen.what == "arrives" && strings.HasPrefix(seen.request, "tainted") && len(crashes) >= countedCrashes && seen.at.After(crashes[countedCrashes-1].Add(stableWindow)) {
			late++
		}
		if seen.what == "runs" && strings.HasPrefix(seen.request, "sound") && len(crashes) > 0 {
			lost++
		}
	}
	for _, seen := range s.sightings() {
		if seen.what == "ends" && strings.HasPrefix(seen.request, "sound") && len(crashes) > 0 {
			lost--
		}
	}
	s.note("check: %d crashes; %d requests with the part reached workers later than %s after the fifth, %d are allowed; %d sound requests began to run and did not end", len(crashes), late, stableWindow, maxArrivals, lost)
	return late > maxArrivals
}
