package fleet

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// aloneHelloInterval is the time between two rounds of hellos while no other VM is reachable.
	aloneHelloInterval = 150 * time.Millisecond
	// reseedInterval is the time between two rounds afterwards, by which parts of the fleet that
	// have removed each other from their directories find each other again.
	reseedInterval = 5 * time.Second
	// maxHellosPerRound bounds the hellos of a round. It is the number of seeds that settings
	// contain at most, so that other addresses add no traffic.
	maxHellosPerRound = 3
	// maxFormerPeers bounds the addresses that are kept beyond the directory. All of them are
	// tried within ten seconds while no VM is reachable.
	maxFormerPeers = 64
)

// HelloTargets decides when and to which addresses a VM sends hellos, which request the
// directory of another VM. Seeds alone are not enough: they may all be dead or out of date. It
// also tries VMs that have left the directory, and VMs that sent a hello.
//
// HelloTargets is deterministic and not safe for concurrent use. Invariants:
//   - a round has at most maxHellosPerRound addresses, and none is that of this VM;
//   - every seed and every former peer gets its turn, and neither group waits for the other.
type HelloTargets struct {
	self  string
	seeds []string
	// former are the addresses of former peers and callers, the least recently seen first.
	former     []string
	nextSeed   int
	nextFormer int
	lastRound  clock.Instant
}

// NewHelloTargets returns the targets of the VM with the given address.
func NewHelloTargets(self string, seeds []string) *HelloTargets {
	h := &HelloTargets{self: self}
	h.SetSeeds(seeds)
	return h
}

// SetSeeds replaces the seeds.
func (h *HelloTargets) SetSeeds(seeds []string) {
	h.seeds, h.nextSeed = nil, 0
	for _, seed := range seeds {
		if seed != "" && seed != h.self && !slices.Contains(h.seeds, seed) {
			h.seeds = append(h.seeds, seed)
		}
	}
}

// SeedCount returns the number of seeds other than this VM.
func (h *HelloTargets) SeedCount() int { return len(h.seeds) }

// Remember adds the address of a VM that left the directory or sent a hello. The address that was
// added least recently is removed if there are too many.
func (h *HelloTargets) Remember(address string) {
	if address == "" || address == h.self {
		return
	}
	if i := slices.Index(h.former, address); i >= 0 {
		h.former = slices.Delete(h.former, i, i+1)
		if i < h.nextFormer {
			h.nextFormer--
		}
	}
	if len(h.former) == maxFormerPeers {
		h.former = slices.Delete(h.former, 0, 1)
		h.nextFormer = max(h.nextFormer-1, 0)
	}
	h.former = append(h.former, address)
}

// Next returns the addresses for hellos that are due, or none. Former peers share each round with
// the seeds: one place of it, or as many as the seeds leave.
func (h *HelloTargets) Next(now clock.Instant, alone bool) []string {
	interval := reseedInterval
	if alone {
		interval = aloneHelloInterval
	}
	if h.lastRound != 0 && now.Sub(h.lastRound) < interval {
		return nil
	}
	h.lastRound = now
	forSeeds := maxHellosPerRound
	if len(h.former) > 0 {
		forSeeds--
	}
	var out []string
	for range min(forSeeds, len(h.seeds)) {
		h.nextSeed %= len(h.seeds)
		out = append(out, h.seeds[h.nextSeed])
		h.nextSeed++
	}
	for range min(maxHellosPerRound-len(out), len(h.former)) {
		h.nextFormer %= len(h.former)
		if address := h.former[h.nextFormer]; !slices.Contains(out, address) {
			out = append(out, address)
		}
		h.nextFormer++
	}
	return out
}
