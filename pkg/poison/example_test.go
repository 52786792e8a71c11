package poison_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

// A request during which two upstreams crashed is refused once the crashes can no longer be
// part of an infrastructure failure.
func ExampleTable() {
	now := clock.Instant(time.Hour)
	suspects, request := poison.New(), poison.Fingerprint{1}
	suspects.RecordCrash(now, request, "engine-1", "zone-a")
	fmt.Println("isolated:", suspects.Check(now, request) == poison.Isolate)
	suspects.RecordCrash(now.Add(time.Second), request, "engine-2", "zone-b")
	later := now.Add(time.Minute)
	fmt.Println("refused:", suspects.Check(later, request) == poison.Refuse)
	fmt.Println("reported:", suspects.TakeNewlyConfirmed(later)[0].Upstreams)
	// Output:
	// isolated: true
	// refused: true
	// reported: [engine-1 engine-2]
}
