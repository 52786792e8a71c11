package control

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// TestG9NeverReverts injects random combinations of faults. It guards against a process in
// which a revision in force decreases or an invalid pair comes into force, and against
// processes that do not have the newest revisions in force after the faults have ended
// (guarantee G9).
func TestG9NeverReverts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "zones"))
		s.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		s.duplicateRate = rapid.Float64Range(0, 0.3).Draw(t, "duplicate")
		s.delay = time.Duration(rapid.IntRange(1, 1500).Draw(t, "delay_ms")) * time.Millisecond
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			s.injectFault(t)
			s.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause_ms")) * time.Millisecond)
			if s.violation != nil {
				t.Fatal(s.violation)
			}
		}
		s.endFaults()
		if _, ok := s.runUntil(3*time.Minute, s.allUpToDate); !ok {
			t.Fatalf("newest revisions are not in force everywhere after the faults ended:\n%s", s.describeOutdated())
		}
		if s.violation != nil {
			t.Fatal(s.violation)
		}
	})
}

// injectFault applies one random fault or its end, or publishes a new revision.
func (s *simulation) injectFault(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{
		"pair", "routes", "bad", "list", "badlist", "outage", "recover", "stale", "current", "split", "join", "pause", "resume", "stop", "start",
	}).Draw(t, "action") {
	case "pair":
		s.publishPair()
	case "routes":
		s.publish(configuration.Routes, string(s.platform.values[configuration.Pools].Data))
	case "bad":
		s.publish(configuration.Routes, "bad")
	case "list":
		s.publishList(rapid.IntRange(1, len(s.nodes)).Draw(t, "list"))
	case "badlist":
		s.publish(configuration.VMs, "bad")
	case "outage":
		s.setPlatformDown(true)
	case "recover":
		s.setPlatformDown(false)
	case "stale":
		s.platform.staleValues = maps.Clone(s.platform.values)
	case "current":
		s.platform.staleValues = nil
		s.retryWatches()
	case "split":
		border := rapid.IntRange(1, len(s.nodes)).Draw(t, "border")
		s.linkDown = func(a, b *node) bool { return (a.index < border) != (b.index < border) }
	case "join":
		s.linkDown = func(_, _ *node) bool { return false }
	case "pause":
		n.paused = true
	case "resume":
		s.resume(n)
	case "stop":
		n.stopped = true
	case "start":
		s.start(n)
	}
}

// endFaults ends all faults and publishes a valid configuration.
func (s *simulation) endFaults() {
	s.lossRate, s.duplicateRate, s.delay = 0, 0, 20*time.Millisecond
	s.linkDown = func(_, _ *node) bool { return false }
	s.platform.staleValues = nil
	s.setPlatformDown(false)
	for _, n := range s.nodes {
		switch {
		case n.stopped:
			s.start(n)
		case n.paused:
			s.resume(n)
		}
	}
	s.publishList(len(s.nodes))
	s.publishPair()
}

// TestG9RestartUnderStalePlatform guards against a restarted process that adopts an old
// revision from a platform that serves stale data while a peer has a newer one (guarantee
// G9).
func TestG9RestartUnderStalePlatform(t *testing.T) {
	t.Parallel()
	s := newSimulation(20261204, 8, 3)
	s.run(20 * time.Second)
	old := maps.Clone(s.platform.values)
	s.publishPair()
	if _, ok := s.runUntil(10*time.Second, s.allUpToDate); !ok {
		t.Fatal("the new pair is not in force everywhere")
	}
	s.platform.staleValues = old
	want := s.platform.values[configuration.Routes].Revision
	s.onCheck = func(n *node) {
		if got := n.inForce[configuration.Routes]; got != 0 && got < want {
			t.Errorf("%s: revision %d is in force after a restart, peers have %d", n.name, got, want)
		}
	}
	for _, interval := range []time.Duration{4 * time.Second, 8 * time.Second} {
		for _, n := range s.nodes {
			s.start(n)
			s.run(interval)
		}
		if _, ok := s.runUntil(10*time.Second, s.allUpToDate); !ok {
			t.Fatalf("restarted processes do not have the revisions of their peers:\n%s", s.describeOutdated())
		}
	}
}

