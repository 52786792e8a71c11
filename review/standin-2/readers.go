package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case. The machine is one of the deployment's sheet.
const (
	readersMemoryMB = 284
	readersFDs      = 4100
	// slowReaders is the number of clients that do not read their answers, of largeBytes each.
	slowReaders = 80
	largeBytes  = 300_000
	// segmentBytes is the segment size of a usual network. Loopback has segments of 64 KB, and buffers to match.
	segmentBytes = 1400
	// windowBytes is the receive buffer of a slow reader: links have small windows.
	windowBytes = 16 << 10
	// ordinaryRequests are sent ordinaryInterval apart, from ordinaryDelay after the others on.
	ordinaryRequests = 100
	ordinaryInterval = 100 * time.Millisecond
	ordinaryDelay    = 2 * time.Second
	ordinaryDeadline = 1500 * time.Millisecond
)

// runReaders checks that ordinary callers get answers while some clients do not read theirs.
func runReaders(s *scene) (broken bool, err error) {
	s.configure(route("plain", "safe", false, 2))
	for i := range 3 {
		ip := s.prefix + strconv.Itoa(101+i)
		port, err := freePort(ip)
		if err != nil {
			return false, err
		}
		options := workerOptions{
			ID: "w" + strconv.Itoa(i+1), Address: fmt.Sprint(ip, ":", port), Slots: 64, Queue: 192, Events: 3, FirstMS: 30, GapMS: 10, LargeBytes: largeBytes,
		}
		if _, err := s.addWorker(options, "zone-a", nil); err != nil {
			return false, err
		}
	}
	vms, err := s.addVMs([]string{"zone-a"}, readersMemoryMB, readersFDs)
	if err != nil {
		return false, err
	}
	v := vms[0]
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range slowReaders {
		r := request{id: "large-" + strconv.Itoa(n), path: largePrefix + "x", prefix: "aa:10,bb:20", tokens: 30, deadline: 15 * time.Second}
		conn, err := connectWithSegments(v.front)
		if err != nil {
			return false, err
		}
		defer conn.Close()
		s.note("client: sends %s", r.id)
		if _, err := io.WriteString(conn, r.text()); err != nil {
			return false, err
		}
		if !s.trouble {
			wg.Go(func() {
				a := readAnswer(conn)
				s.note("client: %s is answered: status %d, %d bytes, complete %v, error %v", r.id, a.status, len(a.body), a.complete, a.err)
			})
		}
	}
	time.Sleep(ordinaryDelay)
	return s.checkOrdinary(v), nil
}

// connectWithSegments opens a channel with the segments of a usual network.
func connectWithSegments(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes),
			)
		})
		return errors.Join(err, failed)
	}}
	return dialer.Dial("tcp4", address)
}

// checkOrdinary sends ordinary requests and reports whether less than a quarter of them got their answer.
func (s *scene) checkOrdinary(v *vm) bool {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for n := range ordinaryRequests {
		r := request{id: "ordinary-" + strconv.Itoa(n), path: plainPrefix + "x", prefix: "aa:10,bb:20", tokens: 30, deadline: ordinaryDeadline}
		s.note("client: sends %s", r.id)
		wg.Go(func() {
			a := r.send(v.front)
			s.note("client: %s is answered: status %d, %d bytes, complete %v, error %v", r.id, a.status, len(a.body), a.complete, a.err)
			mu.Lock()
			defer mu.Unlock()
			if a.complete && a.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(ordinaryInterval)
	}
	wg.Wait()
	ran := 0
	for _, seen := range s.sightings() {
		if seen.what == "ends" && strings.HasPrefix(seen.request, "ordinary") {
			ran++
		}
	}
	s.note("check: of %d ordinary requests workers ran %d to their end, and %d got their answer", ordinaryRequests, ran, served)
	return served < ordinaryRequests/4
}
