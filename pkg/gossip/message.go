package gossip

import "time"

// Fingerprint is a hash of route, stage and the caller's body.
type Fingerprint [16]byte

// Suspect is a fingerprint of a request during which upstreams died.
type Suspect struct {
	Fingerprint Fingerprint
	Upstreams   []string
	// TTL is the remaining lifetime.
	TTL time.Duration
}

// Warmth is one VM's evidence about an upstream.
type Warmth struct {
	Upstream string
	Reporter string
	// Sequence increases with each report of the reporter's process.
	Sequence  uint64
	Successes uint32
	Cold      bool
	// Age is the age of the evidence.
	Age time.Duration
}
