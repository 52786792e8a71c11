package configuration_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
)

// Routes and pools come into force after the startup wait, once both have been read. An
// older revision never replaces them.
func ExampleMachine() {
	accept := configuration.Validation{
		Tables: func(_, _ []byte) error { return nil },
		VMList: func([]byte) error { return nil },
	}
	now := clock.Instant(0)
	machine := configuration.New(now, configuration.Options{Self: "vm-1", Zone: "a", Seed: 1, Validation: accept})
	machine.SetMembers(now, []configuration.Member{
		{Name: "vm-1", Zone: "a", Live: true, Reachable: true},
		// This peer sends no advertisements, so the startup wait has to elapse.
		{Name: "vm-2", Zone: "a", Live: true, Reachable: true},
	})
	revision := uint64(5)
	advance := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			for _, action := range machine.Tick(now) {
				// The platform has one revision of each value and responds immediately.
				read, isRead := action.(configuration.Read)
				if !isRead {
					continue
				}
				result := configuration.ReadResult{ID: read.ID, Status: configuration.ReadNoNewerValue}
				if revision > read.After {
					result.Status, result.Value = configuration.ReadValue, configuration.NewValue(revision, []byte("tables"))
				}
				machine.HandleReadResult(now, result)
			}
		}
		fmt.Println(machine.InForce(configuration.Routes).Revision, machine.InForce(configuration.Pools).Revision)
	}
	advance(time.Second)
	advance(10 * time.Second)
	revision = 4
	advance(5 * time.Minute)
	// Output:
	// 0 0
	// 5 5
	// 5 5
}
