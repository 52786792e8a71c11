package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
)

// allItems returns a response with the entries of n upstreams, of the size that they have in the
// store.
func allItems(n int) *hoistv1.PullResponse {
	response := &hoistv1.PullResponse{Complete: true, Revision: 7}
	for i := range n {
		key := fmt.Sprintf("servers/i-%010x", i*7919)
		response.Keys = append(response.Keys, key)
		response.Items = append(response.Items, &hoistv1.PublishedItem{Key: key, Revision: uint64(i), Value: fmt.Appendf(nil,
			`{"service":"pool%d","address":"10.%d.%d.%d:8443","zone":"zone-%d","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"born":%d}`,
			i%5, i%7, i%250, i%199, i%5, 1765000000000+i*977)})
	}
	return response
}

// TestPackedTables guards against tables that take more than an eighth of a second on a link of
// 10 Mbit/s with 3,000 upstreams, and against a peer that gets other items than without packing.
func TestPackedTables(t *testing.T) {
	const maxBytes = 10_000_000 / 8 / 8
	want, got := allItems(3000), allItems(3000)
	var tables packedTables
	if err := tables.pack(got, packedKey{version: 1}); err != nil {
		t.Fatal(err)
	}
	if plain, size := proto.Size(want), proto.Size(got); size > maxBytes {
		t.Errorf("the tables have %d bytes, %d without packing; expected at most %d", size, plain, maxBytes)
	}
	if err := unpackItems(got); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(want, got) {
		t.Error("the items differ after packing")
	}
	changed := allItems(200)
	if err := tables.pack(changed, packedKey{version: 2}); err != nil {
		t.Fatal(err)
	}
	if err := unpackItems(changed); err != nil || len(changed.GetItems()) != 200 {
		t.Errorf("%d items after a change, expected 200; error %v", len(changed.GetItems()), err)
	}
}

// TestPullOfAllItemsIsPacked guards against whole tables that are sent unpacked, and against packing
// for a VM that does not understand it.
func TestPullOfAllItemsIsPacked(t *testing.T) {
	s := newSizedServer(t, 30, 300)
	for _, packed := range []bool{true, false} {
		response, err := fleetServer{s: s}.Pull(context.Background(), &hoistv1.PullRequest{AcceptsPacked: packed})
		if err != nil || (len(response.GetPacked()) > 0) != packed || (len(response.GetItems()) > 0) == packed {
			t.Errorf("packed %v: %d bytes packed, %d items, error %v", packed, len(response.GetPacked()), len(response.GetItems()), err)
		}
	}
}

// TestUnpackItemsIsBounded guards against a small message that fills the memory of the VM.
func TestUnpackItemsIsBounded(t *testing.T) {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	zeros := make([]byte, 1<<20)
	for range maxUnpackedBytes>>20 + 1 {
		if _, err := writer.Write(zeros); err != nil {
			t.Fatal(err)
		}
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := unpackItems(&hoistv1.PullResponse{Packed: out.Bytes()}); err == nil {
		t.Error("a message that unpacks to more than the limit was accepted")
	}
}

// FuzzUnpackItems guards against bytes of a peer that end the process.
func FuzzUnpackItems(f *testing.F) {
	packed, err := packItems(allItems(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte("noise"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		response := &hoistv1.PullResponse{Packed: packed}
		if err := unpackItems(response); err != nil && len(response.GetItems()) > 0 {
			t.Errorf("%d items of a message that was not understood", len(response.GetItems()))
		}
	})
}
