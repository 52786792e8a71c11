package burn

import "time"

// bucketDuration is the length of a bucket. A window is a whole number of buckets, so its
// length is accurate to 10 s; the shortest window is 5 min.
const bucketDuration = 10 * time.Second

// bucketCount is enough for the longest window and the current bucket.
const bucketCount = int64(WindowTicketLong/bucketDuration) + 1

// series stores the counter increases of one route in a ring buffer of time buckets.
//
// Invariant: the ring buffer holds the buckets newestIndex-bucketCount+1 to newestIndex, so
// memory does not grow with the number of samples or gateways.
type series struct {
	buckets     [bucketCount]Counts
	newestIndex int64
}

func newSeries(at time.Time) *series { return &series{newestIndex: bucketIndex(at)} }

// bucketIndex returns the index of the bucket that contains the time, counted from the Unix
// epoch.
func bucketIndex(at time.Time) int64 {
	ns := at.UnixNano()
	bucket := ns / int64(bucketDuration)
	if ns%int64(bucketDuration) < 0 {
		bucket--
	}
	return bucket
}

func (s *series) bucketAt(bucket int64) *Counts {
	return &s.buckets[((bucket%bucketCount)+bucketCount)%bucketCount]
}

// advance makes the bucket the newest one and clears the buckets that it displaces.
func (s *series) advance(bucket int64) {
	if bucket <= s.newestIndex {
		return
	}
	for b := max(s.newestIndex+1, bucket-bucketCount+1); b <= bucket; b++ {
		*s.bucketAt(b) = Counts{}
	}
	s.newestIndex = bucket
}

// spread distributes an increase evenly over the time from start to end.
func (s *series) spread(start, end time.Time, increase Counts) {
	last := bucketIndex(end.Add(-1))
	s.advance(last)
	oldest := s.newestIndex - bucketCount + 1
	length := float64(end.Sub(start))
	for b := max(bucketIndex(start), oldest); b <= last; b++ {
		from := time.Unix(0, b*int64(bucketDuration))
		until := from.Add(bucketDuration)
		if from.Before(start) {
			from = start
		}
		if until.After(end) {
			until = end
		}
		share := float64(until.Sub(from)) / length
		*s.bucketAt(b) = s.bucketAt(b).add(increase.scale(share))
	}
}

// sum returns the total increase in the window that ends at now.
func (s *series) sum(now time.Time, window time.Duration) Counts {
	last := bucketIndex(now.Add(-1))
	first := last - int64(window/bucketDuration) + 1
	var total Counts
	for b := max(first, s.newestIndex-bucketCount+1); b <= min(last, s.newestIndex); b++ {
		total = total.add(*s.bucketAt(b))
	}
	return total
}
