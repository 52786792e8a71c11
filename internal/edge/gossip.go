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
	"github.com/hornbeamhoist/hornbeamhoist/pkg/ingress"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// Timing of the membership protocol among the VMs of one region.
const (
	probeInterval    = 400 * time.Millisecond
	directTimeout    = 120 * time.Millisecond
	probeTimeout     = 350 * time.Millisecond
	suspicionTimeout = 800 * time.Millisecond
	pauseThreshold   = 1200 * time.Millisecond
	gossipInterval   = 50 * time.Millisecond
	// reportDelayPerVM is how long changes of the membership are collected, for each VM of the fleet,
	// since the work that follows grows with the fleet.
	reportDelayPerVM = 500 * time.Microsecond
	// maxDatagramEntries bounds the directory entries of a datagram, which must fit into one
	// packet.
	maxDatagramEntries = 8
	// maxSourceDatagrams bounds the datagrams of one address that are handled in a second. A VM that
	// sends its whole directory sends up to maxSyncDatagrams.
	maxSourceDatagrams = 500
	// maxDatagramBytes is the size of the receive buffer, which cuts longer datagrams.
	maxDatagramBytes = 8 << 10
)

// gossip discovers the other VMs and tracks which of them are reachable.
type gossip struct {
	now     func() clock.Instant
	logger  *zap.Logger
	contain *containment
	parts   *partGuard
	conn    *net.UDPConn
	port    int
	// onMembershipChange is called when the members or their status changed, and onClaimChange
	// when only the directory did, such as the pools that VMs own or whether they are leaving.
	onMembershipChange func()
	onClaimChange      func()
	// onSizeChange is called when a divisor of limits changed.
	onSizeChange func()
	// onOrigins is called with the origins of streams that another VM sent.
	onOrigins func([]*hoistv1.StreamOrigin)

	mu         sync.Mutex
	membership *membership.Machine
	directory  *fleet.Directory
	// membershipVersion and directoryVersion are the versions at the last call of reportChanges.
	membershipVersion     uint64
	directoryVersion      uint64
	lastUnresponsiveCheck clock.Instant
	lastReport            clock.Instant
	// alone is set while no other VM is reachable.
	alone         bool
	directorySync directorySync
	// hellos decides where hellos are sent, and sizes by how many VMs limits are divided.
	hellos *fleet.HelloTargets
	sizes  *fleet.SizeBound
	// reportedSize is the size at the last call of reportSize.
	reportedSize fleetSize
}

func newGossip(s *Settings, now func() clock.Instant, logger *zap.Logger, contain *containment, parts *partGuard, onMembershipChange, onClaimChange func()) (*gossip, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(s.IP), Port: s.GossipPort})
	if err != nil {
		return nil, errors.Wrap(err, "listen for membership")
	}
	started := uint64(time.Now().UnixMilli())
	self := fleet.Entry{Name: s.VM, Zone: s.Zone, Address: s.PeerListen, Started: started, Capacity: s.Capacity, LinkMbps: s.LinkMbps, TableFormat: fleet.TableFormat}
	machine := membership.New(now(), membership.Options{
		Self: s.VM, Incarnation: membership.NewIncarnation(started), Seed: started,
		ProbeInterval: probeInterval, DirectTimeout: directTimeout, ProbeTimeout: probeTimeout,
		SuspicionTimeout: suspicionTimeout, PauseThreshold: pauseThreshold,
	})
	g := &gossip{
		now: now, logger: logger, contain: contain, parts: parts, conn: conn, port: s.GossipPort, onMembershipChange: onMembershipChange, onClaimChange: onClaimChange, onSizeChange: func() {}, onOrigins: func([]*hoistv1.StreamOrigin) {},
		membership: machine, directory: fleet.New(now(), self), alone: true,
		hellos: fleet.NewHelloTargets(s.PeerListen, s.Seeds), sizes: fleet.NewSizeBound(now()),
	}
	g.sizes.Configure(s.SeedLag, g.hellos.SeedCount())
	return g, nil
}

