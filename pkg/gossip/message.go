package gossip

import "time"

// Fingerprint is a hash of the route, the stage and the caller's request body.
type Fingerprint [16]byte

// Suspect is the fingerprint of a request, with the upstreams that died while they ran it.
type Suspect struct {
	Fingerprint Fingerprint
	Upstreams   []string
	// TTL is the remaining lifetime.
	TTL time.Duration
}

// Warmth is one VM's report on whether an upstream is warm.
type Warmth struct {
	Upstream string
	Reporter string
	// Sequence increases with each report of the reporter's process.
	Sequence  uint64
	Successes uint32
	Cold      bool
	// Age is the time since the observation.
	Age time.Duration
}
