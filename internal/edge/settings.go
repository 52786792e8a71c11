// Package edge is the data and control path of one VM of a fleet that has no published
// VM list and no place to keep anything: it serves callers, owns pools of stages, follows
// the published tables, and finds the other VMs by itself.
package edge

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings configures a Server. The adapter of the platform fills them in.
type Settings struct {
	VM   string
	Zone string
	// IP is the address of the VM, from which it also connects.
	IP string
	// Listen is the IP:port for callers, ReadyListen that for readiness checks and
	// PeerListen that for other VMs (gRPC).
	Listen      string
	ReadyListen string
	PeerListen  string
	// GossipPort is the UDP port for membership, the same on all VMs.
	GossipPort int
	// MetricsPort is the TCP port for metrics; 0 means none.
	MetricsPort int
	// Seeds are addresses PeerListen of some VMs, which may be out of date.
	Seeds []string
	// Store is the IP:port of the store with the published items.
	Store       string
	MemoryBytes int64
	// Capacity is the processor time of the VM in thousandths of a core; 0 if not known.
	Capacity uint32
	// GracePeriod is the time between a stop signal and the kill.
	GracePeriod time.Duration
	// KeyBound is the age of the tables from which requests with keys are refused, since
	// their key may have been taken away; 0 means never.
	KeyBound time.Duration
	// RetryShare and RetryBurst bound the repeats of all VMs in a RetryWindow.
	RetryShare  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// ColdFactor and ColdBurst say by how much the rate of a cold upstream may be exceeded.
	ColdFactor float64
	ColdBurst  float64
}

// Validate checks the settings that the process cannot do without.
func (s *Settings) Validate() error {
	for name, address := range map[string]string{
		"listen address": s.Listen, "readiness address": s.ReadyListen,
		"peer address": s.PeerListen, "store address": s.Store,
	} {
		if _, err := net.ResolveTCPAddr("tcp", address); address == "" || err != nil {
			return errors.Newf("the %s is %q; expected IP:port", name, address)
		}
	}
	if s.VM == "" || s.Zone == "" {
		return errors.New("the name of the VM or its zone is missing")
	}
	if s.GossipPort <= 0 {
		return errors.Newf("the gossip port is %d", s.GossipPort)
	}
	return nil
}

// ZoneOut is the published wish that a zone's upstreams receive no work.
type ZoneOut string
