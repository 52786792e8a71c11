package resume

import (
	"crypto/sha256"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// KeySize is the size of a Key in bytes.
const KeySize = 16

// Key identifies a stream by the request that began it.
type Key [KeySize]byte

// KeyOf returns the key of the stream that a request of a workspace began. The workspace is empty if the
// request needs no API key.
func KeyOf(workspace, requestID string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + requestID))
	return Key(sum[:KeySize])
}

type originRecord struct {
	answer     Answer
	recordedAt clock.Instant
}

// Origins holds the origins of recent streams.
type Origins struct {
	limit   int
	records map[Key]originRecord
	// order holds the keys in the order in which they were recorded, from the oldest one on.
	order []Key
}

// NewOrigins returns an empty table of up to limit streams. The oldest ones are dropped beyond it.
func NewOrigins(limit int) *Origins {
	return &Origins{limit: limit, records: map[Key]originRecord{}}
}

// Record records the origin of a stream.
func (o *Origins) Record(now clock.Instant, key Key, origin Origin) {
	answer := Answer{Certainty: Recorded, Origin: origin}
	if known, ok := o.records[key]; ok {
		known.answer = known.answer.Merge(answer)
		o.records[key] = known
		return
	}
	if len(o.order) >= o.limit {
		o.dropOldest()
	}
	o.records[key] = originRecord{answer: answer, recordedAt: now}
	o.order = append(o.order, key)
}

// Find returns what the records say of a stream.
func (o *Origins) Find(key Key) Answer { return o.records[key].answer }

// Expire drops the streams that were recorded before the given time.
func (o *Origins) Expire(before clock.Instant) {
	for len(o.order) > 0 && o.records[o.order[0]].recordedAt < before {
		o.dropOldest()
	}
}

// Size returns the number of streams.
func (o *Origins) Size() int { return len(o.order) }

func (o *Origins) dropOldest() {
	delete(o.records, o.order[0])
	o.order = o.order[1:]
}
