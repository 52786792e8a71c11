package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case: a machine of the deployment's sheet, and a crowd of clients.
const (
	memoryMB    = 144
	memoryFDs   = 3075
	crowd       = 1800
	crowdSpread = time.Second
	// crowdParts is the number of parts of a prompt in a head below header_bytes (16,384).
	crowdParts = 3900
	usualParts = 3
)

// crowdPrefix returns the parts of the prompt of one client. All are distinct in the last part.
func crowdPrefix(n, parts int) string {
	out := make([]string, 0, parts)
	for i := range parts - 1 {
		out = append(out, strconv.FormatInt(int64(i%10), 16)+":1")
	}
	return strings.Join(append(out, fmt.Sprintf("%08x:1", 0x70000000+n)), ",")
}

// runMemory checks that a process stays within the memory of its machine while many clients send requests
// inside the limits of the configuration.
func runMemory(s *scene) (broken bool, err error) {
	s.configure(route("chat", "stream", false, 1))
	for i := range 9 {
		ip := s.prefix + strconv.Itoa(101+i)
		port, err := freePort(ip)
		if err != nil {
			return false, err
		}
		options := workerOptions{ID: "w" + strconv.Itoa(i+1), Address: fmt.Sprint(ip, ":", port), Slots: 64, Queue: 192, Events: 5, FirstMS: 500, GapMS: 300}
		if _, err := s.addWorker(options, "zone-a", nil); err != nil {
			return false, err
		}
	}
	vms, err := s.addVMs([]string{"zone-a"}, memoryMB, memoryFDs)
	if err != nil {
		return false, err
	}
	v := vms[0]
	time.Sleep(3 * time.Second)
	before, err := peakMemory(v.cmd.Process.Pid)
	if err != nil {
		return false, err
	}
	s.note("peak memory before the crowd: %d bytes", before)
	parts := usualParts
	if s.trouble {
		parts = crowdParts
	}
	var wg sync.WaitGroup
	for n := range crowd {
		r := request{id: "crowd-" + strconv.Itoa(n), path: "/chat/x", prefix: crowdPrefix(n, parts), tokens: parts, deadline: 15 * time.Second}
		if n == 0 {
			s.note("client: a request has %d bytes", len(r.text()))
		}
		wg.Go(func() {
			s.note("client: sends %s", r.id)
			a := r.send(v.front)
			s.note("client: %s is answered: status %d, %d bytes, complete %v, error %v", r.id, a.status, len(a.body), a.complete, a.err)
		})
		time.Sleep(crowdSpread / crowd)
	}
	wg.Wait()
	peak, err := peakMemory(v.cmd.Process.Pid)
	if err != nil {
		s.note("check: the process has ended: %v", err)
		return true, nil
	}
	s.note("check: peak memory %d bytes, the machine has %d", peak, int64(memoryMB)<<20)
	return peak > int64(memoryMB)<<20, nil
}

// peakMemory returns the largest resident memory of a process in bytes, as the kernel recorded it.
func peakMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(data), "VmHWM:")
	if !ok {
		return 0, errors.New("the process has ended")
	}
	var kilobytes int64
	_, err = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10, err
}
