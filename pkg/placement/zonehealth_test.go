package placement

import (
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// TestZoneThatIsCutOff replays connections that time out in one zone. It guards against a request
// that is lost for each upstream of the zone, against avoiding a zone because one upstream of it
// is gone, and against avoiding it after it is back.
func TestZoneThatIsCutOff(t *testing.T) {
	upstreams := newUpstreams(30)
	var health ZoneHealth
	request := func() *Request {
		return &Request{Zone: "z0", IsZoneSuspect: func(zone string) bool { return health.IsSuspect(0, zone) }}
	}
	health.RecordTimeout(0, "z1", upstreams[1].ID)
	upstreams[1].RecordUnreachable(0)
	if health.IsSuspect(0, "z1") {
		t.Fatal("the zone is avoided after one upstream failed")
	}
	health.RecordTimeout(0, "z1", upstreams[4].ID)
	upstreams[4].RecordUnreachable(0)
	for range 60 {
		chosen := pick(0, request(), upstreams)
		if chosen.Zone == "z1" {
			t.Fatalf("%s was chosen although two upstreams of its zone timed out", chosen.ID)
		}
		chosen.RecordStart(0)
	}
	var onlyZone []*Upstream
	for _, u := range upstreams {
		if u.Zone == "z1" {
			onlyZone = append(onlyZone, u)
		}
	}
	if pick(0, request(), onlyZone) == nil {
		t.Error("no upstream was chosen although all others are gone")
	}
	if health.IsSuspect(clock.Instant(2*time.Second), "z1") {
		t.Error("the zone is still avoided after two seconds without another failure")
	}
	health.RecordResponse("z1")
	if health.IsSuspect(0, "z1") {
		t.Error("the zone is avoided although one of its upstreams responded")
	}
}
