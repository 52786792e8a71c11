package transfer

import "github.com/hornbeamhoist/hornbeamhoist/pkg/replica"

const (
	// maxValues and maxValueBytes bound the values that a VM keeps for others. The latest value is kept whatever its
	// size. In a series of changes, a VM that is some versions behind still gets a difference.
	maxValues     = 8
	maxValueBytes = 4 << 20
	// maxEncodings bounds the encoded forms that are kept. VMs ask for the latest value, and most have the one before.
	maxEncodings = 8
)

// Values keeps the latest large values, so that a VM can send others what they refer to, and what these values are
// encoded as differences to. The zero value is empty.
type Values struct {
	// values holds the latest one last.
	values    []keptValue
	encodings []encoding
}

type keptValue struct {
	reference replica.Reference
	value     []byte
}

type encoding struct {
	hash, base uint64
	encoded    Encoded
}

// Add keeps a value, and drops the oldest ones that exceed the bounds.
func (v *Values) Add(value []byte) {
	reference := replica.ReferenceTo(value)
	for i, kept := range v.values {
		if kept.reference == reference {
			v.values = append(append(v.values[:i:i], v.values[i+1:]...), kept)
			return
		}
	}
	v.values = append(v.values, keptValue{reference, value})
	total := 0
	for i := len(v.values) - 1; i >= 0; i-- {
		total += len(v.values[i].value)
		isLatest := i == len(v.values)-1
		if !isLatest && (total > maxValueBytes || len(v.values)-i > maxValues) {
			v.values = append([]keptValue(nil), v.values[i+1:]...)
			return
		}
	}
}

// ByHash returns the value with the hash, or nil if it is not kept.
func (v *Values) ByHash(hash uint64) []byte {
	for _, kept := range v.values {
		if kept.reference.Hash == hash {
			return kept.value
		}
	}
	return nil
}

// Encoded returns the encoded form of a value for a receiver that has the value with the base hash, or 0. It returns
// false if the value is not kept.
func (v *Values) Encoded(hash, base uint64) (Encoded, bool, error) {
	value, baseValue := v.ByHash(hash), v.ByHash(base)
	if value == nil {
		return Encoded{}, false, nil
	}
	if baseValue == nil {
		base = 0
	}
	for _, known := range v.encodings {
		if known.hash == hash && known.base == base {
			return known.encoded, true, nil
		}
	}
	encoded, err := Encode(value, baseValue)
	if err != nil {
		return Encoded{}, false, err
	}
	if len(v.encodings) == maxEncodings {
		v.encodings = v.encodings[1:]
	}
	v.encodings = append(v.encodings, encoding{hash, base, encoded})
	return encoded, true, nil
}
