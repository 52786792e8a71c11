package upstreamsignal_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/upstreamsignal"
)

func Example() {
	table := upstreamsignal.New(2 * time.Second)
	now := clock.Instant(time.Hour)
	upstream := upstreamsignal.Instance{ID: "u-1", Start: 1}
	table.RecordLeaving(now, upstream)
	fmt.Println(table.WorkVerdict(now, now, upstream, true) == upstreamsignal.Leaving)
	fmt.Println(table.WorkVerdict(now, now, upstream, false) == upstreamsignal.LastResort)
	// Output:
	// true
	// true
}
