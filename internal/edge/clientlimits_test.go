package edge

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/ingress"
)

// TestCallerLimitsFollowTheConfiguration guards against limits that callers within the configuration
// reach, and against values that turn a limit off.
func TestCallerLimitsFollowTheConfiguration(t *testing.T) {
	settings := &Settings{MemoryBytes: 144 << 20, MaxDescriptors: 3075}
	limits := callerLimits(settings, &catalog.Limits{})
	if limits.HeadBytes != maxHeaderBytes+headBytesMargin || limits.HeadTimeout != headerTimeout || limits.IdleTimeout != idleTimeout {
		t.Errorf("without a configuration: %+v", limits)
	}
	if limits.Connections != 1437 || limits.Bytes != 36<<20 || limits.BodyBytes != 18<<20 {
		t.Errorf("connections %d, bytes %d, bodies %d", limits.Connections, limits.Bytes, limits.BodyBytes)
	}
	configured := &catalog.Limits{HeaderBytes: 128 << 10, HeaderTimeout: 20 * time.Second, IdleTimeout: 200 * time.Second}
	limits = callerLimits(settings, configured)
	if limits.HeadBytes <= 128<<10 || limits.HeadTimeout <= 20*time.Second || limits.IdleTimeout < 200*time.Second {
		t.Errorf("callers within the configuration reach %+v", limits)
	}
	absurd := &catalog.Limits{HeaderBytes: 1 << 40, HeaderTimeout: -1, IdleTimeout: -1}
	limits = callerLimits(&Settings{MemoryBytes: -1, MaxDescriptors: 10}, absurd)
	if limits.HeadBytes > 2*maxConfiguredHeadBytes || limits.HeadTimeout != headerTimeout || limits.IdleTimeout != idleTimeout {
		t.Errorf("absurd values: %+v", limits)
	}
	if limits.Connections != minCallerConnections || limits.Bytes != defaultMemoryBytes/callerMemoryDivisor {
		t.Errorf("absurd values: %+v", limits)
	}
}

// TestShares guards against ports that together take the descriptors of the store and the upstreams.
func TestShares(t *testing.T) {
	for _, descriptors := range []int{0, 1024, 3075, 4100} {
		settings := &Settings{MaxDescriptors: descriptors}
		taken := callerLimits(settings, &catalog.Limits{}).Connections + peerLimits(settings).Connections + readinessConnections + metricsConnections
		if descriptors == 0 {
			descriptors = defaultDescriptors
		}
		if left := descriptors - taken; left < reservedDescriptors {
			t.Errorf("%d of %d descriptors are left", left, descriptors)
		}
	}
}

// TestMemoryLimit guards against a limit of the garbage collector that leaves no room for the program.
func TestMemoryLimit(t *testing.T) {
	for memoryMB, wantMB := range map[int64]int64{0: 0, 24: 12, 48: 24, 64: 40, 144: 100, 1024: 716} {
		settings := &Settings{MemoryBytes: memoryMB << 20}
		if got := settings.MemoryLimit() >> 20; got != wantMB {
			t.Errorf("%d MB: limit %d MB, expected %d", memoryMB, got, wantMB)
		}
	}
}

// TestAnnouncedBodyTakesMemoryAsItArrives guards against connections that take all memory for bodies
// by announcing long ones.
func TestAnnouncedBodyTakesMemoryAsItArrives(t *testing.T) {
	m := newRequestMemory(144 << 20)
	const length = 8 << 20
	var taken []int64
	acquire := func(n int64) error {
		taken = append(taken, n)
		return m.tryMemory(n)
	}
	b, err := m.readRequest(strings.NewReader(strings.Repeat("b", ingress.ProbeBytes-1)), length, length, acquire)
	if !errors.Is(err, io.ErrUnexpectedEOF) || len(taken) != 1 || taken[0] != ingress.ProbeBytes {
		t.Errorf("error %v, taken %v", err, taken)
	}
	b.release()
	// A body of the largest allowed size is served on the smallest VM.
	b, err = m.readRequest(strings.NewReader(strings.Repeat("b", length)), length, length, acquire)
	if err != nil || b.size() != length || len(b.parts) != 1 {
		t.Fatalf("error %v, %d bytes in %d parts", err, b.size(), len(b.parts))
	}
	b.release()
	b, err = m.readRequest(strings.NewReader(strings.Repeat("b", length)), -1, length, acquire)
	if err == nil {
		err = b.join(acquire)
	}
	if err != nil || len(b.bytes()) != length || len(b.parts) != 1 {
		t.Fatalf("without a length: error %v, %d bytes in %d parts", err, b.size(), len(b.parts))
	}
	b.release()
	if !m.free.TryAcquire(m.limit) {
		t.Error("memory was not released")
	}
	b, err = m.readRequest(strings.NewReader(""), m.limit+1, 1<<40, acquire)
	if !errors.Is(err, errBodyTooLarge) {
		t.Errorf("error %v, expected %v", err, errBodyTooLarge)
	}
	b.release()
}
