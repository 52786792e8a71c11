package control

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const simulationTick = 100 * time.Millisecond

// simulation runs several Cores with a simulated network and platform. Time is simulated;
// the clock of each node has a different offset.
type simulation struct {
	now          time.Duration
	random       *rand.Rand
	events       eventQueue
	nextSequence uint64
	nodes        []*node
	byName       map[string]*node
	platform     simulatedPlatform
	zones        int

	lossRate      float64
	duplicateRate float64
	delay         time.Duration
	// linkDown reports whether all messages from one node to the other are lost.
	linkDown func(from, to *node) bool

	// maxSent is the largest number of messages that a node sent in one second.
	maxSent   int
	violation error
	onCheck   func(n *node)
	// onAction is called for every action of a Core.
	onAction func(n *node, action Action)
}

// node is one agent, which may be restarted.
type node struct {
	index       int
	name        string
	zone        string
	core        *Core
	clockOffset time.Duration
	starts      int
	stopped     bool
	paused      bool
	// bufferedEvents are the events that arrived during a pause.
	bufferedEvents []func()
	// inForce are the revisions in force at the last check, since the last start.
	inForce map[configuration.Name]uint64
	// sent is the number of messages sent in the current second.
	sent int
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulatedPlatform is the configuration service. If staleValues is set, it serves these
// instead of values.
type simulatedPlatform struct {
	values         map[configuration.Name]configuration.Value
	staleValues    map[configuration.Name]configuration.Value
	down           bool
	pendingWatches []func()
	// readsPerSecond is the number of reads by second.
	readsPerSecond map[int]int
}

func newSimulation(seed uint64, nodes, zones int) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		byName:   map[string]*node{},
		zones:    zones,
		delay:    20 * time.Millisecond,
		linkDown: func(_, _ *node) bool { return false },
	}
	s.platform.values = map[configuration.Name]configuration.Value{}
	s.platform.readsPerSecond = map[int]int{}
	for i := range nodes {
		n := &node{index: i, name: fmt.Sprintf("vm-%03d", i), zone: fmt.Sprintf("zone-%d", i%zones)}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	s.publishList(nodes)
	s.publish(configuration.Routes, "tag=1")
	s.publish(configuration.Pools, "tag=1")
	for _, n := range s.nodes {
		s.start(n)
		s.schedule(time.Duration(s.random.Int64N(int64(simulationTick))), func() { s.tick(n) })
	}
	s.endSecond()
	return s
}

// testValidation accepts routes and pools with equal contents, so that a table can be
// invalid by itself or in combination with the other one.
var testValidation = configuration.Validation{
	Tables: func(routes, pools []byte) error {
		if bytes.Contains(routes, []byte("bad")) || !bytes.Equal(routes, pools) {
			return errors.New("invalid pair")
		}
		return nil
	},
	VMList: func(data []byte) error {
		if bytes.Contains(data, []byte("bad")) {
			return errors.New("invalid list")
		}
		return nil
	},
}

// decodeList decodes a VM list of the form "zones;count".
func decodeList(data []byte) ([]table.VM, error) {
	var zones, count int
	if _, err := fmt.Sscanf(string(data), "%d;%d", &zones, &count); err != nil {
		return nil, err
	}
	list := make([]table.VM, 0, count)
	for i := range count {
		name := fmt.Sprintf("vm-%03d", i)
		list = append(list, table.VM{Name: name, Zone: fmt.Sprintf("zone-%d", i%zones), AgentAddress: name, State: table.VMLive})
	}
	return list, nil
}

func (s *simulation) publish(name configuration.Name, data string) uint64 {
	value := configuration.NewValue(s.platform.values[name].Revision+1, []byte(data))
	s.platform.values[name] = value
	s.retryWatches()
	return value.Revision
}

func (s *simulation) publishList(count int) uint64 {
	return s.publish(configuration.VMs, fmt.Sprintf("%d;%d", s.zones, count))
}

func (s *simulation) retryWatches() {
	pending := s.platform.pendingWatches
	s.platform.pendingWatches = nil
	for _, retry := range pending {
		retry()
	}
}

