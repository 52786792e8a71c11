package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callTime and pieceTime are the times of a call of the stage and of each of its pieces.
	callTime  = 240 * time.Millisecond
	pieceTime = 10 * time.Millisecond
	// piecesPerRequest is the number of pieces of each request, as many as one call takes.
	piecesPerRequest = 8
	// stagedInterval is the time between two requests.
	stagedInterval = 100 * time.Millisecond
	// failedCall is the number of the call whose pieces all fail.
	failedCall = 40
)

// result is what a stage worker made.
type result struct {
	request string
	stage   int
	piece   int
}

// stageWatch knows which result belongs to which request, and records requests with wrong inputs.
type stageWatch struct {
	scene   *scene
	calls   atomic.Int64
	copies  atomic.Int64
	handles atomic.Int64

	mu      sync.Mutex
	results map[string]result
	wrong   []string
	ran     int
}

// checkInputs checks that a request has all results of its pieces, each once, and no others.
func (c *stageWatch) checkInputs(id, inputs string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran++
	var pieces []int
	foreign := ""
	for handle := range strings.SplitSeq(inputs, ",") {
		r := c.results[handle]
		if r.request != id {
			foreign = r.request
			continue
		}
		pieces = append(pieces, r.piece)
	}
	slices.Sort(pieces)
	want := make([]int, piecesPerRequest)
	for i := range want {
		want[i] = i
	}
	if foreign == "" && slices.Equal(pieces, want) {
		return
	}
	c.wrong = append(c.wrong, id)
	c.scene.log("request %s runs with wrong inputs: own pieces %v, and inputs of request %q", id, pieces, foreign)
}

// stageWorker is a stand-in of a worker that runs pieces. It serves one request at a time on a channel.
type stageWorker struct {
	watch    *stageWatch
	id       string
	address  string
	listener net.Listener
	// slot is held while a call runs.
	slot sync.Mutex
}

func (s *scene) startStageWorker(c *stageWatch, id, zone string) {
	listener, err := net.Listen("tcp4", s.ip(1)+":0")
	require(err)
	w := &stageWorker{watch: c, id: id, address: listener.Addr().String(), listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serveChannel(conn)
		}
	}()
	s.store.put(wire.WorkerKeys+id, map[string]any{
		"service": "notas", "address": w.address, "zone": zone, "version": "v1", "slots": 1, "state": "ready", "cold_left_ms": 0, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
}

// serveChannel serves the requests of one channel, one after the other.
func (w *stageWorker) serveChannel(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var extra []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if extra != nil && request.URL.Path == wire.RunPieces {
			// The second copy of an earlier answer comes where the next answer is expected.
			w.watch.copies.Add(1)
			w.watch.scene.log("worker %s sends its answer without results once more", w.id)
			_, _ = conn.Write(extra)
			extra = nil
		}
		status, answer, allFailed := w.answer(request, body)
		text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(answer), answer)
		if _, err := conn.Write(text); err != nil {
			return
		}
		if allFailed && w.watch.scene.trouble {
			extra = text
		}
	}
}

// answer runs a request and returns its answer, and whether all pieces failed.
func (w *stageWorker) answer(request *http.Request, body []byte) (status int, answer []byte, allFailed bool) {
	if expected := request.Header.Get(wire.ExpectInstance); expected != "" && expected != w.id {
		return http.StatusMisdirectedRequest, nil, false
	}
	switch request.URL.Path {
	case wire.RunPieces:
		return w.run(body)
	case "/report":
		return http.StatusOK, mustJSON(map[string]any{"queued": 0, "busy": false, "free_mb": 100}), false
	}
	return http.StatusOK, []byte("{}"), false
}

