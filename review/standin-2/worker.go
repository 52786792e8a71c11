package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// workerOptions say how a stand-in of a model worker behaves. It is sound but for crashPart.
type workerOptions struct {
	ID      string
	Address string
	// Slots is the number of requests that run at a time, and Queue that of those that may wait.
	Slots, Queue int
	// Events is the number of events of an answer, the first one after FirstMS and the others GapMS apart.
	Events, FirstMS, GapMS int
	// LargeBytes is the size of the answers to requests below largePrefix.
	LargeBytes int
	// Unframed makes answers come with neither a length nor chunks and end with their channel.
	Unframed bool
	// CrashPart is a part of prompts on which the process ends as it begins to write an answer.
	CrashPart string
}

// worker is a process that runs one stand-in. It prints a line for each request that arrives, begins to
// run and ends.
type worker struct {
	workerOptions
	slots   chan struct{}
	waiting atomic.Int64
	out     chan string
}

func serveWorker(arguments string) error {
	w := &worker{out: make(chan string, 10000)}
	if err := json.Unmarshal([]byte(arguments), &w.workerOptions); err != nil {
		return err
	}
	w.slots = make(chan struct{}, w.Slots)
	listener, err := net.Listen("tcp4", w.Address)
	if err != nil {
		return err
	}
	go w.print()
	// The worker ends with the case that started it.
	go func() {
		_, _ = os.Stdin.Read(make([]byte, 1))
		os.Exit(0)
	}()
	w.log("ready", w.ID)
	return (&http.Server{Handler: w}).Serve(listener)
}

func (w *worker) print() {
	for line := range w.out {
		fmt.Println(line)
	}
}

func (w *worker) log(what, request string) {
	w.out <- fmt.Sprintf("%d %s %s", time.Now().UnixMilli(), what, request)
}

// ServeHTTP answers the health check and requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(wire.WorkerID, w.ID)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(wire.AttemptID)
	rw.Header().Set(wire.AttemptID, id)
	if expected := r.Header.Get(wire.ExpectInstance); expected != "" && expected != w.ID {
		rw.Header().Set(wire.NotExecuted, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.log("arrives", id)
	left, _ := strconv.Atoi(r.Header.Get(wire.Deadline))
	deadline := time.After(time.Duration(left) * time.Millisecond)
	if w.waiting.Add(1) > int64(w.Queue+w.Slots) {
		w.waiting.Add(-1)
		w.reject(rw, id)
		return
	}
	defer w.waiting.Add(-1)
	select {
	case w.slots <- struct{}{}:
	case <-deadline:
		w.reject(rw, id)
		return
	case <-r.Context().Done():
		w.log("leaves", id)
		return
	}
	defer func() { <-w.slots }()
	if !pause(r, deadline, w.FirstMS) {
		w.log("leaves", id)
		return
	}
	w.log("runs", id)
	if w.CrashPart != "" && hasPart(r, w.CrashPart) {
		// The lines are written by another goroutine.
		w.log("crashes", id)
		time.Sleep(20 * time.Millisecond)
		os.Exit(3)
	}
	if strings.HasPrefix(r.URL.Path, largePrefix) {
		w.answerLarge(rw, r.URL.Path, id)
		return
	}
	w.answer(rw, r, id, deadline)
}

// reject refuses a request as not run.
func (w *worker) reject(rw http.ResponseWriter, id string) {
	w.log("rejects", id)
	rw.Header().Set(wire.NotExecuted, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// pause waits, and reports whether neither the deadline came nor the channel was closed.
func pause(r *http.Request, deadline <-chan time.Time, ms int) bool {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-deadline:
	case <-r.Context().Done():
	}
	return false
}

// hasPart reports whether the prompt has the part, other than as its last one.
func hasPart(r *http.Request, part string) bool {
	parts := strings.Split(r.Header.Get(wire.PromptPrefix), ",")
	for _, text := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(text, ":"); id == part {
			return true
		}
	}
	return false
}

// answer writes a stream of events, or a text of lines.
func (w *worker) answer(rw http.ResponseWriter, r *http.Request, id string, deadline <-chan time.Time) {
	write := w.framed(rw)
	if w.Unframed {
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			w.log("fails", id)
			return
		}
		defer conn.Close()
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		for name, value := range w.answerHeader(r.URL.Path, id) {
			head += name + ": " + value + "\r\n"
		}
		write = func(text string) error {
			_, err := conn.Write([]byte(head + text))
			head = ""
			return err
		}
		head += "\r\n"
	} else {
		for name, value := range w.answerHeader(r.URL.Path, id) {
			rw.Header().Set(name, value)
		}
	}
	part, name := event, "event-"
	if !isStream(r.URL.Path) {
		part, name = line, "line-"
	}
	for n := 1; n <= w.Events; n++ {
		if n > 1 && !pause(r, deadline, w.GapMS) {
			w.log("leaves", id)
			return
		}
		if err := write(part(id, n)); err != nil {
			w.log("leaves", id)
			return
		}
		w.log(name+strconv.Itoa(n), id)
	}
	w.log("ends", id)
}

// answerLarge writes an answer of LargeBytes with its length.
func (w *worker) answerLarge(rw http.ResponseWriter, path, id string) {
	for name, value := range w.answerHeader(path, id) {
		rw.Header().Set(name, value)
	}
	rw.Header().Set("Content-Length", strconv.Itoa(w.LargeBytes))
	if _, err := rw.Write([]byte(strings.Repeat("x", w.LargeBytes))); err != nil {
		w.log("leaves", id)
		return
	}
	w.log("ends", id)
}

func (w *worker) framed(rw http.ResponseWriter) func(string) error {
	return func(text string) error {
		if _, err := rw.Write([]byte(text)); err != nil {
			return err
		}
		return http.NewResponseController(rw).Flush()
	}
}

func (w *worker) answerHeader(path, id string) map[string]string {
	contentType := "text/plain"
	if isStream(path) {
		contentType = "text/event-stream"
	}
	return map[string]string{
		"Content-Type": contentType, wire.AttemptID: id, wire.Seal: "seal-" + w.ID + "-" + id,
		wire.WeightVersions: "1", wire.WorkerID: w.ID,
	}
}

// event returns the nth event of the answer to a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// line returns the nth line of the answer to a request that is no stream.
func line(id string, n int) string { return fmt.Sprintf("line %d of the answer to %s\n", n, id) }

// isStream reports whether the path belongs to a route of streams.
func isStream(path string) bool { return !strings.HasPrefix(path, plainPrefix) }

// largePrefix is the prefix of requests with large answers, which are no streams.
const largePrefix = plainPrefix + "large/"

// plainPrefix is the prefix of the route whose answers are no streams.
const plainPrefix = "/plain/"
