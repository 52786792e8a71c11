package harness

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hornbeamhoist/hornbeamhoist/internal/standin"
)

// firstZoneOctet is the third octet of the addresses of the first zone's VMs.
const firstZoneOctet = 101

// network relays all connections between the VMs of a deployment, and between them and
// the platform. Every VM has its own loopback address, from which a relay derives the zone
// of a connection.
type network struct {
	partition *standin.Partition
	listeners []net.Listener
	zoneByIP  map[string]string
}

// newNetwork assigns each VM its own loopback address and starts relays on the published
// addresses.
func newNetwork(d *deployment) (*network, error) {
	n := &network{partition: standin.NewPartition(), zoneByIP: map[string]string{}}
	octets := map[string]int{}
	for i := range d.vms {
		v := &d.vms[i]
		if octets[v.Zone] == 0 {
			octets[v.Zone] = firstZoneOctet + len(octets)
		}
		v.loopbackIP = fmt.Sprintf("127.0.%d.%d", octets[v.Zone], i+1)
		n.zoneByIP[v.loopbackIP] = v.Zone
	}
	// The relays read zoneByIP without a lock, so it is complete before the first one starts.
	for i := range d.vms {
		v := &d.vms[i]
		for _, published := range []string{v.AgentAddress, v.GatewayAddress} {
			if err := n.startRelay(published, v.listenAddress(published), v.Zone, nil); err != nil {
				return nil, err
			}
		}
		if err := n.startPlatformRelay(d, v); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// startPlatformRelay starts a relay to the platform for one VM, so that isolating the
// VM's zone also isolates it from the platform.
func (n *network) startPlatformRelay(d *deployment, v *vm) error {
	allocated, err := ports.allocate(1)
	if err != nil {
		return err
	}
	v.platformRelay = fmt.Sprintf("127.0.0.1:%d", allocated[0])
	zone := v.Zone
	return n.startRelay(v.platformRelay, d.platformAddress, "", func(net.Addr) string { return zone })
}

func (n *network) startRelay(listen, target, zone string, sourceZone func(net.Addr) string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	if sourceZone == nil {
		sourceZone = n.zoneOf
	}
	n.listeners = append(n.listeners, listener)
	relay := &standin.Relay{Target: target, Zone: zone, SourceZone: sourceZone, Partition: n.partition}
	go relay.Serve(listener)
	return nil
}

func (n *network) zoneOf(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ""
	}
	return n.zoneByIP[tcp.IP.String()]
}

func (n *network) stop() {
	n.partition.Stop()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// cmdNetwork implements "network cut ZONE", which isolates a zone, and "network heal ZONE",
// which reconnects it.
func (s *scenario) cmdNetwork(_ *testscript.TestScript, args []string) error {
	if s.network == nil {
		return errors.New("no deployment with -relay; run deployment -relay first")
	}
	if len(args) != 2 || (args[0] != "cut" && args[0] != "heal") {
		return errors.New("usage: network cut|heal ZONE")
	}
	s.network.partition.SetIsolated(args[1], args[0] == "cut")
	return nil
}
