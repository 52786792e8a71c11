package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/stats"
)

// transparentRetryPause is the pause before a transparent retry. grpc-go retries a call on a connection that is
// being closed at once and without a bound, until the goroutine that closes it has run, which a processor that is
// busy with the retries delays.
const transparentRetryPause = time.Millisecond

// retryPauser pauses transparent retries.
type retryPauser struct{}

// TagRPC implements stats.Handler.
func (retryPauser) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (retryPauser) HandleRPC(_ context.Context, event stats.RPCStats) {
	if begin, ok := event.(*stats.Begin); ok && begin.IsTransparentRetryAttempt {
		time.Sleep(transparentRetryPause)
	}
}

// TagConn implements stats.Handler.
func (retryPauser) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (retryPauser) HandleConn(context.Context, stats.ConnStats) {}
