// Package control implements the control plane of one agent. It combines membership, the
// configuration in force and the gossiped reports on warmth and suspects.
//
// A Core is deterministic: its behaviour depends only on the time, the events and the seed
// passed to it. It is not safe for concurrent use.
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

// Core is the control plane state of one agent.
type Core struct {
	options       Options
	membership    *membership.Machine
	configuration *configuration.Machine
	reports       *gossip.Store

	// listRevision is the revision of the VM list that membership uses, which may be
	// provisional; vms is its content.
	listRevision uint64
	vms          []table.VM
	nearbyZones  map[string]bool

	pauses         uint64
	memberVersion  uint64
	reportsVersion uint64
	// awaitingAck is set from the resume after a pause until a probe round trip has
	// completed.
	awaitingAck    bool
	nextExchangeAt clock.Instant
	random         *rand.Rand
	// startupQueryIndex is the position in vms of the last startup query, the next of which
	// is due at nextStartupQueryAt.
	nextStartupQueryAt clock.Instant
	startupQueryIndex  int
}

// New returns a Core without members and configuration.
func New(now clock.Instant, options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options:        options,
		membership:     membership.New(now, options.Membership),
		configuration:  configuration.New(now, options.Configuration),
		reports:        gossip.NewStore(),
		nearbyZones:    map[string]bool{options.Zone: true},
		nextExchangeAt: now.Add(exchangeInterval),
		random:         rand.New(rand.NewPCG(options.Seed, 3)),
	}
}

// Tick advances time and returns the actions that are due. Call it at least ten times per
// second.
func (c *Core) Tick(now clock.Instant) []Action {
	messages := c.membership.Tick(now)
	c.handlePause(now)
	actions := c.addGossip(now, messages, nil)
	c.reports.Tick(now)
	actions = c.handleConfigurationActions(now, c.configuration.Tick(now), actions)
	actions = c.sendWarmth(now, actions)
	actions = c.sendStartupQueries(now, actions)
	return c.reportChanges(now, actions)
}

// Receive handles a message from a peer. Transit is the round-trip time for a response. It
// is ignored for a request, whose transit time is not known.
func (c *Core) Receive(now clock.Instant, message Message, transit time.Duration) []Action {
	var actions []Action
	switch m := message.(type) {
	case Probe:
		messages := c.membership.Receive(now, m.Probe)
		c.handlePause(now)
		actions = c.mergeGossip(now, configuration.Peer{Name: m.From, Address: m.Address}, m.Gossip, maxTransit, !c.awaitingAck, nil)
		actions = c.addGossip(now, messages, actions)
	case Ack:
		messages := c.membership.Receive(now, m.Ack)
		c.handlePause(now)
		c.awaitingAck = c.awaitingAck && c.membership.CatchingUp()
		actions = c.mergeGossip(now, c.peer(m.From), m.Gossip, transit, !c.awaitingAck, nil)
		actions = c.addGossip(now, messages, actions)
	case Exchange:
		c.detectPause(now)
		actions = c.mergeGossip(now, configuration.Peer{Name: m.From, Address: m.Address}, m.Gossip, maxTransit, !c.awaitingAck, nil)
		actions = append(actions, Reply{ExchangeReply{From: c.options.Self, To: m.From, Gossip: c.newGossip(now, m.From)}})
	case ExchangeReply:
		c.detectPause(now)
		actions = c.mergeGossip(now, c.peer(m.From), m.Gossip, transit, !c.awaitingAck, nil)
	}
	return c.reportChanges(now, actions)
}

// HandleReadResult handles the result of a Read.
func (c *Core) HandleReadResult(now clock.Instant, result configuration.ReadResult) []Action {
	c.detectPause(now)
	return c.reportChanges(now, c.handleConfigurationActions(now, c.configuration.HandleReadResult(now, result), nil))
}

// HandleFetchResult handles the result of a Fetch.
func (c *Core) HandleFetchResult(now clock.Instant, result configuration.FetchResult) []Action {
	c.detectPause(now)
	return c.reportChanges(now, c.handleConfigurationActions(now, c.configuration.HandleFetchResult(now, result), nil))
}

