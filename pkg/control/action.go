package control

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
)

// Action is an instruction or a notification to the caller: Send, Reply, Read, Fetch or
// Changed.
type Action interface{ action() }

// Send instructs the caller to send a request to a peer and to pass the response to
// Receive. A request without a response need not be reported.
type Send struct {
	To      configuration.Peer
	Message Message
}

// Reply instructs the caller to respond to a request of a peer. An Ack may be returned some
// time after its Probe; both have the same Sequence.
type Reply struct{ Message Message }

// Read requests a read from the platform. The caller passes the result to HandleReadResult.
type Read struct{ configuration.Read }

// Fetch requests a value from a peer. The caller passes the result to HandleFetchResult.
type Fetch struct{ configuration.Fetch }

// Change is a set of flags for what has changed.
type Change uint8

// Kinds of change.
const (
	// ChangedTables is set if a new revision of routes or pools is in force.
	ChangedTables Change = 1 << iota
	// ChangedList is set if a new revision of the VM list is in force.
	ChangedList
	// ChangedMembers is set if the status of a member or of this process has changed.
	ChangedMembers
	// ChangedReports is set if the reports on warmth or suspects have changed.
	ChangedReports
)

// Changed notifies the caller that the results of Snapshot or Reports have changed.
type Changed struct{ Change Change }

func (Send) action()    {}
func (Reply) action()   {}
func (Read) action()    {}
func (Fetch) action()   {}
func (Changed) action() {}
