package edge

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

const (
	// minPackedItems is the number of items, and minPackedBytes the size of their values, from which a response is
	// packed. All items of a large deployment are above a megabyte, and all VMs pull them when all start at once.
	minPackedItems = 100
	minPackedBytes = 16 << 10
	// maxPacked bounds the packed responses that are kept.
	maxPacked = 4
	// maxInlinePackedBytes is the size up to which packed items are part of a response. Larger ones are transferred as
	// large values are, since the time that they take depends on the size of the deployment.
	maxInlinePackedBytes = 16 << 10
	// maxUnpackedBytes bounds the size of unpacked items, which a peer could otherwise make
	// arbitrarily large.
	maxUnpackedBytes = 64 << 20
)

// isWorthPacking reports whether items take less of the link if they are packed.
func isWorthPacking(items []*hoistv1.PublishedItem) bool {
	size := 0
	for _, item := range items {
		size += len(item.GetValue())
	}
	return len(items) >= minPackedItems || size >= minPackedBytes
}

// packedKey identifies a response with items.
type packedKey struct {
	// version is that of the items.
	version uint64
	// after, asDelta and hasReferences are those of the request.
	after                  replica.Position
	asDelta, hasReferences bool
}

// packedTables keeps the packed form of the latest responses, so that a VM from which many others pull packs
// each change of the items once.
type packedTables struct {
	mu sync.Mutex
	// keys holds the keys of packed, the latest last.
	keys   []packedKey
	packed map[packedKey][]byte
	// large keeps the packed responses that are referred to.
	large largeValues
}

// pack replaces the items and keys of a response by their packed form.
func (p *packedTables) pack(response *hoistv1.PullResponse, key packedKey) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	packed, isKnown := p.packed[key]
	if !isKnown {
		var err error
		if packed, err = packItems(response); err != nil {
			return err
		}
		p.keep(key, packed)
	}
	response.Packed, response.Items, response.Keys = packed, nil, nil
	if key.hasReferences && len(packed) > maxInlinePackedBytes {
		p.large.add(packed)
		reference := replica.ReferenceTo(packed)
		response.Packed, response.PackedHash, response.PackedSize = nil, reference.Hash, uint32(reference.Size)
	}
	return nil
}

func (p *packedTables) keep(key packedKey, packed []byte) {
	if p.packed == nil {
		p.packed = map[packedKey][]byte{}
	}
	if len(p.keys) == maxPacked {
		delete(p.packed, p.keys[0])
		p.keys = p.keys[1:]
	}
	p.keys = append(p.keys, key)
	p.packed[key] = packed
}

func packItems(response *hoistv1.PullResponse) ([]byte, error) {
	body, err := proto.Marshal(&hoistv1.PullResponse{Items: response.GetItems(), Keys: response.GetKeys()})
	if err != nil {
		return nil, errors.Wrap(err, "encode items")
	}
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack items")
	}
	if _, err := writer.Write(body); err != nil {
		return nil, errors.Wrap(err, "pack items")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack items")
	}
	return out.Bytes(), nil
}

// unpackItems restores the items and keys of a response.
func unpackItems(response *hoistv1.PullResponse) error {
	if len(response.GetPacked()) == 0 {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(response.GetPacked()))
	if err != nil {
		return errors.Wrap(err, "unpack items")
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes+1))
	if err != nil {
		return errors.Wrap(err, "unpack items")
	}
	if len(body) > maxUnpackedBytes {
		return errors.Newf("unpacked items exceed %d bytes", maxUnpackedBytes)
	}
	var items hoistv1.PullResponse
	if err := proto.Unmarshal(body, &items); err != nil {
		return errors.Wrap(err, "decode items")
	}
	response.Items, response.Keys, response.Packed = items.GetItems(), items.GetKeys(), nil
	return nil
}