// TestG9RestartDuringOutage guards against a process that starts while the platform is down
// and does not get the values in force from its peers (guarantee G9).
func TestG9RestartDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSimulation(20261204, 8, 3)
	s.run(20 * time.Second)
	s.setPlatformDown(true)
	s.run(time.Minute)
	s.start(s.nodes[3])
	if took, ok := s.runUntil(15*time.Second, s.allUpToDate); !ok {
		t.Fatalf("values are not in force everywhere after the restart:\n%s", s.describeOutdated())
	} else {
		t.Logf("in force %v after the restart", took)
	}
}

// TestInForceWithinSeconds checks that a published pair is in force everywhere within 15 s
// with 330 members and within 5 s with 8, at 2% message loss and inter-region delays.
func TestInForceWithinSeconds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		members, zones, changes int
		limit                   time.Duration
	}{{8, 4, 20, 5 * time.Second}, {330, 6, 4, 15 * time.Second}} {
		t.Run(fmt.Sprint(c.members), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(20261204, c.members, c.zones)
			s.lossRate = 0.02
			s.delay = 150 * time.Millisecond
			s.run(15 * time.Second)
			var slowest time.Duration
			for range c.changes {
				s.publishPair()
				took, ok := s.runUntil(c.limit, s.allUpToDate)
				if !ok {
					t.Fatalf("not in force everywhere within %v:\n%s", c.limit, s.describeOutdated())
				}
				slowest = max(slowest, took)
				s.run(3 * time.Second)
			}
			t.Logf("slowest of %d changes: %v", c.changes, slowest)
		})
	}
}

// TestBrokenLinkCausesNoFalseSuspicion guards against a member that is suspected or
// declared unreachable because a single other member cannot reach it. With message loss it
// may be suspected, but not declared unreachable.
func TestBrokenLinkCausesNoFalseSuspicion(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		loss    float64
		members int
		oneWay  bool
		worst   membership.Status
	}{
		{"lossless", 0, 8, false, membership.Alive},
		{"one way", 0, 8, true, membership.Alive},
		{"lossy", 0.03, 40, false, membership.Suspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(20261204, c.members, 4)
			s.lossRate = c.loss
			s.linkDown = func(a, b *node) bool {
				return (a.index == 1 && b.index == 2) || (!c.oneWay && a.index == 2 && b.index == 1)
			}
			for range 300 {
				s.run(time.Second)
				for status := c.worst + 1; status <= membership.Unreachable; status++ {
					if got := s.countStatus(status); got != 0 {
						t.Fatalf("%d members seen as %v at %v", got, status, s.now)
					}
				}
			}
		})
	}
}

// TestResumedProcessIgnoresStaleMessages guards against a process that, after a pause, takes
// decisions, declares members unreachable or adopts stale responses before it has completed
// a round trip to a peer. Messages from before the resume are buffered and delivered then.
func TestResumedProcessIgnoresStaleMessages(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{5 * time.Second, time.Minute, 20 * time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			s := newSimulation(20261204, 8, 4)
			s.run(90 * time.Second)
			n := s.nodes[0]
			if !n.core.MayDecide(s.clock(n)) {
				t.Fatal("MayDecide is false for a healthy process")
			}
			n.paused = true
			s.run(pause / 3)
			s.publishPair()
			old := maps.Clone(s.platform.values)
			s.run(pause / 3)
			s.publishPair()
			s.run(pause / 3)
			// After the resume, the network of the process stays down for a while. It receives
			// only buffered messages and responses of a platform that serves stale data.
			s.linkDown = func(a, b *node) bool { return a == n || b == n }
			s.platform.staleValues = old
			before := maps.Clone(n.inForce)
			s.onAction = func(actor *node, action Action) {
				if actor != n {
					return
				}
				switch action := action.(type) {
				case Fetch:
					t.Errorf("fetches %s revision %d because of a stale message", action.Name, action.Revision)
				case Send:
					if exchange, ok := action.Message.(Exchange); ok {
						t.Errorf("sends an exchange to %s", exchange.To)
					}
				}
			}
			s.resume(n)
			for range 40 {
				s.run(100 * time.Millisecond)
				if n.core.MayDecide(s.clock(n)) {
					t.Fatal("MayDecide is true before a round trip to a peer")
				}
				for _, state := range n.core.membership.Members() {
					if state.Status == membership.Unreachable {
						t.Fatalf("declares %s unreachable based on stale state", state.Name)
					}
				}
				if !maps.Equal(before, n.inForce) {
					t.Fatalf("adopted stale revisions: %v in force, before %v", n.inForce, before)
				}
			}
			s.onAction = func(*node, Action) {}
			s.platform.staleValues = nil
			s.linkDown = func(_, _ *node) bool { return false }
			s.setPlatformDown(false)
			took, ok := s.runUntil(30*time.Second, func() bool { return n.core.MayDecide(s.clock(n)) })
			if !ok {
				t.Fatal("MayDecide is still false after the network was restored")
			}
			if !s.allUpToDate() {
				t.Fatal("MayDecide is true before the newest revisions are in force")
			}
			t.Logf("MayDecide is true %v after the network was restored", took)
		})
	}
}

