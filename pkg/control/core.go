// Package control composes the control path of one agent: membership, configuration
// in force and gossiped evidence, behind a few calls.
//
// A Core is deterministic: time, events and the seed determine everything it does.
// It is not safe for concurrent use.
package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/gossip"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Core is the control state of one agent.
type Core struct {
	options       Options
	membership    *membership.Machine
	configuration *configuration.Machine
	evidence      *gossip.Store

	// listRevision is the revision of the list that membership uses, which may be
	// provisional; list is its content.
	listRevision uint64
	list         []table.VM
	neighbours   map[string]bool

	pauses          uint64
	memberVersion   uint64
	evidenceVersion uint64
	// resumed is set from the end of a pause until a probe round trip has completed.
	resumed      bool
	nextExchange clock.Instant
	random       *rand.Rand
	// nextAsk and asked are the schedule and the position of questions at the start.
	nextAsk clock.Instant
	asked   int
}

// New returns a Core that knows nothing.
func New(now clock.Instant, options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:       options,
		membership:    membership.New(now, options.Membership),
		configuration: configuration.New(now, options.Configuration),
		evidence:      gossip.NewStore(),
		neighbours:    map[string]bool{options.Zone: true},
		nextExchange:  now.Add(exchangePeriod),
		random:        rand.New(rand.NewPCG(options.Seed, 3)),
	}
}

// Tick advances time. Call it at least ten times per second.
func (c *Core) Tick(now clock.Instant) []Action {
	messages := c.membership.Tick(now)
	c.notePause(now)
	actions := c.wrap(now, messages, nil)
	c.evidence.Tick(now)
	actions = c.configure(now, c.configuration.Tick(now), actions)
	actions = c.exchange(now, actions)
	actions = c.ask(now, actions)
	return c.changes(now, actions)
}

// Receive handles a message of a peer. Transit is the round trip time of an answer
// and 0 for a request, whose age is not known.
func (c *Core) Receive(now clock.Instant, message Message, transit time.Duration) []Action {
	var actions []Action
	switch m := message.(type) {
	case Probe:
		messages := c.membership.Receive(now, m.Probe)
		c.notePause(now)
		actions = c.hear(now, configuration.Peer{Name: m.From, Address: m.Address}, m.Gossip, transitBound, !c.resumed, nil)
		actions = c.wrap(now, messages, actions)
	case Ack:
		messages := c.membership.Receive(now, m.Ack)
		c.notePause(now)
		c.resumed = c.resumed && c.membership.CatchingUp()
		actions = c.hear(now, c.peer(m.From), m.Gossip, transit, !c.resumed, nil)
		actions = c.wrap(now, messages, actions)
	case Exchange:
		c.catchUp(now)
		actions = c.hear(now, configuration.Peer{Name: m.From, Address: m.Address}, m.Gossip, transitBound, !c.resumed, nil)
		actions = append(actions, Reply{ExchangeReply{From: c.options.Self, To: m.From, Gossip: c.gossip(now, m.From)}})
	case ExchangeReply:
		c.catchUp(now)
		actions = c.hear(now, c.peer(m.From), m.Gossip, transit, !c.resumed, nil)
	}
	return c.changes(now, actions)
}

// ReadDone takes over the result of a Read.
func (c *Core) ReadDone(now clock.Instant, result configuration.ReadResult) []Action {
	c.catchUp(now)
	return c.changes(now, c.configure(now, c.configuration.ReadDone(now, result), nil))
}

// FetchDone takes over the result of a Fetch.
func (c *Core) FetchDone(now clock.Instant, result configuration.FetchResult) []Action {
	c.catchUp(now)
	return c.changes(now, c.configure(now, c.configuration.FetchDone(now, result), nil))
}

// Report takes over what the own gateway observed.
func (c *Core) Report(now clock.Instant, warmth []gossip.Warmth, suspects []gossip.Suspect) []Action {
	c.catchUp(now)
	c.evidence.RecordLocalWarmth(now, warmth)
	c.evidence.MergeSuspects(now, suspects)
	return c.changes(now, nil)
}

// Held returns a revision for a peer that fetches it.
func (c *Core) Held(name configuration.Name, revision uint64) (configuration.Value, bool) {
	return c.configuration.Held(name, revision)
}

// catchUp lets membership notice a pause that ended before an event of another kind.
func (c *Core) catchUp(now clock.Instant) {
	c.membership.DetectPause(now)
	c.notePause(now)
}

// notePause passes on a pause. Results of calls from before it are dropped, and peers
// are not heard until a probe round trip has completed, since their messages may have
// waited in buffers during the pause.
func (c *Core) notePause(now clock.Instant) {
	if c.pauses == c.membership.Pauses() {
		return
	}
	c.pauses = c.membership.Pauses()
	c.resumed = c.membership.CatchingUp()
	c.configuration.Paused(now)
}

// hear takes over gossip. Configuration is left out if the message may be from before
// a pause.
func (c *Core) hear(now clock.Instant, peer configuration.Peer, g Gossip, transit time.Duration, current bool, actions []Action) []Action {
	c.evidence.MergeWarmth(now, g.Warmth, transit)
	c.evidence.MergeSuspects(now, g.Suspects[:min(len(g.Suspects), gossip.MaxSuspectsPerMessage)])
	if !current {
		return actions
	}
	statements := g.Statements[:min(len(g.Statements), maxStatements)]
	return c.configure(now, c.configuration.Heard(now, peer, statements, transit), actions)
}

