package obs

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// asyncLines bounds the lines that wait to be written.
	asyncLines = 4096
	// asyncBatch bounds the lines of one write.
	asyncBatch = 256
	// syncTimeout bounds the wait for a reader that does not read.
	syncTimeout = 300 * time.Millisecond
)

// AsyncWriter writes log lines without blocking the caller. Lines for which there is no
// place are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped prometheus.Counter

	mu sync.Mutex
	// pending counts the lines that are not written; idle tells when it is 0.
	pending int
	idle    *sync.Cond
}

// NewAsyncWriter returns a writer that writes to out until the process ends.
func NewAsyncWriter(out io.Writer, dropped prometheus.Counter) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncLines), dropped: dropped}
	w.idle = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write queues a copy of the line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.add(-1)
		w.dropped.Inc()
	}
	return len(line), nil
}

// Sync waits a short time until all lines are written.
func (w *AsyncWriter) Sync() error {
	timer := time.AfterFunc(syncTimeout, w.idle.Broadcast)
	defer timer.Stop()
	deadline := time.Now().Add(syncTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pending > 0 && time.Now().Before(deadline) {
		w.idle.Wait()
	}
	return nil
}

func (w *AsyncWriter) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending += n
	if w.pending == 0 {
		w.idle.Broadcast()
	}
}

// run writes what has gathered in one call, since each call costs a switch to the kernel.
func (w *AsyncWriter) run() {
	for line := range w.lines {
		batch, n := line, 1
		for more := true; more && n < asyncBatch; {
			select {
			case next := <-w.lines:
				batch = append(batch, next...)
				n++
			default:
				more = false
			}
		}
		if _, err := w.out.Write(batch); err != nil {
			// There is nowhere else to report it.
			w.dropped.Add(float64(n))
		}
		w.add(-n)
	}
}
