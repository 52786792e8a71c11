package membership_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// Two machines probe each other. When one stops, the other first suspects it and then
// marks it as unreachable.
func ExampleMachine() {
	now := clock.Instant(0)
	list := []membership.Member{{Name: "vm-1", Zone: "a"}, {Name: "vm-2", Zone: "b"}}
	machines := map[string]*membership.Machine{}
	for i, entry := range list {
		m := membership.New(now, membership.Options{Self: entry.Name, Incarnation: membership.NewIncarnation(1000), Seed: uint64(i)})
		m.SetMembers(now, list)
		machines[entry.Name] = m
	}
	stopped := false
	var deliver func([]membership.Message)
	deliver = func(messages []membership.Message) {
		for _, message := range messages {
			to := ""
			switch m := message.(type) {
			case membership.Probe:
				to = m.To
			case membership.Ack:
				to = m.To
			}
			if !stopped || to != "vm-2" {
				deliver(machines[to].Receive(now, message))
			}
		}
	}
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			deliver(machines["vm-1"].Tick(now))
			if !stopped {
				deliver(machines["vm-2"].Tick(now))
			}
		}
		state, _ := machines["vm-1"].Member("vm-2")
		fmt.Println(state.Status)
	}
	run(5 * time.Second)
	stopped = true
	run(20 * time.Second)
	// Output:
	// alive
	// unreachable
}
