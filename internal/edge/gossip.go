package edge

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// Timing of membership among the VMs of one region.
const (
	probePeriod    = 400 * time.Millisecond
	directTimeout  = 120 * time.Millisecond
	probeTimeout   = 350 * time.Millisecond
	suspicionTime  = 800 * time.Millisecond
	pauseBound     = 1200 * time.Millisecond
	gossipTick     = 50 * time.Millisecond
	helloInterval  = 500 * time.Millisecond
	reseedInterval = 5 * time.Second
	// directoryEntries bounds the entries of one datagram, which must fit into a packet.
	directoryEntries = 8
	// maxDatagram is the size of the receive buffer.
	maxDatagram = 8 << 10
)

// gossip finds the other VMs and keeps track of which are reachable.
type gossip struct {
	now    func() clock.Instant
	logger *zap.Logger
	conn   *net.UDPConn
	port   int
	seeds  []string
	// changed is called when the directory or a status changed, and claimed when only what
	// VMs own or whether they leave did.
	changed func()
	claimed func()

	mu      sync.Mutex
	machine *membership.Machine
	roster  *fleet.Directory
	version uint64
	// claims is the version of the directory as it was last reported.
	claims    uint64
	lastHello clock.Instant
	lastDoubt clock.Instant
	alone     bool
}

func newGossip(s *Settings, now func() clock.Instant, logger *zap.Logger, changed, claimed func()) (*gossip, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(s.IP), Port: s.GossipPort})
	if err != nil {
		return nil, errors.Wrap(err, "listen for membership")
	}
	started := uint64(time.Now().UnixMilli())
	self := fleet.Entry{Name: s.VM, Zone: s.Zone, Address: s.PeerListen, Started: started, Capacity: s.Capacity}
	machine := membership.New(now(), membership.Options{
		Self: s.VM, Incarnation: membership.NewIncarnation(started), Seed: started,
		ProbeInterval: probePeriod, DirectTimeout: directTimeout, ProbeTimeout: probeTimeout,
		SuspicionTimeout: suspicionTime, PauseThreshold: pauseBound,
	})
	return &gossip{
		now: now, logger: logger, conn: conn, port: s.GossipPort, seeds: s.Seeds, changed: changed, claimed: claimed,
		machine: machine, roster: fleet.New(now(), self), alone: true,
	}, nil
}

// run exchanges messages until the context ends.
func (g *gossip) run(ctx context.Context) {
	go g.receive()
	ticker := time.NewTicker(gossipTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = g.conn.Close()
			return
		case <-ticker.C:
			g.tick()
		}
	}
}

func (g *gossip) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.logger.Warn("membership receive failed", obs.Reason(err))
			pause(context.Background(), gossipTick)
			continue
		}
		var datagram hoistv1.Datagram
		if err := proto.Unmarshal(buffer[:n], &datagram); err != nil {
			g.logger.Warn("membership datagram ignored", zap.Stringer("from", from), obs.Reason(err))
			continue
		}
		g.handle(&datagram, from)
	}
}

func (g *gossip) handle(datagram *hoistv1.Datagram, from *net.UDPAddr) {
	now := g.now()
	g.mu.Lock()
	entries := make([]fleet.Entry, 0, len(datagram.GetDirectory()))
	for _, e := range datagram.GetDirectory() {
		entries = append(entries, toEntry(e))
	}
	if len(entries) > 0 {
		// The sender's own entry comes first.
		g.roster.MarkResponsive(entries[0].Name)
	}
	if g.roster.Merge(now, entries) {
		g.machine.SetMembers(now, g.roster.Members())
	}
	var out []membership.Message
	if p := datagram.GetProbe(); p != nil {
		out = append(out, g.machine.Receive(now, peer.ToProbe(g.roster.Self().Name, p))...)
	}
	if a := datagram.GetAck(); a != nil {
		out = append(out, g.machine.Receive(now, peer.ToAck(g.roster.Self().Name, a))...)
	}
	g.mu.Unlock()
	g.send(out)
	if datagram.GetHello() {
		g.write(&hoistv1.Datagram{}, from)
	}
	g.notify()
}

func (g *gossip) tick() {
	now := g.now()
	g.mu.Lock()
	out := g.machine.Tick(now)
	if g.roster.UpdateReachability(now, g.machine.Members()) {
		g.machine.SetMembers(now, g.roster.Members())
	}
	g.mu.Unlock()
	g.send(out)
	g.hello(now)
	g.sendHelloToUnresponsive(now)
	g.notify()
}

