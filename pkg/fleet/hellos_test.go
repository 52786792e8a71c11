package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// helloRounds returns the addresses of a number of consecutive rounds while no VM is reachable.
func helloRounds(h *HelloTargets, rounds int) []string {
	var out []string
	for i := range rounds {
		out = append(out, h.Next(clock.Instant(time.Duration(i+1)*aloneHelloInterval), true)...)
	}
	return out
}

// TestHellosReachFormerPeersAndNewSeeds guards against a VM that asks dead seeds for ever although
// it knew other VMs, was called by one, or was given new seeds.
func TestHellosReachFormerPeersAndNewSeeds(t *testing.T) {
	h := NewHelloTargets("self:1", []string{"dead-1:1", "self:1", "dead-2:1", "dead-3:1"})
	h.Remember("former:1")
	h.Remember("caller:1")
	got := helloRounds(h, 6)
	for _, want := range []string{"dead-1:1", "dead-2:1", "dead-3:1", "former:1", "caller:1"} {
		if !slices.Contains(got, want) {
			t.Errorf("no hello to %s in %v", want, got)
		}
	}
	if slices.Contains(got, "self:1") {
		t.Error("hello to this VM")
	}
	h.SetSeeds([]string{"new:1"})
	h.lastRound = 0
	got = helloRounds(h, 6)
	if !slices.Contains(got, "new:1") || slices.Contains(got, "dead-1:1") {
		t.Errorf("hellos after new seeds: %v", got)
	}
	if !slices.Contains(got, "former:1") {
		t.Error("new seeds displaced the former peer")
	}
}

// TestHellosAreBounded guards against memory and traffic that grow with the number of VMs that were
// ever known.
func TestHellosAreBounded(t *testing.T) {
	h := NewHelloTargets("self:1", []string{"a:1", "b:1", "c:1"})
	for i := range 10 * maxFormerPeers {
		h.Remember(fmt.Sprint("peer-", i, ":1"))
		h.Remember(fmt.Sprint("peer-", i, ":1"))
	}
	if len(h.former) != maxFormerPeers {
		t.Errorf("%d former peers kept", len(h.former))
	}
	if newest := fmt.Sprint("peer-", 10*maxFormerPeers-1, ":1"); !slices.Contains(h.former, newest) {
		t.Errorf("%s was evicted before older ones", newest)
	}
	now := clock.Instant(time.Second)
	reached := map[string]bool{}
	for range maxFormerPeers {
		now = now.Add(aloneHelloInterval)
		round := h.Next(now, true)
		if len(round) > maxHellosPerRound {
			t.Fatalf("%d hellos in one round", len(round))
		}
		for _, address := range round {
			reached[address] = true
		}
	}
	if len(reached) != maxFormerPeers+3 {
		t.Errorf("hellos to %d addresses in %d rounds", len(reached), maxFormerPeers)
	}
}

// TestHelloIntervals guards against a flood of hellos, and against parts of the fleet that stop
// looking for each other once they found any VM.
func TestHelloIntervals(t *testing.T) {
	h := NewHelloTargets("self:1", []string{"a:1"})
	rounds := map[bool]int{}
	for _, alone := range []bool{true, false} {
		for now := clock.Instant(time.Minute); now < clock.Instant(70*time.Second); now = now.Add(10 * time.Millisecond) {
			if len(h.Next(now, alone)) > 0 {
				rounds[alone]++
			}
		}
		h.lastRound = 0
	}
	if want := int(10 * time.Second / aloneHelloInterval); rounds[true] < want || rounds[true] > want+1 {
		t.Errorf("%d rounds in ten seconds alone, want %d", rounds[true], want)
	}
	if want := int(10 * time.Second / reseedInterval); rounds[false] != want {
		t.Errorf("%d rounds in ten seconds with reachable VMs, want %d", rounds[false], want)
	}
}
