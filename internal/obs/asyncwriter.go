package obs

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxQueuedLines is the maximum number of lines in the queue.
	maxQueuedLines = 4096
	// maxBatchLines is the maximum number of lines in one write.
	maxBatchLines = 256
	// syncTimeout limits how long Sync waits if the output is blocked.
	syncTimeout = 300 * time.Millisecond
)

// AsyncWriter writes log lines without blocking the caller. If the queue is full, lines are
// dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped prometheus.Counter

	mu sync.Mutex
	// pending is the number of lines not yet written; drained is signalled when it is 0.
	pending int
	drained *sync.Cond
}

// NewAsyncWriter returns a writer to out. Its goroutine runs until the process exits.
func NewAsyncWriter(out io.Writer, dropped prometheus.Counter) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), dropped: dropped}
	w.drained = sync.NewCond(&w.mu)
	go w.writeBatches()
	return w
}

// Write queues a copy of the line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.addPending(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.addPending(-1)
		w.dropped.Inc()
	}
	return len(line), nil
}

// Sync waits until all lines are written, but at most syncTimeout.
func (w *AsyncWriter) Sync() error {
	timer := time.AfterFunc(syncTimeout, w.drained.Broadcast)
	defer timer.Stop()
	deadline := time.Now().Add(syncTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.pending > 0 && time.Now().Before(deadline) {
		w.drained.Wait()
	}
	return nil
}

func (w *AsyncWriter) addPending(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending += n
	if w.pending == 0 {
		w.drained.Broadcast()
	}
}

// writeBatches writes the queued lines in batches to save system calls.
func (w *AsyncWriter) writeBatches() {
	for line := range w.lines {
		batch, n := line, 1
		for more := true; more && n < maxBatchLines; {
			select {
			case next := <-w.lines:
				batch = append(batch, next...)
				n++
			default:
				more = false
			}
		}
		if _, err := w.out.Write(batch); err != nil {
			// The log itself is not available to report the error.
			w.dropped.Add(float64(n))
		}
		w.addPending(-n)
	}
}
