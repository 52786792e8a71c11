package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/stats"
)

// transparentRetryPause is the pause before a transparent retry. While a connection is being closed, grpc-go
// retries a call on it at once and without a bound. On one processor these retries keep the goroutine that closes
// the connection from running.
const transparentRetryPause = time.Millisecond

// retryPauser pauses transparent retries.
type retryPauser struct{ noConnStats }

// TagRPC implements stats.Handler.
func (retryPauser) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (retryPauser) HandleRPC(_ context.Context, event stats.RPCStats) {
	if begin, ok := event.(*stats.Begin); ok && begin.IsTransparentRetryAttempt {
		time.Sleep(transparentRetryPause)
	}
}
