package upstream

import (
	"errors"
	"io"
	"sync"
)

// errNoResponseMemory reports a response that was broken off since all together hold too much.
var errNoResponseMemory = errors.New("no memory is left for the response")

// responseMemory bounds the bytes that responses hold together while they are read. Half of the total is
// kept beside it for responses that hold no more than their share, half of an equal part, so that they do
// not fail because large ones hold the total.
type responseMemory struct {
	total int64

	mu       sync.Mutex
	held     int64
	readings int64
}

// reading is a response that is being read.
type reading struct {
	memory *responseMemory
	held   int64
}

func (m *responseMemory) begin() *reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readings++
	return &reading{memory: m}
}

// take takes memory for n bytes, or returns errNoResponseMemory.
func (r *reading) take(n int64) error {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.total
	if r.held+n <= m.total/(2*m.readings) {
		limit += m.total / 2
	}
	if m.held+n > limit {
		return errNoResponseMemory
	}
	m.held += n
	r.held += n
	return nil
}

// end returns the memory of the response.
func (r *reading) end() {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= r.held
	m.readings--
}

// boundedReader reads a body and takes memory for it.
type boundedReader struct {
	io.Reader
	reading *reading
}

// Read implements io.Reader.
func (b boundedReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if memoryErr := b.reading.take(int64(n)); memoryErr != nil {
		return n, memoryErr
	}
	return n, err
}
