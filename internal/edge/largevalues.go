package edge

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/transfer"
)

const (
	// maxInlineBytes is the size up to which the value of an item is part of an answer with changes. A larger one is
	// transferred separately, so that the other changes do not wait for it.
	maxInlineBytes = 4 << 10
	// valuePartBytes is the size of a part of a value that is sent at once. Other messages on the connection wait for
	// one part at most.
	valuePartBytes = 8 << 10
)

// largeValues keeps the large values for other VMs. It is safe for concurrent use.
type largeValues struct {
	mu     sync.Mutex
	values transfer.Values
}

// add keeps a value if it is large.
func (l *largeValues) add(value []byte) {
	if len(value) <= maxInlineBytes {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values.Add(value)
}

// encoded returns the encoded form of a value for a receiver that has the base, and whether the value is known.
func (l *largeValues) encoded(hash, base uint64) (transfer.Encoded, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.values.Encoded(hash, base)
}

// referToLarge replaces the large values of items by references.
func referToLarge(items []*hoistv1.PublishedItem) {
	for _, item := range items {
		if len(item.GetValue()) > maxInlineBytes {
			reference := replica.ReferenceTo(item.GetValue())
			item.Value, item.ValueHash, item.ValueSize = nil, reference.Hash, uint32(reference.Size)
		}
	}
}

// decodeLarge decodes the large values of items, so that the decoder knows them when they are put in force under the
// lock.
func (f *follower) decodeLarge(items []replica.Item) {
	for _, item := range items {
		if len(item.Value) > maxInlineBytes {
			// An error is reported when the item is applied.
			_, _ = f.decode(item.Key, item.Value)
		}
	}
}

// awaitEncoded returns the encoded form of a value. It waits for one that has not arrived here, at most for
// pullHoldTime.
func (f *follower) awaitEncoded(ctx context.Context, hash, base uint64) (transfer.Encoded, error) {
	timer := time.NewTimer(pullHoldTime)
	defer timer.Stop()
	for {
		f.mu.Lock()
		refreshed := f.refreshed
		f.mu.Unlock()
		encoded, isKnown, err := f.encoded(hash, base)
		if err != nil || isKnown {
			return encoded, err
		}
		select {
		case <-refreshed:
		case <-timer.C:
			return transfer.Encoded{}, status.Error(codes.NotFound, "the value is not known here")
		case <-ctx.Done():
			return transfer.Encoded{}, ctx.Err()
		}
	}
}

// encoded returns the encoded form of a value, and whether it is known here: one of the latest values, or that of any
// item.
func (f *follower) encoded(hash, base uint64) (transfer.Encoded, bool, error) {
	encoded, isKnown, err := f.values.encoded(hash, base)
	if err != nil || isKnown {
		return encoded, isKnown, err
	}
	f.mu.Lock()
	value := f.state.ValueByHash(hash)
	f.mu.Unlock()
	f.values.add(value)
	return f.values.encoded(hash, base)
}

// forget drops an outstanding value that no VM has sent, unless it is of the store.
func (f *follower) forget(wanted published.Outstanding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Forget(wanted)
}

// outstanding returns the items whose values have to be fetched.
func (f *follower) outstanding() []published.Outstanding {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Outstanding()
}

// requestValues starts the transfer of outstanding values. The caller holds the lock.
func (f *follower) requestValues() {
	if len(f.state.Outstanding()) == 0 {
		return
	}
	select {
	case f.valueWanted <- struct{}{}:
	default: // The transfer is requested already.
	}
}

// base returns the value to which differences are requested, which may be empty.
func (f *follower) base() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Base()
}

// supply puts an item in force whose value has arrived.
func (f *follower) supply(era uint64, item replica.Item) {
	f.decodeLarge([]replica.Item{item})
	// Kept first, so that VMs that learn of the item get it.
	f.values.add(item.Value)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyUpdate(f.state.Supply(f.now(), era, item), fromPeer)
	f.wakeWaiters()
}
