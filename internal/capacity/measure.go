package capacity

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

// measureProcesses runs n agent processes and returns their resource use as text.
func measureProcesses(ctx context.Context, n int, o options) (string, error) {
	directory, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(directory)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, n, o, directory)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return "", err
	}
	if err := f.waitForGateways(ctx, func(g *gateway) bool { return g.poolsRevision.Load() >= 1 && g.aliveMembers.Load() == int64(n) }); err != nil {
		return "", err
	}
	sleep(ctx, o.warmUp)
	var out strings.Builder
	steady, err := f.measureUsage(ctx, func() error { sleep(ctx, o.steadyDuration); return nil })
	if err != nil {
		return "", err
	}
	fmt.Fprintf(&out, "\n%d agents as processes, per agent, without changes:\n%s", n, steady)
	var slowest time.Duration
	changing, err := f.measureUsage(ctx, func() error {
		for range o.changeCount {
			elapsed, err := f.publishChange(ctx)
			if err != nil {
				return err
			}
			slowest = max(slowest, elapsed)
			sleep(ctx, o.changeInterval)
		}
		return nil
	})
	if err != nil {
		return "", err
	}
	cpuSecondsPerChange := (changing.meanCPUCores - steady.meanCPUCores) * changing.duration.Seconds() / float64(o.changeCount)
	bytesPerChange := (changing.networkBytesPerSecond() - steady.networkBytesPerSecond()) * changing.duration.Seconds() / float64(o.changeCount)
	fmt.Fprintf(&out, "  each of %d changes: %.1f ms of processor time, %.0f bytes between agents; slowest in force everywhere after %v\n",
		o.changeCount, cpuSecondsPerChange*1000, bytesPerChange, slowest.Round(time.Millisecond))
	fmt.Fprintf(&out, "  memory after the changes: %.1f MB mean, %.1f MB largest, %.1f MB largest peak\n",
		changing.meanRSSBytes/1e6, changing.maxRSSBytes/1e6, changing.peakRSSBytes/1e6)
	return out.String(), nil
}

// usage is the resource use of the agents over a measurement. Rates are per second. Values
// are means over the agents; max and peak fields are those of the largest agent.
type usage struct {
	duration      time.Duration
	meanCPUCores  float64
	maxCPUCores   float64
	rates         map[string]float64
	meanRSSBytes  float64
	maxRSSBytes   float64
	peakRSSBytes  float64
	warmthEntries float64
}

// measureUsage runs the activity and returns what the agents used meanwhile.
func (f *fleet) measureUsage(ctx context.Context, activity func() error) (usage, error) {
	before, err := f.sampleProcesses()
	if err != nil {
		return usage{}, err
	}
	started := time.Now()
	if err := activity(); err != nil {
		return usage{}, err
	}
	result := usage{duration: time.Since(started), rates: map[string]float64{}}
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	after, err := f.sampleProcesses()
	if err != nil {
		return usage{}, err
	}
	n, seconds := float64(len(after)), result.duration.Seconds()
	for i := range after {
		cpuCores := (after[i].cpuTime - before[i].cpuTime).Seconds() / seconds
		result.meanCPUCores += cpuCores / n
		result.maxCPUCores = max(result.maxCPUCores, cpuCores)
		result.meanRSSBytes += after[i].rssBytes / n
		result.maxRSSBytes = max(result.maxRSSBytes, after[i].rssBytes)
		result.peakRSSBytes = max(result.peakRSSBytes, after[i].peakRSSBytes)
		result.warmthEntries += float64(f.gateways[i].warmthEntries.Load()) / n
		for name, value := range after[i].counters {
			result.rates[name] += (value - before[i].counters[name]) / seconds / n
		}
	}
	return result, nil
}

func (f *fleet) sampleProcesses() ([]sample, error) {
	samples := make([]sample, 0, len(f.processes))
	for _, p := range f.processes {
		s, err := p.sample()
		if err != nil {
			return nil, err
		}
		samples = append(samples, s)
	}
	return samples, nil
}

// Prefixes of the keys in sample.counters: a metric name without its labels.
const (
	messagesCounter  = "hoist_messages_total/"
	bytesCounter     = "hoist_message_bytes_total/"
	transportCounter = "hoist_transport_bytes_total/"
	readsCounter     = "hoist_agent_platform_reads_total/"
	readBytesCounter = "hoist_agent_platform_read_bytes_total/"
)

// sameVMCalls are the gRPC methods that a gateway calls on the agent of its VM.
var sameVMCalls = []string{"Watch", "Report"}

// networkBytesPerSecond returns the traffic between agents: all transport bytes minus the
// payloads of calls on the same VM.
func (u usage) networkBytesPerSecond() float64 {
	total := u.sumRates(transportCounter)
	for _, kind := range sameVMCalls {
		total -= u.sumRates(bytesCounter + "in/" + kind)
		total -= u.sumRates(bytesCounter + "out/" + kind)
	}
	return total
}

// sumRates adds up the rates of all counters whose keys start with prefix.
func (u usage) sumRates(prefix string) float64 {
	total := 0.0
	for name, rate := range u.rates {
		if strings.HasPrefix(name, prefix) {
			total += rate
		}
	}
	return total
}

// String formats the usage, with one line per kind of message.
func (u usage) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "  processor: %.3f%% of a core mean, %.3f%% largest\n", 100*u.meanCPUCores, 100*u.maxCPUCores)
	fmt.Fprintf(&out, "  memory: %.1f MB mean, %.1f MB largest, %.1f MB largest peak\n", u.meanRSSBytes/1e6, u.maxRSSBytes/1e6, u.peakRSSBytes/1e6)
	fmt.Fprintf(&out, "  between agents, with headers, both directions: %.2f KB/s\n", u.networkBytesPerSecond()/1e3)
	fmt.Fprintf(&out, "  platform: %.3f reads/s, %.2f KB/s\n", u.sumRates(readsCounter), u.sumRates(readBytesCounter)/1e3)
	fmt.Fprintf(&out, "  warmth entries in the snapshot: %.0f\n", u.warmthEntries)
	for _, name := range slices.Sorted(maps.Keys(u.rates)) {
		if kind, ok := strings.CutPrefix(name, messagesCounter); ok {
			fmt.Fprintf(&out, "  %-16s %8.3f messages/s %10.1f bytes/s\n", kind, u.rates[name], u.rates[bytesCounter+kind])
		}
	}
	return out.String()
}
