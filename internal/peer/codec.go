package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
)

const (
	// maxClockDifference is the largest accepted difference between the send time in a message
	// and the receiver's wall clock. It limits how long a recorded message can be replayed.
	maxClockDifference = 2 * time.Minute
	// macHeaderBytes is the size of the header before each message: a MAC and the send time.
	macHeaderBytes = sha256.Size + 8
)

// errNotAuthenticated is returned for messages that do not pass verification.
var errNotAuthenticated = errors.New("message without proof of the shared key")

// authenticatedCodec is the protobuf codec with a header before each message that contains
// an HMAC-SHA256 with the shared key and the send time. The HMAC covers the message type,
// which identifies method and direction, the time and the payload. It is computed over the
// encoded bytes, so that processes of different versions can verify each other.
type authenticatedCodec struct {
	key     *Key
	metrics *Metrics
	now     func() time.Time
}

// Name returns the name of the protobuf codec.
func (c *authenticatedCodec) Name() string { return "proto" }

// Marshal encodes a message with its authentication header.
func (c *authenticatedCodec) Marshal(v any) (mem.BufferSlice, error) {
	message, ok := v.(proto.Message)
	if !ok {
		return nil, errors.Newf("cannot encode %T", v)
	}
	options := proto.MarshalOptions{}
	frame := make([]byte, macHeaderBytes, macHeaderBytes+options.Size(message))
	frame, err := options.MarshalAppend(frame, message)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint64(frame[sha256.Size:], uint64(c.now().Unix()))
	copy(frame, c.mac(message, frame[sha256.Size:]))
	return mem.BufferSlice{mem.SliceBuffer(frame)}, nil
}

// Unmarshal verifies the MAC and the send time before it decodes the message.
func (c *authenticatedCodec) Unmarshal(data mem.BufferSlice, v any) error {
	message, ok := v.(proto.Message)
	if !ok {
		return errors.Newf("cannot decode %T", v)
	}
	buffer := data.MaterializeToBuffer(mem.DefaultBufferPool())
	defer buffer.Free()
	frame := buffer.ReadOnlyData()
	if !c.isAuthentic(message, frame) {
		c.metrics.countRefused()
		return errNotAuthenticated
	}
	return proto.Unmarshal(frame[macHeaderBytes:], message)
}

func (c *authenticatedCodec) isAuthentic(message proto.Message, frame []byte) bool {
	if len(frame) < macHeaderBytes || !hmac.Equal(frame[:sha256.Size], c.mac(message, frame[sha256.Size:])) {
		return false
	}
	sentAt := time.Unix(int64(binary.BigEndian.Uint64(frame[sha256.Size:])), 0)
	return c.now().Sub(sentAt).Abs() <= maxClockDifference
}

// mac returns the MAC of the message type and the rest of the frame: time and payload.
func (c *authenticatedCodec) mac(message proto.Message, rest []byte) []byte {
	h := hmac.New(sha256.New, c.key.secret)
	h.Write([]byte(message.ProtoReflect().Descriptor().FullName()))
	// A type name contains no zero byte, so this delimiter is unambiguous.
	h.Write([]byte{0})
	h.Write(rest)
	return h.Sum(nil)
}

// newCodec returns the authenticating codec, or the plain protobuf codec if key is nil.
func newCodec(key *Key, metrics *Metrics) encoding.CodecV2 {
	if key == nil {
		return encoding.GetCodecV2("proto")
	}
	return &authenticatedCodec{key: key, metrics: metrics, now: time.Now}
}
