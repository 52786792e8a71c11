package partition_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/partition"
)

func Example() {
	now := clock.Instant(time.Hour)
	detector := partition.New(now, 1)
	detector.SetUpstreams(now, []partition.Upstream{
		{Address: "10.0.0.1:80", Pool: "a", Zone: "z1"}, {Address: "10.0.0.2:80", Pool: "a", Zone: "z2"}, {Address: "10.0.0.3:80", Pool: "b", Zone: "z1"},
	})
	detector.RecordFailed(now, "10.0.0.1:80")
	detector.RecordFailed(now, "10.0.0.3:80")
	probes := detector.Tick(now, partition.Traffic{})
	fmt.Println(len(probes), detector.State())
	for _, probe := range probes {
		detector.RecordProbe(now.Add(partition.ProbeTimeout), probe.ID, false)
	}
	fmt.Println(detector.State())
	// Output:
	// 3 suspect
	// partitioned
}
