// Package edge implements the server that runs on each VM. It forwards the requests of
// callers to upstreams, runs the stages of the pools that it owns, follows the published tables
// and discovers the other VMs. The tables are the published items in the store: the
// configuration, the upstreams and the zones out of service. The server needs neither a list of
// the VMs nor persistent storage.
package edge

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings configures a Server. The platform package fills it in.
type Settings struct {
	VM   string
	Zone string
	// IP is the address of the VM. Outgoing connections use it as their source.
	IP string
	// Listen is the IP:port for callers, ReadyListen the one for readiness checks, and
	// PeerListen the one for gRPC calls of other VMs.
	Listen      string
	ReadyListen string
	PeerListen  string
	// GossipPort is the UDP port of the membership protocol, which must be the same on all VMs.
	GossipPort int
	// MetricsPort is the TCP port that serves metrics; 0 means none.
	MetricsPort int
	// Seeds are the PeerListen addresses of some VMs. They may be out of date.
	Seeds []string
	// SeedLag is the time after the start of VMs by which the seeds name VMs that are running.
	SeedLag time.Duration
	// Store is the IP:port of the store of published items.
	Store string
	// MemoryBytes is the memory of the VM, and MaxDescriptors the number of files and connections that
	// the process may have open; 0 if unknown.
	MemoryBytes    int64
	MaxDescriptors int
	// Capacity is the CPU capacity of the VM in thousandths of a core; 0 if unknown.
	Capacity uint32
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if unknown.
	LinkMbps uint32
	// GracePeriod is the time between the stop signal and the kill signal.
	GracePeriod time.Duration
	// KeyRevocationTimeout is the time within which a removed API key must stop working.
	// Requests that need a key are refused before the tables reach this age; 0 means never.
	KeyRevocationTimeout time.Duration
	// RetryRatio and RetryBurst bound the retries of all VMs in a RetryWindow: a fraction of
	// the requests, plus a fixed number of retries.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// ColdRateFactor and ColdRateBurst raise the rate limit of an upstream in cold start: by
	// a factor, and by a fixed number of requests per second on top.
	ColdRateFactor float64
	ColdRateBurst  float64
	// DrainTime is the time after the first response of a leaving upstream from which it must
	// receive no further requests of clients; with 0 it receives none from that response on.
	DrainTime time.Duration
}

// Parts of the memory of a VM: the garbage collector keeps the process below the fraction of it, which
// leaves the rest for stacks and kernel buffers, and leaves room for the program itself, which it does
// not count.
const (
	memoryLimitFraction = 0.7
	programBytes        = 24 << 20
)

// MemoryLimit returns the memory at which the garbage collector runs more often, as GOMEMLIMIT does, or
// 0 if the memory of the VM is not known.
func (s *Settings) MemoryLimit() int64 {
	if s.MemoryBytes <= 0 {
		return 0
	}
	return min(int64(memoryLimitFraction*float64(s.MemoryBytes)), max(s.MemoryBytes-programBytes, s.MemoryBytes/2))
}

// Validate checks the settings that a Server requires. The error names all invalid settings in a fixed
// order, so that the same settings always have the same error.
func (s *Settings) Validate() error {
	var problems []string
	if s.VM == "" || s.Zone == "" {
		problems = append(problems, "the VM name or its zone is missing")
	}
	for _, a := range []struct{ name, address string }{
		{"listen address", s.Listen},
		{"readiness address", s.ReadyListen},
		{"peer address", s.PeerListen},
		{"store address", s.Store},
	} {
		if _, err := net.ResolveTCPAddr("tcp", a.address); a.address == "" || err != nil {
			problems = append(problems, fmt.Sprintf("the %s is %q; expected IP:port", a.name, a.address))
		}
	}
	if s.GossipPort <= 0 {
		problems = append(problems, fmt.Sprintf("the gossip port is %d; expected a positive number", s.GossipPort))
	}
	for _, n := range []struct {
		name  string
		value float64
	}{
		{"grace period", s.GracePeriod.Seconds()},
		{"drain time", s.DrainTime.Seconds()},
		{"key revocation timeout", s.KeyRevocationTimeout.Seconds()},
		{"seed lag", s.SeedLag.Seconds()},
		{"retry ratio", s.RetryRatio},
		{"retry burst", s.RetryBurst},
		{"retry window", s.RetryWindow.Seconds()},
		{"cold rate factor", s.ColdRateFactor},
		{"cold rate burst", s.ColdRateBurst},
		{"memory", float64(s.MemoryBytes)},
		{"number of descriptors", float64(s.MaxDescriptors)},
	} {
		if n.value < 0 {
			problems = append(problems, fmt.Sprintf("the %s is %v; expected no negative number", n.name, n.value))
		}
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}
