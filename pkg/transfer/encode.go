package transfer

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

const (
	// baseDictionary is the ID under which the base of a difference is the dictionary of the encoder.
	baseDictionary = 1
	// MaxValueBytes bounds the size of a value that is transferred.
	MaxValueBytes = 8 << 20
	// windowBytes is the distance over which the encoder finds repetitions: values of the size that stores hold
	// and their bases.
	windowBytes = 4 << 20
)

// Encoded is the encoded form of a value: in the zstd format, with the base as the dictionary of a difference.
type Encoded struct {
	IsDelta bool
	Data    []byte
}

// Encode encodes a value as the difference to a base, or by itself if the base is empty.
func Encode(value, base []byte) (Encoded, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseDictionary, base), zstd.WithWindowSize(windowBytes))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Encoded{}, errors.Wrap(err, "encode value")
	}
	defer encoder.Close()
	return Encoded{IsDelta: len(base) > 0, Data: encoder.EncodeAll(value, nil)}, nil
}

// Decode decodes the value that a reference identifies. The base must be that of Encode if the encoded form is a
// difference.
func Decode(encoded Encoded, base []byte, reference replica.Reference) ([]byte, error) {
	if reference.Size > MaxValueBytes {
		return nil, errors.Newf("the value has %d bytes, at most %d are allowed", reference.Size, MaxValueBytes)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxValueBytes), zstd.WithDecoderMaxWindow(MaxValueBytes)}
	if encoded.IsDelta {
		options = append(options, zstd.WithDecoderDictRaw(baseDictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "decode value")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(encoded.Data, make([]byte, 0, reference.Size))
	if err != nil {
		return nil, errors.Wrap(err, "decode value")
	}
	if replica.ReferenceTo(value) != reference {
		return nil, errors.New("the value is not the one that was referred to")
	}
	return value, nil
}
