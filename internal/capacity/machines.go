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
	machineTick = 100 * time.Millisecond
	// machineWarmUp and machineSpan are simulated times.
	machineWarmUp = 40 * time.Second
	machineSpan   = 30 * time.Second
)

// machines runs cores in one process; messages arrive at once.
type machines struct {
	now      clock.Instant
	cores    map[string]*control.Core
	names    []string
	values   map[configuration.Name]configuration.Value
	sequence uint64
	messages int
	bytes    int
	reads    int
}

// measureMachines runs the state machines of a fleet and returns the report.
func measureMachines(n int, o options) string {
	before := heapBytes()
	m := newMachines(n, o)
	m.run(machineWarmUp, o)
	m.messages, m.bytes, m.reads = 0, 0, 0
	started := processorTime()
	m.run(machineSpan, o)
	elapsed := processorTime() - started
	heap := heapBytes() - before
	perMember := float64(n) * machineSpan.Seconds()
	warmth, _ := m.cores[m.names[0]].Reports(m.now)
	runtime.KeepAlive(m)
	return fmt.Sprintf("\n%d state machines in one process, per member:\n"+
		"  %.2f messages/s sent, %.0f payload bytes/s sent, %.3f reads/s, %.3f%% of a core, %.2f MB of heap, %d warmth entries",
		n, float64(m.messages)/perMember, float64(m.bytes)/perMember, float64(m.reads)/perMember,
		100*elapsed.Seconds()/perMember, float64(heap)/float64(n)/1e6, len(warmth))
}

func newMachines(n int, o options) *machines {
	m := &machines{cores: map[string]*control.Core{}, values: map[configuration.Name]configuration.Value{}}
	list := make([]table.VM, 0, n)
	for i := range n {
		list = append(list, table.VM{Name: vmName(i), Zone: zoneName(i, o.zones), AgentAddress: vmName(i), State: table.VMLive})
		m.names = append(m.names, vmName(i))
	}
	for _, name := range configuration.Names {
		m.values[name] = configuration.NewValue(1, []byte(name))
	}
	accept := configuration.Validation{
		Tables: func(_, _ []byte) error { return nil },
		VMList: func([]byte) error { return nil },
	}
	for i, vm := range list {
		m.cores[vm.Name] = control.New(m.now, control.Options{
			Self: vm.Name, Zone: vm.Zone, Address: vm.Name, Seed: uint64(i), Incarnation: membership.NewIncarnation(1),
			Validation: accept, DecodeList: func([]byte) ([]table.VM, error) { return list, nil },
		})
	}
	return m
}

func (m *machines) run(d time.Duration, o options) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(machineTick)
		for _, name := range m.names {
			m.carryOut(name, m.cores[name].Tick(m.now))
		}
		if m.now%clock.Instant(time.Second) == 0 {
			m.report(o)
		}
	}
}

func (m *machines) report(o options) {
	m.sequence++
	for i, name := range m.names {
		var warmth []gossip.Warmth
		for k := range o.reports {
			warmth = append(warmth, gossip.Warmth{
				Upstream: upstreamName((i*o.reports + k) % o.upstreams), Reporter: name,
				Sequence: m.sequence, Successes: uint32(m.sequence),
			})
		}
		m.carryOut(name, m.cores[name].Report(m.now, warmth, nil))
	}
}

func (m *machines) carryOut(from string, actions []control.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case control.Send:
			m.deliver(action.To.Address, action.Message)
		case control.Reply:
			switch message := action.Message.(type) {
			case control.Ack:
				m.deliver(message.To, message)
			case control.ExchangeReply:
				m.deliver(message.To, message)
			}
		case control.Read:
			m.reads++
			result := configuration.ReadResult{ID: action.ID, Status: configuration.ReadNoNewerValue}
			if value := m.values[action.Name]; value.Revision > action.After {
				result.Status, result.Value = configuration.ReadValue, value
			} else if action.Wait > 0 {
				// A watch without news stays unanswered until it counts as failed.
				continue
			}
			m.carryOut(from, m.cores[from].HandleReadResult(m.now, result))
		}
	}
}

func (m *machines) deliver(to string, message control.Message) {
	m.messages++
	m.bytes += peer.EncodedSize(message)
	m.carryOut(to, m.cores[to].Receive(m.now, message, 0))
}

// processorTime returns what this process has used of all processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call cannot fail with a valid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
