package edge

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// Fractions of a VM's memory for the bodies that are held in whole: one body, and all bodies
	// of one direction together.
	bodyMemoryDivisor   = 32
	bodiesMemoryDivisor = 8
	// maxBodyBytes bounds one body on VMs with much memory, and defaultMemoryBytes stands for
	// the memory of a VM whose settings do not state it.
	maxBodyBytes       = 32 << 20
	defaultMemoryBytes = 1 << 30
	// minReadBytes and maxReadBytes bound the memory that is taken at a time for a body whose
	// length is not known.
	minReadBytes = 4 << 10
	maxReadBytes = 256 << 10
)

// errBodyTooLarge reports a body that exceeds the limit for one body.
var errBodyTooLarge = errors.New("the body is too large")

// errNoBodyMemory reports that the bodies held at the moment leave no memory for another one.
var errNoBodyMemory = errors.New("no memory is left for the body")

// bodyMemory bounds the memory for bodies that are held in whole, since many large ones at a
// time would exceed the memory of the VM.
type bodyMemory struct {
	// limit bounds one body and total all of them, in bytes.
	limit, total int64
	free         *semaphore.Weighted
}

func newBodyMemory(vmBytes int64) *bodyMemory {
	total := vmBytes / bodiesMemoryDivisor
	return &bodyMemory{limit: min(vmBytes/bodyMemoryDivisor, maxBodyBytes), total: total, free: semaphore.NewWeighted(total)}
}

// body is a body in memory, in parts of bounded size.
type body struct {
	parts  [][]byte
	memory *bodyMemory
	taken  int64
}

// release returns the memory of the body. The body must not be used afterwards.
func (b *body) release() {
	if b == nil {
		return
	}
	b.memory.free.Release(b.taken)
	b.taken, b.parts = 0, nil
}

// size returns the length of the body in bytes.
func (b *body) size() int64 {
	var n int64
	for _, part := range b.parts {
		n += int64(len(part))
	}
	return n
}

// bytes returns the body in one piece.
func (b *body) bytes() []byte {
	if len(b.parts) == 1 {
		return b.parts[0]
	}
	out := make([]byte, 0, b.size())
	for _, part := range b.parts {
		out = append(out, part...)
	}
	return out
}

// acquireFunc takes memory for n bytes or returns an error.
type acquireFunc func(n int64) error

// tryMemory is an acquireFunc that does not wait. It is for requests, which can be refused.
func (m *bodyMemory) tryMemory(n int64) error {
	if !m.free.TryAcquire(n) {
		return errNoBodyMemory
	}
	return nil
}

// read reads a whole body. length is the announced length, or negative if it is not known. The
// caller must release the body, also after an error.
func (m *bodyMemory) read(reader io.Reader, length, limit int64, acquire acquireFunc) (*body, error) {
	b := &body{memory: m}
	limit = min(limit, m.limit)
	if length > limit {
		return b, errors.Wrapf(errBodyTooLarge, "%d bytes announced, %d allowed", length, limit)
	}
	size := int64(minReadBytes)
	if length >= 0 {
		// The byte beyond the body finds its end.
		size = length + 1
	}
	for total := int64(0); ; {
		if err := acquire(size); err != nil {
			return b, err
		}
		b.taken += size
		part := make([]byte, size)
		n, err := readPart(reader, part)
		total += int64(n)
		if total > limit {
			return b, errors.Wrapf(errBodyTooLarge, "over %d bytes", limit)
		}
		b.parts = append(b.parts, part[:n])
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
		size = min(2*size, maxReadBytes)
	}
}

// readPart reads until the part is full. Unlike io.ReadFull it returns io.EOF for each body that
// ends, so that a body which broke off keeps an error of its own.
func readPart(reader io.Reader, part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		var m int
		m, err = reader.Read(part[n:])
		n += m
	}
	return n, err
}
