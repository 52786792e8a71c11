package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/gossip"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	tickInterval = 100 * time.Millisecond
	// simulatedWarmUp and simulatedDuration are in simulated time.
	simulatedWarmUp   = 40 * time.Second
	simulatedDuration = 30 * time.Second
)

// simulatedFleet runs the control.Core of every VM in this process and delivers messages
// without delay.
type simulatedFleet struct {
	now           clock.Instant
	cores         map[string]*control.Core
	names         []string
	values        map[configuration.Name]configuration.Value
	sequence      uint64
	messageCount  int
	messageBytes  int
	platformReads int
}

// measureStateMachines simulates a fleet of n VMs and returns its resource use as text.
func measureStateMachines(n int, o options) string {
	heapBefore := liveHeapBytes()
	f := newSimulatedFleet(n, o)
	f.run(simulatedWarmUp, o)
	f.messageCount, f.messageBytes, f.platformReads = 0, 0, 0
	cpuBefore := processCPUTime()
	f.run(simulatedDuration, o)
	cpuTime := processCPUTime() - cpuBefore
	heap := liveHeapBytes() - heapBefore
	memberSeconds := float64(n) * simulatedDuration.Seconds()
	warmth, _ := f.cores[f.names[0]].Reports(f.now)
	runtime.KeepAlive(f)
	return fmt.Sprintf("\n%d state machines in one process, per member:\n"+
		"  %.2f messages/s sent, %.0f payload bytes/s sent, %.3f reads/s, %.3f%% of a core, %.2f MB of heap, %d warmth entries",
		n, float64(f.messageCount)/memberSeconds, float64(f.messageBytes)/memberSeconds, float64(f.platformReads)/memberSeconds,
		100*cpuTime.Seconds()/memberSeconds, float64(heap)/float64(n)/1e6, len(warmth))
}

func newSimulatedFleet(n int, o options) *simulatedFleet {
	f := &simulatedFleet{cores: map[string]*control.Core{}, values: map[configuration.Name]configuration.Value{}}
	vms := make([]table.VM, 0, n)
	for i := range n {
		vms = append(vms, table.VM{Name: vmName(i), Zone: zoneName(i, o.zones), AgentAddress: vmName(i), State: table.VMLive})
		f.names = append(f.names, vmName(i))
	}
	for _, name := range configuration.Names {
		f.values[name] = configuration.NewValue(1, []byte(name))
	}
	acceptAll := configuration.Validation{
		Tables: func(_, _ []byte) error { return nil },
		VMList: func([]byte) error { return nil },
	}
	for i, vm := range vms {
		f.cores[vm.Name] = control.New(f.now, control.Options{
			Self: vm.Name, Zone: vm.Zone, Address: vm.Name, Seed: uint64(i), Incarnation: membership.NewIncarnation(1),
			Validation: acceptAll, DecodeList: func([]byte) ([]table.VM, error) { return vms, nil },
		})
	}
	return f
}

func (f *simulatedFleet) run(d time.Duration, o options) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		for _, name := range f.names {
			f.executeActions(name, f.cores[name].Tick(f.now))
		}
		if f.now%clock.Instant(time.Second) == 0 {
			f.reportWarmth(o)
		}
	}
}

func (f *simulatedFleet) reportWarmth(o options) {
	f.sequence++
	for i, name := range f.names {
		var warmth []gossip.Warmth
		for k := range o.reportsPerGateway {
			warmth = append(warmth, gossip.Warmth{
				Upstream: upstreamName((i*o.reportsPerGateway + k) % o.upstreams), Reporter: name,
				Sequence: f.sequence, Successes: uint32(f.sequence),
			})
		}
		f.executeActions(name, f.cores[name].Report(f.now, warmth, nil))
	}
}

func (f *simulatedFleet) executeActions(from string, actions []control.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case control.Send:
			f.deliver(action.To.Address, action.Message)
		case control.Reply:
			switch message := action.Message.(type) {
			case control.Ack:
				f.deliver(message.To, message)
			case control.ExchangeReply:
				f.deliver(message.To, message)
			}
		case control.Read:
			f.platformReads++
			result := configuration.ReadResult{ID: action.ID, Status: configuration.ReadNoNewerValue}
			if value := f.values[action.Name]; value.Revision > action.After {
				result.Status, result.Value = configuration.ReadValue, value
			} else if action.Wait > 0 {
				// A read that waits for a newer value gets no result; the core counts it as failed at its deadline.
				continue
			}
			f.executeActions(from, f.cores[from].HandleReadResult(f.now, result))
		}
	}
}

func (f *simulatedFleet) deliver(to string, message control.Message) {
	f.messageCount++
	f.messageBytes += peer.EncodedSize(message)
	f.executeActions(to, f.cores[to].Receive(f.now, message, 0))
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage cannot fail with a valid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
