package edge

import (
	"context"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// containment keeps a panic in the handling of one request, message or published item from
// ending the process, which would end all other requests as well.
type containment struct {
	logger  *zap.Logger
	metrics *metrics
}

// run calls f and reports whether it panicked. The scope names what was handled, in logs and
// metrics.
func (c *containment) run(scope string, f func()) (panicked bool) {
	defer func() {
		if value := recover(); value != nil {
			panicked = true
			c.record(scope, value)
		}
	}()
	f()
	return false
}

// record logs and counts a recovered panic.
func (c *containment) record(scope string, value any) {
	c.metrics.panics.WithLabelValues(scope).Inc()
	c.logger.Error("panic contained", zap.String("scope", scope), zap.Any("panic", value), zap.ByteString("stack", debug.Stack()))
}

// decode calls a decoder of published items. A panic in it is an error of that item.
func (c *containment) decode(decode Decoder) Decoder {
	return func(key string, value []byte) (decoded any, err error) {
		if c.run("published item", func() { decoded, err = decode(key, value) }) {
			return nil, errors.New("panic while decoding")
		}
		return decoded, err
	}
}

// interceptCall ends a call of a peer with an error if its handler panics.
func (c *containment) interceptCall(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
	if c.run("call of a peer", func() { response, err = handler(ctx, request) }) {
		return nil, status.Error(codes.Internal, "panic in the handler")
	}
	return response, err
}

// interceptStream is interceptCall for a stream of a peer.
func (c *containment) interceptStream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	if c.run("stream of a peer", func() { err = handler(server, stream) }) {
		return status.Error(codes.Internal, "panic in the handler")
	}
	return err
}