// run sends and receives membership messages until the context ends.
func (g *gossip) run(ctx context.Context) {
	go g.receive()
	ticker := time.NewTicker(gossipInterval)
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
	buffer := make([]byte, maxDatagramBytes)
	sources := ingress.NewSources(maxSourceDatagrams)
	for {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.logger.Warn("failed to receive a membership datagram", obs.ErrorField(err))
			sleep(context.Background(), gossipInterval)
			continue
		}
		if !sources.Allow(g.now(), from.AddrPort().Addr().Unmap()) {
			g.contain.metrics.ignoredDatagrams.WithLabelValues("rate").Inc()
			continue
		}
		var datagram hoistv1.Datagram
		if err := proto.Unmarshal(buffer[:n], &datagram); err != nil {
			g.contain.metrics.ignoredDatagrams.WithLabelValues("malformed").Inc()
			g.logger.Warn("malformed membership datagram ignored", zap.Stringer("from", from), obs.ErrorField(err))
			continue
		}
		g.contain.run("membership datagram", func() { g.handleDatagram(&datagram, from) })
	}
}

func (g *gossip) handleDatagram(datagram *hoistv1.Datagram, from *net.UDPAddr) {
	g.parts.mergeBlocks(datagram.GetBlocks())
	g.onOrigins(datagram.GetOrigins())
	g.sendMessages(g.applyDatagram(datagram))
	if datagram.GetHello() {
		g.rememberCaller(datagram)
		g.answerHello(datagram, from)
	}
	g.reportChanges()
}

// applyDatagram applies a datagram to the directory and the membership machine, and returns the
// messages to send.
func (g *gossip) applyDatagram(datagram *hoistv1.Datagram) []membership.Message {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	entries := make([]fleet.Entry, 0, len(datagram.GetDirectory()))
	for _, e := range datagram.GetDirectory() {
		entries = append(entries, entryFromProto(e))
	}
	if len(entries) > 0 {
		// The sender's own entry comes first.
		g.directory.MarkResponsive(entries[0].Name)
	}
	if g.directory.Merge(now, entries) {
		g.membership.SetMembers(now, g.directory.Members())
		g.directorySync.grownAt = now
	}
	var out []membership.Message
	if p := datagram.GetProbe(); p != nil {
		out = append(out, g.membership.Receive(now, peer.ToMembershipProbe(g.directory.Self().Name, p))...)
	}
	if a := datagram.GetAck(); a != nil {
		out = append(out, g.membership.Receive(now, peer.ToMembershipAck(g.directory.Self().Name, a))...)
	}
	return out
}

func (g *gossip) tick() {
	now := g.now()
	g.mu.Lock()
	out := g.membership.Tick(now)
	if g.directory.UpdateReachability(now, g.membership.Members()) {
		g.membership.SetMembers(now, g.directory.Members())
		for _, address := range g.directory.TakeDropped() {
			g.hellos.Remember(address)
		}
	}
	g.mu.Unlock()
	g.sendMessages(out)
	g.sendHellos(now)
	g.compareDirectories(now)
	g.sendHelloToUnresponsive(now)
	g.reportChanges()
	g.reportSize()
}

// sendHellos requests the directory of other VMs.
func (g *gossip) sendHellos(now clock.Instant) {
	g.mu.Lock()
	targets := g.hellos.Next(now, g.directory.IsAlone(now))
	g.mu.Unlock()
	for _, address := range targets {
		g.writeDatagram(g.newHello(), g.gossipAddress(address))
	}
}

// rememberCaller keeps the address of a VM that sent a hello but did not enter the directory, such
// as one whose entry is older than what the directory has of it.
func (g *gossip) rememberCaller(hello *hoistv1.Datagram) {
	if len(hello.GetDirectory()) == 0 {
		return
	}
	caller := entryFromProto(hello.GetDirectory()[0])
	if to := g.gossipAddress(caller.Address); to == nil || to.IP == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.directory.Entry(caller.Name); !ok || known.Address != caller.Address {
		g.hellos.Remember(caller.Address)
	}
}

// gossipAddress returns the UDP address of the VM with the given peer address, or nil.
func (g *gossip) gossipAddress(address string) *net.UDPAddr {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	return &net.UDPAddr{IP: net.ParseIP(host), Port: g.port}
}