// Report records the observations of the local gateway.
func (c *Core) Report(now clock.Instant, warmth []gossip.Warmth, suspects []gossip.Suspect) []Action {
	c.detectPause(now)
	c.reports.RecordLocalWarmth(now, warmth)
	c.reports.MergeSuspects(now, suspects)
	return c.reportChanges(now, nil)
}

// Lookup returns the given revision of a value if this agent has it. It serves fetches of
// peers.
func (c *Core) Lookup(name configuration.Name, revision uint64) (configuration.Value, bool) {
	return c.configuration.Lookup(name, revision)
}

// detectPause checks whether the process was paused. It is called before events that
// membership does not handle itself.
func (c *Core) detectPause(now clock.Instant) {
	c.membership.DetectPause(now)
	c.handlePause(now)
}

// handlePause resets the configuration if membership has detected a pause. Results of
// earlier calls are dropped. Advertisements of peers are ignored until a probe round trip
// has completed, since messages may have been buffered during the pause.
func (c *Core) handlePause(now clock.Instant) {
	if c.pauses == c.membership.Pauses() {
		return
	}
	c.pauses = c.membership.Pauses()
	c.awaitingAck = c.membership.CatchingUp()
	c.configuration.HandlePause(now)
}

// mergeGossip merges the gossip of a peer. It ignores the advertisements unless the message
// is current, that is, not possibly from before a pause.
func (c *Core) mergeGossip(now clock.Instant, peer configuration.Peer, g Gossip, transit time.Duration, current bool, actions []Action) []Action {
	c.reports.MergeWarmth(now, g.Warmth, transit)
	c.reports.MergeSuspects(now, g.Suspects[:min(len(g.Suspects), gossip.MaxSuspectsPerMessage)])
	if !current {
		return actions
	}
	advertisements := g.Advertisements[:min(len(g.Advertisements), maxAdvertisements)]
	return c.handleConfigurationActions(now, c.configuration.HandleAdvertisements(now, peer, advertisements, transit), actions)
}