// run runs the pieces of a call.
func (w *stageWorker) run(body []byte) (status int, answer []byte, allFailed bool) {
	var call struct {
		Entries []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
		} `json:"entries"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return http.StatusBadRequest, nil, false
	}
	w.slot.Lock()
	defer w.slot.Unlock()
	allFailed = w.watch.calls.Add(1) == failedCall
	time.Sleep(callTime + time.Duration(len(call.Entries))*pieceTime)
	var entries []map[string]string
	var requests []string
	for _, entry := range call.Entries {
		if !slices.Contains(requests, entry.ID) {
			requests = append(requests, entry.ID)
		}
		if allFailed {
			entries = append(entries, map[string]string{"reason": "error"})
			continue
		}
		handle := fmt.Sprintf("%s/%012x", w.address, 0x5c1e07a20000+w.watch.handles.Add(1))
		w.watch.mu.Lock()
		w.watch.results[handle] = result{entry.ID, entry.Stage, entry.Piece}
		w.watch.mu.Unlock()
		entries = append(entries, map[string]string{"handle": handle})
	}
	w.watch.scene.log("worker %s has run %d pieces of %v, without results: %v", w.id, len(call.Entries), requests, allFailed)
	return http.StatusOK, mustJSON(map[string]any{"entries": entries}), allFailed
}

// mixedPieces: all pieces of one call of a stage fail, and the worker's answer to it comes
// twice.
func mixedPieces(s *scene) bool {
	c := &stageWatch{scene: s, results: map[string]result{}}
	serve := func(w *worker, rw http.ResponseWriter, r *http.Request, id string) {
		_, _ = io.Copy(io.Discard, r.Body) // A channel that has broken shows in work.
		c.checkInputs(id, r.Header.Get(wire.Inputs))
		if work(r.Context(), 20*time.Millisecond) {
			w.answer(rw, id)
			_, _ = io.WriteString(rw, `{"ok":true}`) // A client that has left sees the error itself.
		}
	}
	var vms []*vm
	for i, zone := range []string{"sines", "leixoes", "aveiras"} {
		vms = append(vms, s.addVM(i+2, zone))
		s.startWorker(fmt.Sprintf("i-7f3a%04x", i), "modelo", zone, 0, serve)
		s.startStageWorker(c, fmt.Sprintf("i-9006%04x", i), zone)
	}
	s.publish([]any{map[string]any{
		"name": "r-guide", "host": host, "prefix": "/puxa400/", "service": "modelo", "kind": "safe", "timeout_ms": 8000, "target_latency_ms": 2000,
		"priority": 1, "max_attempts": 2, "stages": []any{map[string]any{"service": "notas", "bytes": 6000}},
	}}, []any{
		map[string]any{"name": "modelo", "health_path": "/health", "max_conns": 280, "cold_s": 0.0},
		map[string]any{"name": "notas", "health_path": "/health", "max_conns": 280, "cold_s": 0.0, "pieces": map[string]any{
			"slots": 1, "queue": 2, "batch": piecesPerRequest, "call_ms": callTime.Milliseconds(), "item_ms": pieceTime.Milliseconds(), "headroom_mb": 10.0, "handle_s": 4.0, "link_mbps": 10000.0,
		}},
	})
	startAll(vms)
	var wg sync.WaitGroup
	var served atomic.Int64
	for n := range 240 {
		time.Sleep(stagedInterval)
		v := vms[n%len(vms)]
		wg.Go(func() {
			out := s.send(v, "/puxa400/2f", fmt.Sprintf(`{"n":%d}`, n), 8*time.Second, map[string]string{
				wire.Pieces: fmt.Sprint(piecesPerRequest), wire.PieceKey: fmt.Sprintf("%012x", 0x7c1e07a29000+n),
			})
			s.log("request %s by %s: status %d", out.id, v.name, out.status)
			if out.status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	s.log("calls %d, answers sent twice %d, requests served %d, run %d, run with wrong inputs %d: %v", c.calls.Load(), c.copies.Load(), served.Load(), c.ran, len(c.wrong), c.wrong)
	fmt.Printf("calls %d, answers sent twice %d, requests served %d, requests run with wrong inputs %d\n", c.calls.Load(), c.copies.Load(), served.Load(), len(c.wrong))
	return len(c.wrong) > 0
}