func (g *gossip) sendMessages(messages []membership.Message) {
	for _, message := range messages {
		datagram := &hoistv1.Datagram{}
		var to string
		switch m := message.(type) {
		case membership.Probe:
			to, datagram.Probe = m.To, peer.FromMembershipProbe(m)
		case membership.Ack:
			to, datagram.Ack = m.To, peer.FromMembershipAck(m)
		}
		g.mu.Lock()
		entry, ok := g.directory.Entry(to)
		g.mu.Unlock()
		if ok {
			g.writeDatagram(datagram, g.gossipAddress(entry.Address))
		}
	}
}

// writeDatagram adds part of the directory to the datagram and sends it. Datagrams may be lost
// at any time, so a send error needs no handling: the membership protocol detects the loss.
func (g *gossip) writeDatagram(datagram *hoistv1.Datagram, to *net.UDPAddr) {
	if to == nil || to.IP == nil {
		return
	}
	g.mu.Lock()
	for _, e := range g.directory.EntriesForMessage(g.now(), maxDatagramEntries) {
		datagram.Directory = append(datagram.Directory, entryToProto(e))
	}
	g.mu.Unlock()
	datagram.Blocks = g.parts.blocksForMessage()
	g.sendDatagram(datagram, to)
}

// sendDatagram sends a datagram as it is.
func (g *gossip) sendDatagram(datagram *hoistv1.Datagram, to *net.UDPAddr) {
	data, err := proto.Marshal(datagram)
	if err != nil {
		g.logger.Error("failed to encode a membership datagram", obs.ErrorField(err))
		return
	}
	if _, err := g.conn.WriteToUDP(data, to); err != nil {
		g.logger.Debug("failed to send a membership datagram", zap.Stringer("to", to), obs.ErrorField(err))
	}
}

// reportChanges logs changes of the membership and calls the callbacks for changes.
func (g *gossip) reportChanges() {
	g.mu.Lock()
	now := g.now()
	if now.Sub(g.lastReport) < time.Duration(g.directory.Size())*reportDelayPerVM {
		g.mu.Unlock()
		return
	}
	g.lastReport = now
	membershipVersion, directoryVersion := g.membership.Version(), g.directory.Version()
	membershipChanged, directoryChanged := membershipVersion != g.membershipVersion, directoryVersion != g.directoryVersion
	g.membershipVersion, g.directoryVersion = membershipVersion, directoryVersion
	alone := g.directory.IsAlone(now)
	aloneChanged := alone != g.alone
	g.alone = alone
	size := g.directory.Size()
	var states []membership.MemberState
	if membershipChanged {
		states = g.membership.Members()
	}
	g.mu.Unlock()
	if aloneChanged {
		g.logger.Info("peers", zap.Bool("alone", alone), zap.Int("known", size))
	}
	if directoryChanged && !membershipChanged {
		g.onClaimChange()
	}
	if !membershipChanged {
		return
	}
	unreachable := make([]string, 0, len(states))
	for _, s := range states {
		if s.Status == membership.Unreachable {
			unreachable = append(unreachable, s.Name)
		}
	}
	g.logger.Info("membership changed", zap.Int("known", size), zap.Strings("unreachable", unreachable))
	g.onMembershipChange()
}

// leave tells the other VMs that this one is shutting down.
func (g *gossip) leave() {
	g.mu.Lock()
	g.directory.Leave()
	g.mu.Unlock()
	g.announce()
}

// announce sends this VM's entry to all reachable VMs. Otherwise it would take some seconds to
// spread.
func (g *gossip) announce() {
	for _, entry := range g.reachable() {
		g.writeDatagram(&hoistv1.Datagram{}, g.gossipAddress(entry.Address))
	}
}

func (g *gossip) reachable() []fleet.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Reachable(g.now())
}

// entry returns the directory entry of a VM.
func (g *gossip) entry(name string) (fleet.Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.directory.Entry(name)
}

// vmNames returns the names of the VMs that may be running, including this one.
func (g *gossip) vmNames() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []string{g.directory.Self().Name}
	for _, m := range g.directory.Members() {
		out = append(out, m.Name)
	}
	return out
}

// joinHostPort returns the IP:port.
func joinHostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