// TestHealedPartitionCausesNoMessageStorm guards against a burst of messages when many
// processes start or a partition heals, and against slow recovery and false detections of
// unreachable members after it heals.
func TestHealedPartitionCausesNoMessageStorm(t *testing.T) {
	t.Parallel()
	// Per second: one probe with three indirect probes, the responses to those of others,
	// twelve startup queries, and a push of each of three values with its fetch.
	const limit = 40
	for _, members := range []int{8, 120} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(20261204, members, 4)
			s.run(30 * time.Second)
			atStart := s.maxSent
			s.maxSent = 0
			s.run(30 * time.Second)
			steady := s.maxSent
			half := members / 2
			s.linkDown = func(a, b *node) bool { return (a.index < half) != (b.index < half) }
			s.run(2 * time.Minute)
			if s.countStatus(membership.Unreachable) == 0 {
				t.Fatal("the partition was not detected")
			}
			s.publishPair()
			s.maxSent = 0
			s.linkDown = func(_, _ *node) bool { return false }
			sameSide := func(a, b *node) bool { return (a.index < half) == (b.index < half) }
			falselyUnreachable, pairs := 0, members*(half-1)
			took, ok := s.runUntil(2*time.Minute, func() bool {
				falselyUnreachable = max(falselyUnreachable, s.countPairs(membership.Unreachable, sameSide))
				return s.countStatus(membership.Unreachable) == 0 && s.allUpToDate()
			})
			if !ok {
				t.Fatalf("%d pairs are still unreachable", s.countStatus(membership.Unreachable))
			}
			s.run(10 * time.Second)
			t.Logf("maximum messages per member and second: %d at the start, %d in steady state, %d after the partition; recovered after %v; "+
				"at most %d of %d pairs on the same side unreachable meanwhile", atStart, steady, s.maxSent, took, falselyUnreachable, pairs)
			if falselyUnreachable > pairs/100 {
				t.Errorf("%d of %d pairs on the same side became unreachable after the partition healed", falselyUnreachable, pairs)
			}
			if worst := max(atStart, steady, s.maxSent); worst > limit {
				t.Errorf("one member sent %d messages in one second, limit %d", worst, limit)
			}
		})
	}
}

// TestPlatformReadsStayUnderLimit checks that 330 members stay below the platform's limit of
// 2,000 reads per second when they start simultaneously, during an outage and after it. All
// reads count.
func TestPlatformReadsStayUnderLimit(t *testing.T) {
	t.Parallel()
	const limit = 2000
	s := newSimulation(20261204, 330, 6)
	s.run(20 * time.Second)
	s.setPlatformDown(true)
	s.run(time.Minute)
	s.setPlatformDown(false)
	s.publishPair()
	s.run(40 * time.Second)
	worst, total := 0, 0
	for _, reads := range s.platform.readsPerSecond {
		worst = max(worst, reads)
		total += reads
	}
	t.Logf("at most %d reads in one second, %d in 120 s", worst, total)
	if worst >= limit {
		t.Errorf("%d reads in one second reach the limit", worst)
	}
	if !s.allUpToDate() {
		t.Error("newest revisions are not in force everywhere after the outage")
	}
}

// TestTrafficIsConstantInFleetSize guards against a message rate per member that grows with
// the fleet size.
func TestTrafficIsConstantInFleetSize(t *testing.T) {
	t.Parallel()
	messagesPerMember := func(members int) float64 {
		s := newSimulation(20261204, members, 4)
		s.run(20 * time.Second)
		s.maxSent = 0
		sent := 0
		for range 10 {
			s.run(999 * time.Millisecond)
			for _, n := range s.nodes {
				sent += n.sent
			}
			s.run(time.Millisecond)
		}
		return float64(sent) / float64(members) / 10
	}
	small, large := messagesPerMember(8), messagesPerMember(200)
	t.Logf("%.2f messages per member and second at 8 members, %.2f at 200", small, large)
	if large > small*1.1 {
		t.Error("messages per member grow with the fleet size")
	}
}
