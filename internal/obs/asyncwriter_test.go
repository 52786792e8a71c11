package obs

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func counter() prometheus.Counter { return prometheus.NewCounter(prometheus.CounterOpts{Name: "x"}) }

// TestAsyncWriterDoesNotBlock guards against requests that block because the log output is
// not read, and against dropped lines that are not counted.
func TestAsyncWriterDoesNotBlock(t *testing.T) {
	reader, blocked := io.Pipe()
	dropped := counter()
	w := NewAsyncWriter(blocked, dropped)
	const lines = maxQueuedLines + maxBatchLines + 200
	for range lines {
		if n, err := w.Write([]byte("x\n")); n != 2 || err != nil {
			t.Fatal(n, err)
		}
	}
	lost := int(testutil.ToFloat64(dropped))
	if lost < 1 {
		t.Error("no line was dropped")
	}
	got := make(chan int)
	go func() {
		total := 0
		buffer := make([]byte, 1<<16)
		for total < 2*(lines-lost) {
			n, err := reader.Read(buffer)
			if err != nil {
				break
			}
			total += n
		}
		got <- total
	}()
	if total := <-got; total != 2*(lines-lost) {
		t.Errorf("got %d bytes for %d lines, of which %d were dropped", total, lines, lost)
	}
}

// TestAsyncWriterKeepsOrder guards against lines that are out of order or missing after Sync.
func TestAsyncWriterKeepsOrder(t *testing.T) {
	var mu sync.Mutex
	var out bytes.Buffer
	w := NewAsyncWriter(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return out.Write(p)
	}), counter())
	var want bytes.Buffer
	for i := range 500 {
		line := []byte{byte('a' + i%26), '\n'}
		want.Write(line)
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if !bytes.Equal(out.Bytes(), want.Bytes()) {
		t.Error("the written lines differ from the queued ones")
	}
}

type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