// handleConfigurationActions converts the actions of configuration to actions of the Core.
func (c *Core) handleConfigurationActions(now clock.Instant, requested []configuration.Action, actions []Action) []Action {
	for _, action := range requested {
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

// addGossip converts the messages of membership to actions and adds gossip to them.
func (c *Core) addGossip(now clock.Instant, messages []membership.Message, actions []Action) []Action {
	for _, message := range messages {
		switch m := message.(type) {
		case membership.Probe:
			probe := Probe{Probe: m, Address: c.options.Address, Gossip: c.newGossip(now, m.To)}
			actions = append(actions, Send{To: c.peer(m.To), Message: probe})
		case membership.Ack:
			actions = append(actions, Reply{Ack{Ack: m, Gossip: c.newGossip(now, m.To)}})
		}
	}
	return actions
}

func (c *Core) newGossip(now clock.Instant, to string) Gossip {
	g := Gossip{Advertisements: c.configuration.Advertisements(now), Suspects: c.reports.TakeSuspects(now)}
	if state, ok := c.membership.Member(to); ok && c.nearbyZones[state.Zone] {
		g.Warmth = c.reports.TakeWarmth(now)
	}
	return g
}

// sendWarmth sends an exchange with warmth to a random member in the nearby zones, if there
// are pending reports.
func (c *Core) sendWarmth(now clock.Instant, actions []Action) []Action {
	if now.Before(c.nextExchangeAt) {
		return actions
	}
	c.nextExchangeAt = now.Add(exchangeInterval)
	if !c.reports.HasPending() {
		return actions
	}
	targets := c.membership.Pick(1, func(s membership.MemberState) bool {
		return s.Status == membership.Alive && c.nearbyZones[s.Zone]
	})
	for _, member := range targets {
		actions = append(actions, c.newExchange(now, member.Name))
	}
	return actions
}

// sendStartupQueries sends exchanges to the members in turn, from a random start, until the
// bootstrap of the configuration is done. A restarted process thus learns the values in
// force at its peers within a round trip, not only with the next probe.
func (c *Core) sendStartupQueries(now clock.Instant, actions []Action) []Action {
	if c.configuration.BootstrapDone() || c.awaitingAck || now.Before(c.nextStartupQueryAt) {
		return actions
	}
	c.nextStartupQueryAt = now.Add(startupQueryInterval)
	if c.startupQueryIndex == 0 && len(c.vms) > 0 {
		c.startupQueryIndex = c.random.IntN(len(c.vms))
	}
	for scanned, sent := 0, 0; scanned < len(c.vms) && sent < startupQueryFanout; scanned++ {
		c.startupQueryIndex = (c.startupQueryIndex + 1) % len(c.vms)
		if name := c.vms[c.startupQueryIndex].Name; name != c.options.Self {
			actions = append(actions, c.newExchange(now, name))
			sent++
		}
	}
	return actions
}

func (c *Core) newExchange(now clock.Instant, to string) Action {
	exchange := Exchange{From: c.options.Self, To: to, Address: c.options.Address, Gossip: c.newGossip(now, to)}
	return Send{To: c.peer(to), Message: exchange}
}

func (c *Core) peer(name string) configuration.Peer {
	state, _ := c.membership.Member(name)
	return configuration.Peer{Name: name, Address: state.Address}
}

// reportChanges applies a new VM list and new member statuses, and appends a notification
// of what has changed.
func (c *Core) reportChanges(now clock.Instant, actions []Action) []Action {
	var change Change
	c.updateVMList(now)
	if c.memberVersion != c.membership.Version() {
		c.memberVersion = c.membership.Version()
		change |= ChangedMembers
		actions = c.handleConfigurationActions(now, c.configuration.SetMembers(now, c.configurationMembers()), actions)
		c.updateVMList(now)
	}
	if c.reportsVersion != c.reports.Version() {
		c.reportsVersion = c.reports.Version()
		change |= ChangedReports
	}
	if change != 0 {
		actions = append(actions, Changed{change})
	}
	return actions
}

// updateVMList passes a new VM list to membership.
func (c *Core) updateVMList(now clock.Instant) {
	value := c.configuration.VMList()
	if value.Revision == c.listRevision {
		return
	}
	list, err := c.options.DecodeList(value.Data)
	if err != nil {
		return
	}
	c.listRevision = value.Revision
	c.vms = list
	members := make([]membership.Member, 0, len(list))
	for _, vm := range list {
		members = append(members, membership.Member{Name: vm.Name, Zone: vm.Zone, Address: vm.AgentAddress})
	}
	c.membership.SetMembers(now, members)
	c.reports.SetMemberCount(len(list))
	c.nearbyZones = findNearbyZones(c.options.Zone, list)
}

func (c *Core) configurationMembers() []configuration.Member {
	members := make([]configuration.Member, 0, len(c.vms))
	for _, vm := range c.vms {
		state, known := c.membership.Member(vm.Name)
		members = append(members, configuration.Member{
			Name: vm.Name, Zone: vm.Zone, Live: vm.State == table.VMLive,
			Reachable: !known || state.Status != membership.Unreachable,
		})
	}
	return members
}

// findNearbyZones returns the VM's own zone and the otherNearbyZoneCount zones that follow
// it in alphabetical order, wrapping around. Zones of one region usually have names with a
// common prefix.
func findNearbyZones(own string, list []table.VM) map[string]bool {
	var zones []string
	for _, vm := range list {
		zones = append(zones, vm.Zone)
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	index, found := slices.BinarySearch(zones, own)
	if !found {
		zones = slices.Insert(zones, index, own)
	}
	nearby := map[string]bool{}
	for i := range min(otherNearbyZoneCount+1, len(zones)) {
		nearby[zones[(index+i)%len(zones)]] = true
	}
	return nearby
}
