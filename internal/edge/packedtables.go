package edge

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
)

const (
	// minPackedItems is the number of items from which a response is packed. All items of a large
	// deployment are above a megabyte, and all VMs pull them when all start at once.
	minPackedItems = 100
	// maxUnpackedBytes bounds the size of unpacked items, which a peer could otherwise make
	// arbitrarily large.
	maxUnpackedBytes = 64 << 20
)

// packedTables keeps the packed form of all items, so that a VM from which many others pull packs
// each state of the items once.
type packedTables struct {
	mu sync.Mutex
	// version is that of the packed items.
	version uint64
	packed  []byte
}

// pack replaces the items and keys of a response with all items by their packed form. The version
// identifies the items.
func (p *packedTables) pack(response *hoistv1.PullResponse, version uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil || p.version != version {
		packed, err := packItems(response)
		if err != nil {
			return err
		}
		p.packed, p.version = packed, version
	}
	response.Packed, response.Items, response.Keys = p.packed, nil, nil
	return nil
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
