package edge

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// memoryWait is how long a body waits for memory before another one is broken off. In this time the
// bodies that are about to end return their memory; objectives are 0.1 s and more.
const memoryWait = 50 * time.Millisecond

// errBodyRevoked reports that a body took too much memory while others waited for it.
var errBodyRevoked = errors.New("the body held more than its share of the memory while others waited")

// responseMemory bounds the memory for responses. Bodies that do not end, or end late, would make all
// others wait, so a body may hold more than its share only while no other one waits.
type responseMemory struct {
	*bodyMemory

	mu      sync.Mutex
	reading map[*bodyReading]bool
	// waiting is the memory that bodies wait for, and revoked the memory that others are about to return.
	waiting, revoked int64
}

// bodyReading is a body that is being read.
type bodyReading struct {
	taken int64
	// interrupt ends the reading.
	interrupt context.CancelFunc
	isRevoked bool
}

func newResponseMemory(vmBytes int64) *responseMemory {
	return &responseMemory{bodyMemory: newBodyMemory(vmBytes), reading: map[*bodyReading]bool{}}
}

// readResponse reads a whole body until the context ends. It calls interrupt if others need the memory
// of the body, and then returns errBodyRevoked unless the body was complete; interrupt must end the
// reader. The caller must release the body, also after an error.
func (m *responseMemory) readResponse(ctx context.Context, reader io.Reader, length int64, interrupt context.CancelFunc) (*body, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &bodyReading{interrupt: func() {
		cancel()
		interrupt()
	}}
	m.mu.Lock()
	m.reading[r] = true
	m.mu.Unlock()
	if length > maxReadBytes && length <= m.limit {
		// An upstream may announce a long body and send nothing. Memory is taken as the body arrives.
		length = -1
	}
	b, err := m.read(reader, length, maxBodyBytes, func(n int64) error { return m.acquire(ctx, r, n) })
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reading, r)
	if r.isRevoked {
		m.revoked -= r.taken
	}
	if err == nil || !r.isRevoked {
		return b, err
	}
	b.release()
	return b, errBodyRevoked
}

// acquire takes memory for a body. If there is none for memoryWait, the body that holds most is broken off.
func (m *responseMemory) acquire(ctx context.Context, r *bodyReading, n int64) error {
	if !m.free.TryAcquire(n) {
		if err := m.await(ctx, n); err != nil {
			return errors.Wrap(err, "wait for memory")
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r.taken += n
	if r.isRevoked {
		m.revoked += n
	}
	return nil
}

// await waits for memory until the context ends.
func (m *responseMemory) await(ctx context.Context, n int64) error {
	m.addWaiting(n)
	defer m.addWaiting(-n)
	ticker := time.NewTicker(memoryWait)
	defer ticker.Stop()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-ticker.C:
				m.revokeLargest()
			case <-stop:
				return
			}
		}
	}()
	return m.free.Acquire(ctx, n)
}

func (m *responseMemory) addWaiting(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting += n
}

// revokeLargest ends the body that holds most if that is more than its share, unless the memory that
// others are about to return is enough. The share is half of an equal one, since bodies on their way to
// callers hold memory too.
func (m *responseMemory) revokeLargest() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revoked >= m.waiting {
		return
	}
	var largest *bodyReading
	bodies := int64(0)
	for r := range m.reading {
		if r.isRevoked {
			continue
		}
		bodies++
		if largest == nil || r.taken > largest.taken {
			largest = r
		}
	}
	if largest == nil || largest.taken <= m.total/(2*bodies) {
		return
	}
	largest.isRevoked = true
	m.revoked += largest.taken
	largest.interrupt()
}
