// Package progress ends transfers that make no progress, by the decisions of pkg/transfer.
package progress

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/transfer"
)

// ErrStalled is the cause of the end of a context whose transfer counts as broken.
var ErrStalled = errors.New("the transfer makes no progress")

// Bound ends a context when its transfer counts as broken. It is safe for concurrent use.
type Bound struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu    sync.Mutex
	bound *transfer.Bound
}

// WithBound returns a context that ends with ErrStalled unless the first byte is received within beginsBy and the
// following ones as transfer.Bound requires. Stop must be called at the end of the transfer.
func WithBound(ctx context.Context, beginsBy time.Duration) (context.Context, *Bound) {
	ctx, cancel := context.WithCancelCause(ctx)
	b := &Bound{cancel: cancel, bound: transfer.NewBound(bootclock.Now(), beginsBy)}
	b.timer = time.AfterFunc(beginsBy, func() { cancel(ErrStalled) })
	return ctx, b
}

// Receive records that n bytes have arrived.
func (b *Bound) Receive(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := bootclock.Now()
	b.bound.Receive(now, n)
	b.timer.Reset(b.bound.Deadline().Sub(now))
}

// Stop ends the transfer and its context.
func (b *Bound) Stop() {
	b.timer.Stop()
	b.cancel(context.Canceled)
}
