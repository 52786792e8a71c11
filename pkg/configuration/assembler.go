package configuration

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

const (
	// ChunkBytes is the maximum size of the chunks in which a value is sent to a peer.
	ChunkBytes = 64 << 10
	// MaxValueBytes is the maximum size of a value that is fetched from a peer.
	MaxValueBytes = 1 << 20
)

// Chunk is a contiguous part of a value.
type Chunk struct {
	Revision uint64
	Digest   Digest
	// Total is the size of the whole value in bytes.
	Total uint32
	Data  []byte
}

// Split divides a value into chunks; an empty value yields one empty chunk.
func Split(value Value) []Chunk {
	chunks := make([]Chunk, 0, len(value.Data)/ChunkBytes+1)
	for remaining := value.Data; ; remaining = remaining[ChunkBytes:] {
		chunk := Chunk{Revision: value.Revision, Digest: value.Digest, Total: uint32(len(value.Data))}
		if len(remaining) <= ChunkBytes {
			chunk.Data = remaining
			return append(chunks, chunk)
		}
		chunk.Data = remaining[:ChunkBytes]
		chunks = append(chunks, chunk)
	}
}

// Assembler reassembles one value from its chunks. The zero value with a Revision is
// ready to use.
type Assembler struct {
	// Revision is the expected revision.
	Revision uint64

	header  Chunk
	data    []byte
	started bool
}

// Add appends the next chunk. It returns an error if the chunk belongs to another value,
// or if the value is larger than declared or than MaxValueBytes.
func (a *Assembler) Add(chunk Chunk) error {
	if chunk.Revision != a.Revision {
		return errors.Newf("chunk has revision %d, want %d", chunk.Revision, a.Revision)
	}
	if chunk.Total > MaxValueBytes {
		return errors.Newf("value has %d bytes, the limit is %d", chunk.Total, MaxValueBytes)
	}
	if !a.started {
		a.header = chunk
		a.started = true
	}
	if chunk.Digest != a.header.Digest || chunk.Total != a.header.Total {
		return errors.New("chunks have different digests or total sizes")
	}
	if len(a.data)+len(chunk.Data) > int(a.header.Total) {
		return errors.New("chunks exceed the declared total size")
	}
	a.data = append(a.data, chunk.Data...)
	return nil
}

// Value returns the assembled value. It returns an error if data is missing or does not
// match the declared digest.
func (a *Assembler) Value() (Value, error) {
	if !a.started || len(a.data) != int(a.header.Total) {
		return Value{}, errors.New("value is incomplete")
	}
	if sha256.Sum256(a.data) != a.header.Digest {
		return Value{}, errors.New("value does not match its SHA-256 digest")
	}
	return Value{Revision: a.Revision, Data: a.data, Digest: a.header.Digest}, nil
}