// configure carries out actions of configuration.
func (c *Core) configure(now clock.Instant, done []configuration.Action, actions []Action) []Action {
	for _, action := range done {
		switch action := action.(type) {
		case configuration.Read:
			actions = append(actions, Read{action})
		case configuration.Fetch:
			actions = append(actions, Fetch{action})
		case configuration.Push:
			actions = append(actions, c.newExchange(now, action.To))
		case configuration.Adopted:
			change := ChangedTables
			if action.Name == configuration.VMs {
				change = ChangedList
			}
			actions = append(actions, Changed{change})
		}
	}
	return actions
}

// wrap adds gossip to the messages of membership.
func (c *Core) wrap(now clock.Instant, messages []membership.Message, actions []Action) []Action {
	for _, message := range messages {
		switch m := message.(type) {
		case membership.Probe:
			probe := Probe{Probe: m, Address: c.options.Address, Gossip: c.gossip(now, m.To)}
			actions = append(actions, Send{To: c.peer(m.To), Message: probe})
		case membership.Ack:
			actions = append(actions, Reply{Ack{Ack: m, Gossip: c.gossip(now, m.To)}})
		}
	}
	return actions
}

func (c *Core) gossip(now clock.Instant, to string) Gossip {
	g := Gossip{Statements: c.configuration.Statements(now), Suspects: c.evidence.TakeSuspects(now)}
	if state, ok := c.membership.Member(to); ok && c.neighbours[state.Zone] {
		g.Warmth = c.evidence.TakeWarmth(now)
	}
	return g
}

// exchange sends warmth to a random member of the own or a neighbouring zone. Without
// news it sends nothing.
func (c *Core) exchange(now clock.Instant, actions []Action) []Action {
	if now.Before(c.nextExchange) {
		return actions
	}
	c.nextExchange = now.Add(exchangePeriod)
	if !c.evidence.HasPending() {
		return actions
	}
	picked := c.membership.Pick(1, func(s membership.MemberState) bool {
		return s.Status == membership.Alive && c.neighbours[s.Zone]
	})
	for _, member := range picked {
		actions = append(actions, c.newExchange(now, member.Name))
	}
	return actions
}

// ask sends questions to the members in turn, from a random start, while nothing may come into force, so that
// a restarted process learns within a round trip and not with the next probe.
func (c *Core) ask(now clock.Instant, actions []Action) []Action {
	if c.configuration.Open() || c.resumed || now.Before(c.nextAsk) {
		return actions
	}
	c.nextAsk = now.Add(askPeriod)
	if c.asked == 0 && len(c.list) > 0 {
		c.asked = c.random.IntN(len(c.list))
	}
	for scanned, sent := 0, 0; scanned < len(c.list) && sent < askFanout; scanned++ {
		c.asked = (c.asked + 1) % len(c.list)
		if name := c.list[c.asked].Name; name != c.options.Self {
			actions = append(actions, c.newExchange(now, name))
			sent++
		}
	}
	return actions
}

func (c *Core) newExchange(now clock.Instant, to string) Action {
	exchange := Exchange{From: c.options.Self, To: to, Address: c.options.Address, Gossip: c.gossip(now, to)}
	return Send{To: c.peer(to), Message: exchange}
}

func (c *Core) peer(name string) configuration.Peer {
	state, _ := c.membership.Member(name)
	return configuration.Peer{Name: name, Address: state.Address}
}

// changes takes over a new list and new verdicts, and reports what has changed.
func (c *Core) changes(now clock.Instant, actions []Action) []Action {
	var change Change
	c.useList(now)
	if c.memberVersion != c.membership.Version() {
		c.memberVersion = c.membership.Version()
		change |= ChangedMembers
		actions = c.configure(now, c.configuration.SetMembers(now, c.verdicts()), actions)
		c.useList(now)
	}
	if c.evidenceVersion != c.evidence.Version() {
		c.evidenceVersion = c.evidence.Version()
		change |= ChangedEvidence
	}
	if change != 0 {
		actions = append(actions, Changed{change})
	}
	return actions
}

// useList passes a new list to membership.
func (c *Core) useList(now clock.Instant) {
	value := c.configuration.List()
	if value.Revision == c.listRevision {
		return
	}
	list, err := c.options.DecodeList(value.Data)
	if err != nil {
		return
	}
	c.listRevision = value.Revision
	c.list = list
	members := make([]membership.Member, 0, len(list))
	for _, vm := range list {
		members = append(members, membership.Member{Name: vm.Name, Zone: vm.Zone, Address: vm.AgentAddress})
	}
	c.membership.SetMembers(now, members)
	c.evidence.SetMemberCount(len(list))
	c.neighbours = neighbours(c.options.Zone, list)
}

func (c *Core) verdicts() []configuration.Member {
	members := make([]configuration.Member, 0, len(c.list))
	for _, vm := range c.list {
		state, known := c.membership.Member(vm.Name)
		members = append(members, configuration.Member{
			Name: vm.Name, Zone: vm.Zone, Live: vm.State == table.VMLive,
			Reachable: !known || state.Status != membership.Unreachable,
		})
	}
	return members
}

// neighbours returns the own zone and the next zones in alphabetical order, as a ring.
// Zones of one region usually share the start of their names.
func neighbours(own string, list []table.VM) map[string]bool {
	var zones []string
	for _, vm := range list {
		zones = append(zones, vm.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	at, found := slices.BinarySearch(zones, own)
	if !found {
		zones = slices.Insert(zones, at, own)
	}
	near := map[string]bool{}
	for i := range min(neighbourZones+1, len(zones)) {
		near[zones[(at+i)%len(zones)]] = true
	}
	return near
}
