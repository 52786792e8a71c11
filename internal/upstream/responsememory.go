package upstream

import (
	"errors"
	"io"
	"sync"
)

// errNoResponseMemory reports a response that was broken off since all together hold too much.
var errNoResponseMemory = errors.New("no memory is left for the response")

// responseMemory bounds the memory that responses hold together while they are read. Each may hold its
// share, half of an equal part, at any time, and more only while the total is not exceeded. All together
// so hold at most the total and a half.
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
	if m.held+n > m.total && r.held+n > m.total/(2*m.readings) {
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
