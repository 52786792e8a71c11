package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const tickInterval = 50 * time.Millisecond

// cluster delivers messages between machines without delay.
type cluster struct {
	now      clock.Instant
	machines map[string]*Machine
	names    []string
	stopped  map[string]bool
	blocked  func(from, to string) bool
	sent     int
}

func newCluster(n int) *cluster {
	c := &cluster{machines: map[string]*Machine{}, stopped: map[string]bool{}}
	var list []Member
	for i := range n {
		list = append(list, Member{Name: fmt.Sprintf("vm-%03d", i), Zone: "z", Address: "a"})
	}
	for i, entry := range list {
		m := New(c.now, Options{Self: entry.Name, Incarnation: NewIncarnation(1000), Seed: uint64(i)})
		m.SetMembers(c.now, list)
		c.names = append(c.names, entry.Name)
		c.machines[entry.Name] = m
	}
	return c
}

func (c *cluster) deliver(messages []Message) {
	for _, message := range messages {
		c.sent++
		from, to := "", ""
		switch m := message.(type) {
		case Probe:
			from, to = m.From, m.To
		case Ack:
			from, to = m.From, m.To
		}
		if c.stopped[to] || (c.blocked != nil && c.blocked(from, to)) {
			continue
		}
		c.deliver(c.machines[to].Receive(c.now, message))
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		for _, name := range c.names {
			if !c.stopped[name] {
				c.deliver(c.machines[name].Tick(c.now))
			}
		}
	}
}

// count returns how many running machines see the VM with the status.
func (c *cluster) count(vm string, status Status) int {
	n := 0
	for _, name := range c.names {
		if state, ok := c.machines[name].Member(vm); ok && !c.stopped[name] && state.Status == status {
			n++
		}
	}
	return n
}

// TestDeadMemberBecomesUnreachableEverywhere guards against a failure that is detected
// only by the members that happen to probe the dead one.
func TestDeadMemberBecomesUnreachableEverywhere(t *testing.T) {
	c := newCluster(8)
	c.run(10 * time.Second)
	c.stopped["vm-003"] = true
	c.run(20 * time.Second)
	if got := c.count("vm-003", Unreachable); got != 7 {
		t.Fatalf("%d of 7 members see the dead member as unreachable", got)
	}
	for _, name := range c.names {
		if name != "vm-003" && c.count(name, Alive) != 6 {
			t.Errorf("%s is seen as alive by %d of 6 members", name, c.count(name, Alive))
		}
	}
}

// TestRestartedMemberReturns guards against a restarted process that inherits the
// unreachable status of its predecessor, even if the wall clock was set back.
func TestRestartedMemberReturns(t *testing.T) {
	c := newCluster(8)
	c.run(10 * time.Second)
	c.stopped["vm-003"] = true
	c.run(30 * time.Second)
	list := make([]Member, 0, len(c.names))
	for _, name := range c.names {
		list = append(list, Member{Name: name, Zone: "z", Address: "a"})
	}
	c.stopped["vm-003"] = false
	c.machines["vm-003"] = New(c.now, Options{Self: "vm-003", Incarnation: NewIncarnation(10), Seed: 99})
	c.machines["vm-003"].SetMembers(c.now, list)
	c.run(10 * time.Second)
	if got := c.count("vm-003", Alive); got != 7 {
		t.Fatalf("%d of 7 members see the restarted member as alive", got)
	}
	if got := c.machines["vm-003"].Incarnation().ProcessStart(); got <= 1000 {
		t.Fatalf("the restarted process has start %d, not later than its predecessor's", got)
	}
}

// TestPauseSuspendsDecisions guards against a process that resumes from a pause and acts
// on stale state, or declares all members unreachable, before it has heard from a peer.
func TestPauseSuspendsDecisions(t *testing.T) {
	c := newCluster(8)
	c.run(10 * time.Second)
	m := c.machines["vm-000"]
	if m.CatchingUp() {
		t.Fatal("still catching up after ten probe intervals")
	}
	c.stopped["vm-000"] = true
	c.run(60 * time.Second)
	c.blocked = func(from, to string) bool { return from == "vm-000" || to == "vm-000" }
	c.stopped["vm-000"] = false
	c.run(5 * time.Second)
	if !m.CatchingUp() {
		t.Fatal("not catching up after a pause without a round trip")
	}
	for _, state := range m.Members() {
		if state.Status == Unreachable {
			t.Errorf("%s declared unreachable while catching up", state.Name)
		}
	}
	c.blocked = nil
	c.run(3 * time.Second)
	if m.CatchingUp() {
		t.Fatal("still catching up after completed round trips")
	}
}

// TestSetMembersAddsAndRemoves guards against state of members that are no longer listed.
func TestSetMembersAddsAndRemoves(t *testing.T) {
	c := newCluster(4)
	c.run(5 * time.Second)
	m := c.machines["vm-000"]
	m.SetMembers(c.now, []Member{{Name: "vm-000"}, {Name: "vm-001"}, {Name: "vm-009"}})
	if _, ok := m.Member("vm-002"); ok {
		t.Error("a removed member is still known")
	}
	if state, ok := m.Member("vm-009"); !ok || state.Status != Alive {
		t.Errorf("an added member has status %v, known: %v", state.Status, ok)
	}
	for range 200 {
		c.now = c.now.Add(tickInterval)
		for _, message := range m.Tick(c.now) {
			if p, ok := message.(Probe); ok && p.To == "vm-002" {
				t.Fatal("a removed member is probed")
			}
		}
	}
}

// TestTrafficIsConstantInFleetSize guards against a message rate per member that grows
// with the fleet.
func TestTrafficIsConstantInFleetSize(t *testing.T) {
	perMember := func(n int) float64 {
		c := newCluster(n)
		c.run(2 * time.Second)
		c.sent = 0
		c.run(20 * time.Second)
		return float64(c.sent) / float64(n) / 20
	}
	small, large := perMember(8), perMember(120)
	if large > small*1.05 {
		t.Fatalf("%.2f messages/s per member with 120 members, %.2f with 8", large, small)
	}
}

// TestSingleBrokenLinkCausesNoSuspicion guards against suspicions by a member that
// cannot reach another one which all others reach.
func TestSingleBrokenLinkCausesNoSuspicion(t *testing.T) {
	c := newCluster(8)
	c.blocked = func(from, to string) bool {
		return (from == "vm-001" && to == "vm-002") || (from == "vm-002" && to == "vm-001")
	}
	for range 120 {
		c.run(time.Second)
		for _, name := range c.names {
			if got := c.count(name, Alive); got != 7 {
				t.Fatalf("%s is seen as alive by %d of 7 members", name, got)
			}
		}
	}
}

// TestRepeatedSuspicionsAreDamped guards against a member with a bad connection that
// alternates between unreachable and alive.
func TestRepeatedSuspicionsAreDamped(t *testing.T) {
	c := newCluster(8)
	c.run(10 * time.Second)
	var unreachable []int
	for range 6 {
		c.blocked = func(from, to string) bool { return from == "vm-003" || to == "vm-003" }
		worst := 0
		for range 9 {
			c.run(time.Second)
			worst = max(worst, c.count("vm-003", Unreachable))
		}
		unreachable = append(unreachable, worst)
		c.blocked = nil
		c.run(5 * time.Second)
	}
	if unreachable[0] == 0 {
		t.Error("the first interruption was not detected, so the test is not meaningful")
	}
	if last := unreachable[len(unreachable)-1]; last != 0 {
		t.Errorf("number of members that saw it as unreachable, per interruption: %v", unreachable)
	}
}
