package gossip

import "slices"

// queue holds keys in buckets by how often they have been sent. Taking the least-sent
// keys first spreads new items before old ones are repeated; the buckets make the cost
// of a message independent of the number of keys.
type queue[K comparable] struct {
	// sendCount is how often a queued key has been sent, or taking.
	sendCount map[K]int
	// buckets[n] lists keys sent n times; entries that do not match sendCount are skipped.
	buckets [][]K
}

const (
	// taking marks a key that the current call of take has already returned.
	taking = -1
	// staleAllowance is the number of entries, on top of twice the number of queued
	// keys, that a bucket may hold before its stale entries are removed.
	staleAllowance = 64
)

func newQueue[K comparable]() *queue[K] { return &queue[K]{sendCount: map[K]int{}} }

// put queues a key as not sent yet.
func (q *queue[K]) put(key K) {
	if n, queued := q.sendCount[key]; queued && n == 0 {
		return
	}
	q.push(key, 0)
}

// remove drops a key.
func (q *queue[K]) remove(key K) { delete(q.sendCount, key) }

// take returns up to n of the least-sent keys and drops keys that have been sent
// limit times.
func (q *queue[K]) take(n, limit int) []K {
	var taken []K
	var counts []int
	for count := 0; count < len(q.buckets) && len(taken) < n; count++ {
		bucket := q.buckets[count]
		used := 0
		for ; used < len(bucket) && len(taken) < n; used++ {
			if sent, queued := q.sendCount[bucket[used]]; queued && sent == count {
				q.sendCount[bucket[used]] = taking
				taken = append(taken, bucket[used])
				counts = append(counts, count+1)
			}
		}
		q.buckets[count] = bucket[used:]
	}
	for i, key := range taken {
		if counts[i] >= limit {
			delete(q.sendCount, key)
			continue
		}
		q.push(key, counts[i])
	}
	return taken
}

func (q *queue[K]) push(key K, count int) {
	q.sendCount[key] = count
	for len(q.buckets) <= count {
		q.buckets = append(q.buckets, nil)
	}
	if len(q.buckets[count]) > 2*len(q.sendCount)+staleAllowance {
		q.buckets[count] = slices.DeleteFunc(q.buckets[count], func(k K) bool {
			sent, queued := q.sendCount[k]
			return !queued || sent != count || k == key
		})
	}
	q.buckets[count] = append(q.buckets[count], key)
}
