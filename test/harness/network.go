package harness

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hornbeamhoist/hornbeamhoist/internal/standin"
)

// firstZoneOctet is the second octet of the addresses of the first zone's VMs.
const firstZoneOctet = 101

// network stands between the VMs of a deployment, and between them and the platform.
// Every VM has its own loopback address, by which a relay knows the zone of a connection.
type network struct {
	partition *standin.Partition
	listeners []net.Listener
	zones     map[string]string
}

// newNetwork gives each VM its own address and puts relays behind the published ones.
func newNetwork(d *deployment) (*network, error) {
	n := &network{partition: standin.NewPartition(), zones: map[string]string{}}
	octets := map[string]int{}
	for i := range d.vms {
		v := &d.vms[i]
		if octets[v.Zone] == 0 {
			octets[v.Zone] = firstZoneOctet + len(octets)
		}
		v.ip = fmt.Sprintf("127.0.%d.%d", octets[v.Zone], i+1)
		n.zones[v.ip] = v.Zone
	}
	// The relays read the zones without a lock, so all are known before the first one starts.
	for i := range d.vms {
		v := &d.vms[i]
		for _, published := range []string{v.AgentAddress, v.GatewayAddress} {
			if err := n.relay(published, v.own(published), v.Zone, nil); err != nil {
				return nil, err
			}
		}
		if err := n.relayPlatform(d, v); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// relayPlatform gives the VM an address of the platform that a cut of its zone closes.
func (n *network) relayPlatform(d *deployment, v *vm) error {
	chosen, err := ports.take(1)
	if err != nil {
		return err
	}
	v.platform = fmt.Sprintf("127.0.0.1:%d", chosen[0])
	zone := v.Zone
	return n.relay(v.platform, d.platform, "", func(net.Addr) string { return zone })
}

func (n *network) relay(listen, target, zone string, source func(net.Addr) string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	if source == nil {
		source = n.zoneOf
	}
	n.listeners = append(n.listeners, listener)
	relay := &standin.Relay{Target: target, Zone: zone, SourceZone: source, Partition: n.partition}
	go relay.Serve(listener)
	return nil
}

func (n *network) zoneOf(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ""
	}
	return n.zones[tcp.IP.String()]
}

func (n *network) stop() {
	n.partition.Stop()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// cmdNetwork implements "network cut ZONE" and "network heal ZONE".
func (s *scenario) cmdNetwork(_ *testscript.TestScript, args []string) error {
	if s.network == nil {
		return errors.New("no deployment with -relay yet")
	}
	if len(args) != 2 || (args[0] != "cut" && args[0] != "heal") {
		return errors.New("usage: network cut|heal ZONE")
	}
	s.network.partition.SetIsolated(args[1], args[0] == "cut")
	return nil
}
