package fleet

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const testSeedLag = 3 * time.Second

// TestUnknownSizeUsesTheMinimum guards against a VM whose seeds are dead and which takes itself for
// the whole fleet: many such VMs would each use a limit of the fleet in full.
func TestUnknownSizeUsesTheMinimum(t *testing.T) {
	b := NewSizeBound(0)
	b.Configure(testSeedLag, 2)
	if got := b.Size(clock.Instant(time.Second)); got != 3 {
		t.Errorf("size %d while the seeds may be late, want this VM and its seeds", got)
	}
	if got := b.StrictSize(clock.Instant(time.Second)); got != UnknownFleetSize {
		t.Errorf("strict size %d while no VM was found, want %d", got, UnknownFleetSize)
	}
	late := clock.Instant(testSeedLag + discoveryMargin)
	if got := b.Size(late); got != UnknownFleetSize {
		t.Errorf("size %d after the timeout, want %d", got, UnknownFleetSize)
	}
	b.Record(late.Add(time.Second), 4)
	if got := b.Size(late.Add(time.Second)); got != 4 || b.StrictSize(late.Add(time.Second)) != 4 {
		t.Errorf("size %d after others were found, want 4", got)
	}
	b.Record(late.Add(time.Hour), 1)
	if got := b.Size(late.Add(time.Hour)); got != 1 {
		t.Errorf("size %d after all others were gone for an hour, want 1", got)
	}
}

// TestOnlySeedIsItself guards against a deployment of one VM that uses only a fraction of its limits.
func TestOnlySeedIsItself(t *testing.T) {
	b := NewSizeBound(0)
	b.Configure(testSeedLag, 0)
	for _, now := range []clock.Instant{0, clock.Instant(time.Hour)} {
		if b.Size(now) != 1 || b.StrictSize(now) != 1 {
			t.Errorf("sizes %d and %d at %v, want 1", b.Size(now), b.StrictSize(now), now)
		}
	}
	b.Configure(testSeedLag, 2)
	if got := b.Size(clock.Instant(time.Hour)); got != UnknownFleetSize {
		t.Errorf("size %d after a reload named others, want %d", got, UnknownFleetSize)
	}
}

// TestSizeKeepsTheLargestOfTheLastMinutes guards against a part of a partitioned fleet that divides
// limits among itself alone as soon as the others left its directory.
func TestSizeKeepsTheLargestOfTheLastMinutes(t *testing.T) {
	b := NewSizeBound(0)
	b.Configure(testSeedLag, 2)
	now := clock.Instant(time.Minute)
	b.Record(now, 80)
	partition := now
	for ; now.Sub(partition) < sizeWindow; now = now.Add(time.Second) {
		b.Record(now, 40)
		if got := b.Size(now); got != 80 {
			t.Fatalf("size %d %v after 80 VMs were known", got, now.Sub(partition))
		}
	}
	for range 2 * sizeBuckets {
		now = now.Add(sizeWindow / sizeBuckets)
		b.Record(now, 40)
	}
	if got := b.Size(now); got != 40 {
		t.Errorf("size %d long after 80 VMs were known, want 40", got)
	}
}

// TestSizeIsNeverBelowOne guards against a division by zero.
func TestSizeIsNeverBelowOne(t *testing.T) {
	b := NewSizeBound(0)
	b.Record(0, 0)
	b.Configure(-time.Second, -3)
	if b.Size(0) != 1 || b.StrictSize(0) != 1 {
		t.Errorf("sizes %d and %d, want 1", b.Size(0), b.StrictSize(0))
	}
}
