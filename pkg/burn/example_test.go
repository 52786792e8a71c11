package burn_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/burn"
)

// A page requires a high burn rate over both the short and the long window.
func ExampleTracker() {
	tracker := burn.NewTracker(burn.DefaultRules())
	start := time.Date(2026, 11, 30, 8, 0, 0, 0, time.UTC)
	counts := map[string]burn.Counts{"ask": {}, "idle": {}}
	for minute := range 61 {
		at := start.Add(time.Duration(minute) * time.Minute)
		if err := tracker.Observe(burn.Sample{Source: "gateway-1", At: at, Routes: counts}); err != nil {
			fmt.Println(err)
		}
		ask := counts["ask"]
		counts = map[string]burn.Counts{
			"ask":  {InTime: ask.InTime + 80, Late: ask.Late + 20},
			"idle": {Refused: 1},
		}
	}
	for _, route := range tracker.Report(start.Add(time.Hour), map[string]float64{"ask": 0.99, "idle": 0.99}) {
		fmt.Printf("%s %s %.1f\n", route.Route, route.Verdict, route.Rate(burn.WindowPageLong))
	}
	// Output:
	// ask page 20.0
	// idle too_few 100.0
}
