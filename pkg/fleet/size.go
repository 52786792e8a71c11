package fleet

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// UnknownFleetSize is the size that is assumed while the size of the fleet is unknown. It
	// exceeds the largest fleet in operation, which has 95 VMs, since all of them may be in the
	// same situation.
	UnknownFleetSize = 100
	// sizeWindow is how long the largest number of known VMs counts. It exceeds the time by which
	// an unreachable VM leaves the directory, as partitions last longer than that.
	sizeWindow = 5 * time.Minute
	// sizeBuckets is the number of parts of sizeWindow for which one maximum each is kept.
	sizeBuckets = 10
	// discoveryMargin is added to the time by which seeds may be late: the settings file is
	// checked every second, and hellos may be lost.
	discoveryMargin = 2 * time.Second
)

// SizeBound decides by how many VMs the limits of the fleet are divided. The divisor must not be
// below the number of VMs that may be running, of which the directory contains only those that
// were found, and recently.
//
// SizeBound is deterministic and not safe for concurrent use. Invariants:
//   - a size is at least 1, and at least every number of known VMs of the last sizeWindow;
//   - it is at least UnknownFleetSize while no other VM was ever found although seeds name others:
//     at once for StrictSize, and after the discovery timeout for Size.
type SizeBound struct {
	startedAt clock.Instant
	// otherSeeds is the number of seeds other than this VM.
	otherSeeds int
	seedLag    time.Duration
	found      bool
	buckets    [sizeBuckets + 1]sizeBucket
}

// sizeBucket holds the largest number of known VMs in a part of the window.
type sizeBucket struct {
	index   int64
	largest int
}

// NewSizeBound returns the bound of a VM that starts now.
func NewSizeBound(now clock.Instant) *SizeBound { return &SizeBound{startedAt: now} }

// Configure sets the time by which the seeds may be late and the number of seeds other than this
// VM.
func (b *SizeBound) Configure(seedLag time.Duration, otherSeeds int) {
	b.seedLag, b.otherSeeds = max(seedLag, 0), max(otherSeeds, 0)
}

// Record records the number of known VMs, including this one.
func (b *SizeBound) Record(now clock.Instant, known int) {
	b.found = b.found || known > 1
	index := bucketIndex(now)
	bucket := &b.buckets[index%int64(len(b.buckets))]
	if bucket.index != index {
		*bucket = sizeBucket{index: index}
	}
	bucket.largest = max(bucket.largest, known)
}

// Unknown reports whether the size of the fleet is unknown, after the time in which a VM normally
// finds the others.
func (b *SizeBound) Unknown(now clock.Instant) bool {
	return b.neverFoundOthers() && now.Sub(b.startedAt) >= b.seedLag+discoveryMargin
}

// Size returns the divisor for limits of which a VM needs a usable share from its start, such as
// connections. Until the discovery timeout, the size is that of the seeds and this VM.
func (b *SizeBound) Size(now clock.Instant) int {
	switch {
	case b.Unknown(now):
		return max(b.largest(now), UnknownFleetSize)
	case b.neverFoundOthers():
		return max(b.largest(now), b.otherSeeds+1)
	}
	return b.largest(now)
}

// StrictSize returns the divisor for limits on rates. They must hold from the first second, since
// all VMs may start at once while upstreams are in a cold start.
func (b *SizeBound) StrictSize(now clock.Instant) int {
	if b.neverFoundOthers() {
		return max(b.largest(now), UnknownFleetSize)
	}
	return b.largest(now)
}

func (b *SizeBound) neverFoundOthers() bool { return !b.found && b.otherSeeds > 0 }

// largest returns the largest number of known VMs of the last sizeWindow.
func (b *SizeBound) largest(now clock.Instant) int {
	out := 1
	for _, bucket := range b.buckets {
		if bucketIndex(now)-bucket.index <= sizeBuckets {
			out = max(out, bucket.largest)
		}
	}
	return out
}

func bucketIndex(now clock.Instant) int64 {
	return int64(max(now, 0)) / int64(sizeWindow/sizeBuckets)
}
