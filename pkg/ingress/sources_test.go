package ingress

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestSourcesAreBoundedApart guards against one source that takes the share of the others, and against
// a table of sources that grows without a bound.
func TestSourcesAreBoundedApart(t *testing.T) {
	s := NewSources(2)
	first, second := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for i, want := range []bool{true, true, false} {
		if got := s.Allow(1, first); got != want {
			t.Errorf("datagram %d: %v, expected %v", i, got, want)
		}
	}
	if !s.Allow(1, second) {
		t.Error("another source is refused")
	}
	if !s.Allow(1+clock.Instant(sourceWindow), first) {
		t.Error("the source is refused after the window")
	}
	for i := range uint32(3 * maxSources) {
		s.Allow(1+clock.Instant(sourceWindow), netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, 0x0b000000+i))))
	}
	if len(s.counts) > maxSources {
		t.Errorf("%d sources are counted", len(s.counts))
	}
}
