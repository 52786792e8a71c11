package keeper

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runRandomFaults runs a simulation with up to 60 random faults, list changes and sends.
func runRandomFaults(t *rapid.T) *simulation {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 9, rapid.IntRange(5, 8).Draw(t, "published"))
	sim.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss")
	sim.runFor(time.Second)
	pick := rapid.IntRange(0, len(sim.vms)-1)
	keys := 0
	var key Key
	for range rapid.IntRange(5, 60).Draw(t, "operations") {
		v := sim.vms[pick.Draw(t, "vm")]
		switch rapid.IntRange(0, 14).Draw(t, "operation") {
		case 0, 1:
			keys++
			key = ClaimKey("w", "r", fmt.Sprint(keys))
			fallthrough
		case 2, 3, 4:
			// A resend after the retention counts as a new request.
			if v.up && keys > 0 && (sim.firstSentAt[key] == 0 || sim.now.Sub(sim.firstSentAt[key]) < simRetention-2*simDeadline) {
				sim.sendRequest(v, key)
			}
		case 5:
			if v.up {
				sim.addSlotLease(v, "cold")
			}
		case 6, 7:
			sim.restartVM(v, rapid.IntRange(0, 300).Draw(t, "down"))
		case 8, 9:
			sim.replaceVMs(rapid.IntRange(1, 4).Draw(t, "replaced"))
		case 10:
			mask := rapid.IntRange(0, 1<<len(sim.vms)-1).Draw(t, "sides")
			for i, v := range sim.vms {
				sim.partition[v.name] = mask >> i & 1
			}
		case 11:
			clear(sim.partition)
		case 12:
			// Two members restart around a claim, and the key is sent again through another VM.
			keys++
			key = ClaimKey("w", "r", fmt.Sprint(keys))
			if v.up {
				sim.sendRequest(v, key)
			}
			sim.runFor(simStep * time.Duration(rapid.IntRange(0, 6).Draw(t, "until restart")))
			for range 2 {
				sim.restartVM(sim.vms[pick.Draw(t, "vm")], rapid.IntRange(0, 3).Draw(t, "down"))
			}
			sim.runFor(simStep * time.Duration(rapid.IntRange(0, 40).Draw(t, "until resend")))
			if other := sim.vms[pick.Draw(t, "vm")]; other.up {
				sim.sendRequest(other, key)
			}
		case 13, 14:
			// The list changes and changes back; some VMs receive only the last revision.
			before := sim.lists[len(sim.lists)-1]
			sim.replaceVMs(rapid.IntRange(2, 4).Draw(t, "replaced"))
			sim.runFor(simStep * time.Duration(rapid.IntRange(0, 100).Draw(t, "until back")))
			sim.lists = append(sim.lists, NewVMList(uint64(len(sim.lists)+1), before.vms))
			sim.distributeNewestList()
		}
		sim.runFor(time.Duration(rapid.SampledFrom([]int{0, 5, 30, 30, 200, 1500}).Draw(t, "pause")) * time.Millisecond)
	}
	return sim
}

func (sim *simulation) runFor(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
	}
}

// restartVM crashes a VM and starts it without records, provided that fewer than two
// others may lack votes. If a majority of a group loses its votes, claims are safe
// only after the retention.
func (sim *simulation) restartVM(v *simVM, downSteps int) {
	if sim.mayRestart(v) {
		sim.crashVM(v)
		v.restarts++
		sim.schedule(time.Duration(downSteps)*simStep, func() { sim.startVM(v) })
	}
}

func (sim *simulation) mayRestart(v *simVM) bool {
	count := 0
	for _, other := range sim.vms {
		if other != v && sim.mayLackVotes(other) {
			count++
		}
	}
	return v.up && count < 2
}

// replaceVMs publishes a list with some VMs replaced. The removed VMs keep running.
func (sim *simulation) replaceVMs(replaced int) {
	current := sim.lists[len(sim.lists)-1]
	var listed, unlisted []*simVM
	for _, v := range sim.vms {
		if current.Contains(v.name) {
			listed = append(listed, v)
		} else {
			unlisted = append(unlisted, v)
		}
	}
	sim.random.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	replaced = min(replaced, len(unlisted))
	sim.publishList(append(listed[min(replaced, len(listed)-3):], unlisted[:replaced]...))
}