// start starts a new process without state.
func (s *simulation) start(n *node) {
	n.starts++
	n.stopped = false
	n.paused = false
	n.bufferedEvents = nil
	n.inForce = map[configuration.Name]uint64{}
	n.clockOffset = time.Duration(s.random.Int64N(int64(1000 * time.Hour)))
	n.core = New(s.clock(n), Options{
		Self: n.name, Zone: n.zone, Address: n.name, Seed: s.random.Uint64(),
		Incarnation: membership.NewIncarnation(uint64(s.now.Milliseconds()) + 1),
		Validation:  testValidation, DecodeList: decodeList,
	})
}

func (s *simulation) clock(n *node) clock.Instant { return clock.Instant(s.now + n.clockOffset) }

func (s *simulation) schedule(d time.Duration, run func()) {
	s.nextSequence++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.nextSequence, run: run})
}

func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil runs until the condition is true and returns the elapsed time, or false if the
// condition is still false after the limit.
func (s *simulation) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	const step = 100 * time.Millisecond
	started := s.now
	for s.now-started <= limit {
		if condition() {
			return s.now - started, true
		}
		s.run(step)
	}
	return 0, false
}

// endSecond updates maxSent and resets the message counts, once per second.
func (s *simulation) endSecond() {
	for _, n := range s.nodes {
		s.maxSent = max(s.maxSent, n.sent)
		n.sent = 0
	}
	s.schedule(time.Second, s.endSecond)
}

func (s *simulation) tick(n *node) {
	s.schedule(simulationTick, func() { s.tick(n) })
	if n.stopped || n.paused {
		return
	}
	s.execute(n, n.core.Tick(s.clock(n)))
}

// deliver runs an event at a node. It buffers the event if the node is paused, and drops it
// if the node has stopped or restarted since.
func (s *simulation) deliver(n *node, start int, run func()) {
	switch {
	case n.stopped || n.starts != start:
	case n.paused:
		n.bufferedEvents = append(n.bufferedEvents, func() { s.deliver(n, start, run) })
	default:
		run()
	}
}

func (s *simulation) resume(n *node) {
	n.paused = false
	buffered := n.bufferedEvents
	n.bufferedEvents = nil
	s.random.Shuffle(len(buffered), func(i, j int) { buffered[i], buffered[j] = buffered[j], buffered[i] })
	for _, run := range buffered {
		run()
	}
}

// transmit sends a message over the network, which may drop, duplicate and reorder
// messages.
func (s *simulation) transmit(from, to *node, onArrival func()) {
	from.sent++
	copies := 1
	if s.random.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.lossRate || s.linkDown(from, to) {
			continue
		}
		delay := s.delay/4 + time.Duration(s.random.Int64N(int64(s.delay)))
		start := to.starts
		s.schedule(delay, func() { s.deliver(to, start, onArrival) })
	}
}

func (s *simulation) execute(n *node, actions []Action) {
	for _, action := range actions {
		if s.onAction != nil {
			s.onAction(n, action)
		}
		switch action := action.(type) {
		case Send:
			if to := s.byName[action.To.Address]; to != nil {
				s.transmit(n, to, func() { s.execute(to, to.core.Receive(s.clock(to), action.Message, 0)) })
			}
		case Reply:
			s.reply(n, action.Message)
		case Read:
			s.read(n, action)
		case Fetch:
			s.fetch(n, action)
		}
	}
	s.checkInvariants(n)
}

func (s *simulation) reply(n *node, message Message) {
	name := ""
	switch m := message.(type) {
	case Ack:
		name = m.To
	case ExchangeReply:
		name = m.To
	}
	if to := s.byName[name]; to != nil {
		s.transmit(n, to, func() { s.execute(to, to.core.Receive(s.clock(to), message, maxTransit)) })
	}
}

func (s *simulation) fetch(n *node, fetch Fetch) {
	from := s.byName[fetch.Peer.Address]
	if from == nil {
		return
	}
	s.transmit(n, from, func() {
		value, held := from.core.Lookup(fetch.Name, fetch.Revision)
		s.transmit(from, n, func() {
			result := configuration.FetchResult{ID: fetch.ID, Failed: !held, Value: value}
			s.execute(n, n.core.HandleFetchResult(s.clock(n), result))
		})
	})
}

