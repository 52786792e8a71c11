package configuration

import "time"

// Action is an instruction or a notification to the caller: Read, Fetch, Push or Adopted.
type Action interface{ action() }

// Read requests a read from the platform. The caller passes the result to HandleReadResult.
type Read struct {
	ID   uint64
	Name Name
	// After is the lower bound: only a revision above it is returned.
	After uint64
	// Wait is how long the platform may block until such a revision exists.
	Wait time.Duration
}

// Fetch requests a value from a peer. The caller passes the result to HandleFetchResult.
type Fetch struct {
	ID       uint64
	Peer     Peer
	Name     Name
	Revision uint64
}

// Push requests that the current advertisements are sent to a member immediately.
type Push struct{ To string }

// Adopted reports that a revision has come into force.
type Adopted struct {
	Name     Name
	Revision uint64
}

func (Read) action()    {}
func (Fetch) action()   {}
func (Push) action()    {}
func (Adopted) action() {}

// Peer is another process from which values can be fetched.
type Peer struct {
	Name string
	// Address is the IP:port of the peer's agent.
	Address string
}

// ReadStatus is the outcome of a read from the platform.
type ReadStatus uint8

// Outcomes of a read from the platform.
const (
	// ReadFailed is a transport error, a timeout or an error response.
	ReadFailed ReadStatus = iota
	// ReadNoNewerValue means that no revision above After exists.
	ReadNoNewerValue
	// ReadValue means that the platform returned a value.
	ReadValue
)

// ReadResult is the result of a Read.
type ReadResult struct {
	ID     uint64
	Status ReadStatus
	Value  Value
}

// FetchResult is the result of a Fetch. If Failed is set, Value is empty.
type FetchResult struct {
	ID     uint64
	Failed bool
	Value  Value
}

// Member is the part of a VM list entry that the Machine uses, with its reachability.
type Member struct {
	Name string
	Zone string
	// Live is false for a VM that is leaving.
	Live bool
	// Reachable is the result of failure detection; it is always true for this VM.
	Reachable bool
}