func (sim *simulation) reportFailures(t *rapid.T) {
	for _, failure := range sim.failures {
		t.Error(failure)
	}
}

// TestAtMostOnce guards against two runs of one key, a refusal that reports not_run for
// a request that ran, a resend that gets a different result than the first send, and a
// lease slot with two holders.
func TestAtMostOnce(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := runRandomFaults(t)
		sim.runFor(3 * time.Second)
		for reply, count := range sim.replyCounts {
			totals[reply] += count
		}
		sim.reportFailures(t)
	})
	t.Log("replies:", totals)
}

// TestClaimSucceedsWithMajority guards against a group that stays inactive although
// a majority of it is up, connected and has the newest list.
func TestClaimSucceedsWithMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := runRandomFaults(t)
		clear(sim.partition)
		sim.lossRate = 0
		sim.runFor(simRetention + 2*simListLag)
		group := sim.view(sim.vms[0], sim.claimShard).Group
		majority := View{Group: group}.Majority()
		for _, name := range group[majority:] {
			sim.crashVM(sim.vmNamed(name))
		}
		sim.runFor(time.Second)
		s := sim.sendRequest(sim.vmNamed(group[0]), ClaimKey("w", "r", "after"))
		sim.runFor(2 * simDeadline)
		if d := s.proposer.Decision(); d != DecisionMayRun {
			for _, v := range sim.vms {
				t.Logf("%s up=%v %+v", v.name, v.up, v.member.shards[sim.claimShard])
			}
			t.Errorf("decision is %v with %d of %v up, want DecisionMayRun", d, majority, group)
		}
		sim.reportFailures(t)
	})
}

// TestAnyMessageOrder guards against two majorities for one key when messages, restarts
// and list changes interleave in any order. There are no delays: each step delivers,
// duplicates or drops any undelivered message.
func TestAnyMessageOrder(t *testing.T) {
	decided := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 7, 5)
		sim.runFor(2 * time.Second)
		sim.unordered = true
		if rapid.Bool().Draw(t, "change") {
			sim.publishRandomList()
		}
		restarts := rapid.IntRange(0, 3).Draw(t, "restarts")
		key := ClaimKey("w", "r", "k")
		for range 2 {
			sim.sendRequest(sim.vms[sim.random.IntN(len(sim.vms))], key)
		}
		for range rapid.IntRange(100, 500).Draw(t, "steps") {
			sim.unorderedStep(key, &restarts)
		}
		decided += sim.runCounts[key]
		sim.reportFailures(t)
	})
	t.Log("runs with a majority:", decided)
}

// publishRandomList publishes five of the seven VMs: at random or, in one of three
// cases, the initial five.
func (sim *simulation) publishRandomList() {
	vms := slices.Clone(sim.vms)
	if sim.random.IntN(3) > 0 {
		sim.random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	}
	sim.publishList(vms[:5])
}

func (sim *simulation) unorderedStep(key Key, restarts *int) {
	v := sim.vms[sim.random.IntN(len(sim.vms))]
	switch n := sim.random.IntN(100); {
	case n < 70 && len(sim.undelivered) > 0:
		i := sim.random.IntN(len(sim.undelivered))
		deliver := sim.undelivered[i]
		if sim.random.IntN(10) > 0 {
			sim.undelivered = slices.Delete(sim.undelivered, i, i+1)
		}
		if sim.random.IntN(10) > 0 {
			deliver()
		}
	case n < 88:
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(30)) * time.Millisecond)
		sim.tickVM(v)
	case n < 92:
		sim.applyList(v, min(v.listIndex+1+sim.random.IntN(2), len(sim.lists)-1))
	case n < 94 && *restarts > 0:
		*restarts--
		if sim.mayRestart(v) {
			sim.crashVM(v)
			sim.startVM(v)
		}
	case n < 95 && len(sim.lists) < 5:
		sim.publishRandomList()
	case n < 97 && sim.runCounts[key] > 0:
		// The critical case is a resend after the first send got a majority.
		sim.sendRequest(v, key)
	}
}
