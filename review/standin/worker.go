package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a worker of a service. It registers itself in the store, and a crash
// resets all its channels.
type worker struct {
	scene   *scene
	service string
	zone    string
	address string
	// serve runs a request that was sent to this worker.
	serve func(w *worker, rw http.ResponseWriter, r *http.Request, id string)

	mu      sync.Mutex
	id      string
	born    time.Time
	coldEnd time.Time
	server  *http.Server
	// listener is that of the current lifetime.
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	closed   bool
}

// startWorker starts a worker on a free port.
func (s *scene) startWorker(id, service, zone string, cold time.Duration, serve func(*worker, http.ResponseWriter, *http.Request, string)) *worker {
	w := &worker{scene: s, service: service, zone: zone, address: s.ip(1) + ":0", serve: serve}
	require(w.begin(id, cold))
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	go w.heartbeats()
	return w
}

// begin begins a lifetime of the worker at its address.
func (w *worker) begin(id string, cold time.Duration) error {
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.id, w.born, w.down = listener.Addr().String(), id, time.Now(), false
	w.coldEnd = w.born.Add(cold)
	w.conns = map[net.Conn]bool{}
	server := &http.Server{Handler: http.HandlerFunc(w.handle), ConnState: func(conn net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateNew {
			w.conns[conn] = true
		}
		if state == http.StateClosed {
			delete(w.conns, conn)
		}
	}}
	w.server, w.listener = server, listener
	go func() { _ = server.Serve(listener) }()
	w.scene.log("worker %s (%s, %s) started at %s", id, w.service, w.zone, w.address)
	return nil
}

// heartbeats registers the worker in the store at each ping interval while it lives.
func (w *worker) heartbeats() {
	for seq := 1; ; seq++ {
		w.mu.Lock()
		id, closed := w.id, w.closed
		if !w.down && !closed {
			w.scene.store.put(wire.WorkerKeys+id, map[string]any{
				"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": "ready",
				"cold_left_ms": max(time.Until(w.coldEnd).Milliseconds(), 0), "seq": seq, "born": w.born.UnixMilli(),
			})
		}
		w.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(heartbeat)
	}
}

// crash resets all channels of the worker and refuses new ones. The worker is back after the time,
// under the given ID; its old entry lapses after three ping intervals.
func (w *worker) crash(back time.Duration, nextID string) { w.crashCold(back, nextID, 0) }

// crashCold does the same, and the worker comes back cold.
func (w *worker) crashCold(back time.Duration, nextID string, cold time.Duration) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	oldID := w.id
	// The listener goes first, so that no new channel is accepted after the others are reset.
	_ = w.listener.Close()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // The close then resets the channel.
		}
		_ = conn.Close()
	}
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.scene.log("worker %s crashes", oldID)
	if oldID != nextID {
		time.AfterFunc(3*heartbeat, func() { w.scene.store.remove(wire.WorkerKeys + oldID) })
	}
	time.AfterFunc(back, func() {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if closed {
			return
		}
		if err := w.begin(nextID, cold); err != nil {
			w.scene.log("worker %s is not back: %v", nextID, err)
			return
		}
		// The first registration doesn't wait for the next ping.
		w.scene.store.put(wire.WorkerKeys+nextID, map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": "ready",
			"cold_left_ms": cold.Milliseconds(), "seq": 0, "born": w.born.UnixMilli(),
		})
	})
}

func (w *worker) close() {
	w.mu.Lock()
	w.closed = true
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) currentID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// handle answers 421 to a request for another worker and 400 to one without an ID.
func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	self, id := w.currentID(), r.Header.Get(wire.AttemptID)
	if expected := r.Header.Get(wire.ExpectInstance); expected != "" && expected != self {
		rw.Header().Set(wire.AttemptID, id)
		rw.Header().Set(wire.NotExecuted, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		rw.Header().Set(wire.NotExecuted, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.serve(w, rw, r, id)
}

// answer writes the head of an answer of this worker.
func (w *worker) answer(rw http.ResponseWriter, id string) {
	rw.Header().Set(wire.AttemptID, id)
	rw.Header().Set(wire.Seal, fmt.Sprintf("3e1b.07.5a2.600.0.%s", w.currentID()))
}

// work waits for the time that a request takes, and reports whether its channel is still open.
func work(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