// read executes a platform read, which blocks for up to Read.Wait until a newer revision is
// available.
func (s *simulation) read(n *node, read Read) {
	s.platform.readsPerSecond[int(s.now/time.Second)]++
	start := n.starts
	deadline := s.now + read.Wait
	responded := false
	respond := func(result configuration.ReadResult) {
		responded = true
		result.ID = read.ID
		s.schedule(5*time.Millisecond, func() {
			s.deliver(n, start, func() { s.execute(n, n.core.HandleReadResult(s.clock(n), result)) })
		})
	}
	var attempt func()
	attempt = func() {
		if responded {
			return
		}
		values := s.platform.values
		if s.platform.staleValues != nil {
			values = s.platform.staleValues
		}
		value := values[read.Name]
		switch {
		case s.platform.down:
			respond(configuration.ReadResult{Status: configuration.ReadFailed})
		case value.Revision > read.After:
			respond(configuration.ReadResult{Status: configuration.ReadValue, Value: value})
		case s.now >= deadline:
			respond(configuration.ReadResult{Status: configuration.ReadNoNewerValue})
		default:
			s.platform.pendingWatches = append(s.platform.pendingWatches, attempt)
		}
	}
	attempt()
	if !responded {
		s.schedule(read.Wait, attempt)
	}
}

func (s *simulation) setPlatformDown(down bool) {
	s.platform.down = down
	s.retryWatches()
}

// checkInvariants records a violation if a revision in force has decreased within one
// process, or if the pair in force is invalid.
func (s *simulation) checkInvariants(n *node) {
	if s.violation != nil {
		return
	}
	for _, name := range configuration.Names {
		value := n.core.configuration.InForce(name)
		if value.Revision < n.inForce[name] {
			s.violation = fmt.Errorf("%s: revision of %s decreased from %d to %d", n.name, name, n.inForce[name], value.Revision)
		}
		n.inForce[name] = value.Revision
	}
	routes, pools := n.core.configuration.InForce(configuration.Routes), n.core.configuration.InForce(configuration.Pools)
	if (routes.Revision == 0) != (pools.Revision == 0) {
		s.violation = fmt.Errorf("%s: only one table of a pair is in force", n.name)
	}
	if routes.Revision > 0 && testValidation.Tables(routes.Data, pools.Data) != nil {
		s.violation = fmt.Errorf("%s: invalid pair %q and %q is in force", n.name, routes.Data, pools.Data)
	}
	if s.onCheck != nil {
		s.onCheck(n)
	}
}

// publishPair publishes routes and pools that are valid only in combination.
func (s *simulation) publishPair() {
	tag := fmt.Sprintf("tag=%d", s.platform.values[configuration.Routes].Revision+s.platform.values[configuration.Pools].Revision+1)
	s.publish(configuration.Routes, tag)
	s.publish(configuration.Pools, tag)
}

// allUpToDate reports whether the newest published revisions are in force at every node
// that is not stopped.
func (s *simulation) allUpToDate() bool {
	for _, n := range s.nodes {
		if n.stopped {
			continue
		}
		for _, name := range configuration.Names {
			if n.core.configuration.InForce(name).Revision != s.platform.values[name].Revision {
				return false
			}
		}
	}
	return true
}

// countStatus returns the number of pairs of nodes of which the first sees the second with
// the status. Stopped nodes are not counted.
func (s *simulation) countStatus(status membership.Status) int {
	return s.countPairs(status, func(_, _ *node) bool { return true })
}

// countPairs is like countStatus, but counts only pairs that include accepts.
func (s *simulation) countPairs(status membership.Status, include func(a, b *node) bool) int {
	count := 0
	for _, n := range s.nodes {
		for _, state := range n.core.membership.Members() {
			other := s.byName[state.Name]
			if !n.stopped && !other.stopped && state.Status == status && include(n, other) {
				count++
			}
		}
	}
	return count
}

// describeOutdated lists the nodes at which the newest revisions are not in force.
func (s *simulation) describeOutdated() string {
	newest := map[configuration.Name]uint64{}
	for name, value := range s.platform.values {
		newest[name] = value.Revision
	}
	var out strings.Builder
	for _, n := range s.nodes {
		if maps.Equal(n.inForce, newest) {
			continue
		}
		fmt.Fprintf(&out, "%s stopped=%v paused=%v in force %v, rejected %+v\n",
			n.name, n.stopped, n.paused, n.inForce, n.core.configuration.Rejections())
	}
	return out.String()
}