// hello asks the seeds for their directory, often while no other VM is reachable, and
// sometimes afterwards, so that parts of the fleet that forgot each other meet again.
func (g *gossip) hello(now clock.Instant) {
	g.mu.Lock()
	interval := reseedInterval
	if len(g.roster.Reachable(now)) == 0 {
		interval = helloInterval
	}
	due := g.lastHello == 0 || now.Sub(g.lastHello) >= interval
	if due {
		g.lastHello = now
	}
	own := g.roster.Self().Address
	g.mu.Unlock()
	if !due {
		return
	}
	for _, seed := range g.seeds {
		if seed != own {
			g.write(&hoistv1.Datagram{Hello: true}, g.gossipAddress(seed))
		}
	}
}

// gossipAddress returns where the VM with the peer address receives datagrams, or nil.
func (g *gossip) gossipAddress(address string) *net.UDPAddr {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return &net.UDPAddr{IP: net.ParseIP(host), Port: g.port}
}

func (g *gossip) send(messages []membership.Message) {
	for _, message := range messages {
		datagram := &hoistv1.Datagram{}
		var to string
		switch m := message.(type) {
		case membership.Probe:
			to, datagram.Probe = m.To, peer.FromProbe(m)
		case membership.Ack:
			to, datagram.Ack = m.To, peer.FromAck(m)
		}
		g.mu.Lock()
		entry, ok := g.roster.Entry(to)
		g.mu.Unlock()
		if ok {
			g.write(datagram, g.gossipAddress(entry.Address))
		}
	}
}

// write adds part of the directory and sends the datagram. Loss is normal for datagrams,
// so a failure is only counted by the membership machine.
func (g *gossip) write(datagram *hoistv1.Datagram, to *net.UDPAddr) {
	if to == nil || to.IP == nil {
		return
	}
	g.mu.Lock()
	for _, e := range g.roster.EntriesForMessage(g.now(), directoryEntries) {
		datagram.Directory = append(datagram.Directory, fromEntry(e))
	}
	g.mu.Unlock()
	data, err := proto.Marshal(datagram)
	if err != nil {
		g.logger.Error("membership datagram not encoded", obs.Reason(err))
		return
	}
	if _, err := g.conn.WriteToUDP(data, to); err != nil {
		g.logger.Debug("membership datagram not sent", zap.Stringer("to", to), obs.Reason(err))
	}
}

// notify reports a change of the directory or of a status.
func (g *gossip) notify() {
	g.mu.Lock()
	version, claims := g.machine.Version(), g.roster.Version()
	changed, claimsChanged := version != g.version, claims != g.claims
	g.version, g.claims = version, claims
	alone := len(g.roster.Reachable(g.now())) == 0
	lost := alone != g.alone
	g.alone = alone
	size := g.roster.Size()
	var states []membership.MemberState
	if changed {
		states = g.machine.Members()
	}
	g.mu.Unlock()
	if lost {
		g.logger.Info("peers", zap.Bool("alone", alone), zap.Int("known", size))
	}
	if claimsChanged && !changed {
		g.claimed()
	}
	if !changed {
		return
	}
	unreachable := make([]string, 0, len(states))
	for _, s := range states {
		if s.Status == membership.Unreachable {
			unreachable = append(unreachable, s.Name)
		}
	}
	g.logger.Info("membership changed", zap.Int("known", size), zap.Strings("unreachable", unreachable))
	g.changed()
}

// leave tells the others that this VM shuts down.
func (g *gossip) leave() {
	g.mu.Lock()
	g.roster.Leave()
	g.mu.Unlock()
	g.announce()
}

// announce sends this VM's entry to all others, which would learn of it in some seconds
// otherwise.
func (g *gossip) announce() {
	for _, entry := range g.reachable() {
		g.write(&hoistv1.Datagram{}, g.gossipAddress(entry.Address))
	}
}

func (g *gossip) reachable() []fleet.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Reachable(g.now())
}

// names returns the VMs that may be running, this one included.
func (g *gossip) names() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []string{g.roster.Self().Name}
	for _, m := range g.roster.Members() {
		out = append(out, m.Name)
	}
	return out
}

// portOf joins an IP with a port.
func portOf(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
