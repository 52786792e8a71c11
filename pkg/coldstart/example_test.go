package coldstart_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/coldstart"
)

// A cold upstream gets only the slots that are leased. Once it is warm, the limit ramps up
// from 1 to the share of this VM.
func ExampleLimiter() {
	now := clock.Instant(time.Hour)
	limiter := coldstart.Limiter{Share: 8, ColdCapacity: 2}
	limiter.Warmth.WarmAfter = 3
	show := func(state string) {
		limit, warm, _ := limiter.Limit(now)
		fmt.Printf("%s: limit %d, warm %t\n", state, limit, warm)
	}
	show("cold without lease")
	limiter.Lease = coldstart.Lease{Slots: 2, Until: now.Add(5 * time.Second)}
	show("cold with lease")
	for range 3 {
		limiter.Warmth.RecordSuccess(now, now, 10*time.Millisecond, false)
	}
	show("warm")
	limiter.Warmth.MarkCold(now)
	limiter.Lease = coldstart.Lease{}
	show("after a cold sign")
	// Output:
	// cold without lease: limit 0, warm false
	// cold with lease: limit 2, warm false
	// warm: limit 1, warm true
	// after a cold sign: limit 0, warm false
}

// The shares of all VMs add up to the capacity; VMs in the upstream's zone get 70% of it.
func ExampleShare() {
	members := []coldstart.Member{{VM: "vm-1", Zone: "a"}, {VM: "vm-2", Zone: "a"}, {VM: "vm-3", Zone: "b"}}
	sameZone := coldstart.Share("engine-1", "a", 20, members, "vm-1") + coldstart.Share("engine-1", "a", 20, members, "vm-2")
	fmt.Println(sameZone, coldstart.Share("engine-1", "a", 20, members, "vm-3"))
	// Output: 14 6
}
