package resume

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// modelOutage is the gap in ms beyond which a VM records that it may have missed versions, and modelStay the
	// least time in ms that a version stays.
	modelOutage = 2000
	modelStay   = 2001
	// modelLateness is how old the tables of a VM that answers may be, in ms.
	modelLateness = 1750
)

// modelPool is a pool over time: the versions and when each joined and left, in ms.
type modelPool []struct {
	version      string
	joined, left int
}

func drawPool(t *rapid.T) modelPool {
	pool := modelPool{{version: "v1", joined: 0, left: 1 << 30}}
	if rapid.Bool().Draw(t, "first version leaves") {
		pool[0].left = rapid.IntRange(modelStay, 12000).Draw(t, "left")
	}
	for _, version := range []string{"v2", "v3"} {
		joined := rapid.IntRange(0, 10000).Draw(t, "joined")
		pool = append(pool, pool[0])
		last := &pool[len(pool)-1]
		last.version, last.joined, last.left = version, joined, joined+rapid.IntRange(modelStay, 8000).Draw(t, "stay")
	}
	return pool
}

// versionsAt returns the versions that have upstreams.
func (p modelPool) versionsAt(ms int) map[Origin]bool {
	present := map[Origin]bool{}
	for _, v := range p {
		if v.joined <= ms && ms < v.left {
			present[Origin{Pool: "p", Version: v.version}] = true
		}
	}
	return present
}

// modelVM is a VM whose tables may be of any age: it is cut off, stands still, or has just started.
type modelVM struct {
	history   History
	currentAt int
}

// refresh gives the VM at an instant the tables as they were at an earlier one.
func (vm *modelVM) refresh(pool modelPool, now, currentAt int) {
	if vm.currentAt > 0 && now-vm.currentAt > modelOutage {
		vm.history.Interrupt(at(now))
	}
	if currentAt >= vm.currentAt {
		vm.currentAt = currentAt
		vm.history.Observe(at(now), pool.versionsAt(currentAt))
	}
}

// run refreshes the tables of the VM from one instant to another.
func (vm *modelVM) run(t *rapid.T, pool modelPool, from, to int) {
	for now := from; ; {
		now += rapid.OneOf(rapid.IntRange(1, 700), rapid.IntRange(1, 4000)).Draw(t, "time to the next tables")
		if now > to {
			return
		}
		vm.refresh(pool, now, max(now-rapid.IntRange(0, 1500).Draw(t, "age"), 1))
	}
}

// TestStreamsAreNeverJoined guards against a stream that goes on at another version than the one that began
// it: versions join and leave while VMs are cut off, stand still and start anew, and any VM that the others
// may or may not reach is asked to resume a stream without a record.
func TestStreamsAreNeverJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := drawPool(t)
		resumed := rapid.IntRange(500, 14000).Draw(t, "resumed")
		within := rapid.IntRange(1, 6000).Draw(t, "within")
		begun := max(resumed-rapid.IntRange(0, within).Draw(t, "age of the stream"), 1)
		present := pool.versionsAt(begun)
		var candidates []string
		for _, v := range pool {
			if present[Origin{Pool: "p", Version: v.version}] {
				candidates = append(candidates, v.version)
			}
		}
		if len(candidates) == 0 {
			t.Skip("no upstream")
		}
		truth := rapid.SampledFrom(candidates).Draw(t, "version")

		vms := make([]modelVM, 3)
		var answer Answer
		for i := range vms {
			start := max(rapid.IntRange(-8000, resumed).Draw(t, "start"), 0)
			vms[i].run(t, pool, start, resumed)
			if i == 0 || rapid.Bool().Draw(t, "reachable") {
				answer = answer.Merge(vms[i].history.Find("p", at(resumed-within), at(resumed-modelLateness), at(vms[i].currentAt)))
			}
		}
		own := &vms[0]
		c := Confirmation{ResumedAt: at(resumed), Lateness: modelLateness * time.Millisecond, AskedAt: at(resumed), Asked: own.history.Versions("p", at(resumed))}
		if !answer.Known() && rapid.Bool().Draw(t, "caches are asked") {
			for version := range c.Asked {
				// The engine that began the stream caches its prompt, and others of its session may.
				if version.Version == truth || rapid.Bool().Draw(t, "cached") {
					answer = answer.Merge(Answer{Certainty: Cached, Origin: version})
				}
			}
			if !c.Asked[Origin{Pool: "p", Version: truth}] && !pool.versionsAt(resumed)[Origin{Pool: "p", Version: truth}] {
				t.Skip("the version that began the stream has left, and its engines cannot be asked")
			}
		}
		own.run(t, pool, resumed, resumed+2000)
		if got := own.history.Confirm(answer, c, at(own.currentAt)); got.Known() && got.Origin.Version != truth {
			t.Errorf("%v for a stream that began at %s, by the answer %v", got, truth, answer)
		}
	})
}

// TestConfirm guards against the refusal of streams that the tables confirm, and against answers that they
// cannot confirm.
func TestConfirm(t *testing.T) {
	v1, v2 := Origin{Pool: "p", Version: "v1"}, Origin{Pool: "p", Version: "v2"}
	var h History
	h.Observe(at(1), map[Origin]bool{v1: true})
	c := Confirmation{ResumedAt: at(9000), Lateness: time.Second, AskedAt: at(9000), Asked: map[Origin]bool{v1: true}}
	sole, cached, recorded := Answer{Sole, v1}, Answer{Cached, v1}, Answer{Recorded, v2}
	steps := []struct {
		name      string
		currentAt clock.Instant
		expected  []Answer
	}{
		{"old tables", at(8999), []Answer{{}, {}, recorded}},
		{"current tables", at(9000), []Answer{sole, cached, recorded}},
	}
	for _, step := range steps {
		for i, answer := range []Answer{sole, cached, recorded} {
			if got := h.Confirm(answer, c, step.currentAt); got != step.expected[i] {
				t.Errorf("%s: %v becomes %v, expected %v", step.name, answer, got, step.expected[i])
			}
		}
	}
	h.Observe(at(9100), map[Origin]bool{v1: true, v2: true})
	if got := h.Confirm(sole, c, at(9100)); got.Certainty != Mixed {
		t.Errorf("another version has joined: %v", got)
	}
	if got := h.Confirm(cached, c, at(9100)); got.Known() {
		t.Errorf("engines of another version were not asked: %v", got)
	}
}
