package configuration

import (
	"crypto/sha256"
	"time"
)

// Name is the name of a published value.
type Name string

// Names of the published values.
const (
	Routes Name = "routes"
	Pools  Name = "pools"
	VMs    Name = "vms"
)

// Names lists the published values in a fixed order.
var Names = [...]Name{VMs, Routes, Pools}

// Digest is the SHA-256 of a value.
type Digest [sha256.Size]byte

// Value is one revision of a published value. Revision 0 means that there is none.
type Value struct {
	Revision uint64
	Data     []byte
	Digest   Digest
}

// NewValue returns a value with its digest.
func NewValue(revision uint64, data []byte) Value {
	return Value{Revision: revision, Data: data, Digest: sha256.Sum256(data)}
}

// Advertisement tells peers which revisions of one value a process has.
type Advertisement struct {
	Name Name
	// InForce is the revision in force, 0 if none.
	InForce uint64
	// Digest is the digest of the revision in force.
	Digest Digest
	// Newest is the highest revision that the process holds, in force or a candidate.
	Newest uint64
	// Confirmed is set if a platform read has returned InForce or a higher revision; Age
	// is the time since that read was sent.
	Confirmed bool
	Age       time.Duration
}

// Rejection is a revision that is above the one in force and failed validation.
type Rejection struct {
	Name     Name
	Revision uint64
	Reason   string
}

// Validation checks values before they come into force.
type Validation struct {
	// Tables checks whether routes and pools are valid together.
	Tables func(routes, pools []byte) error
	// VMList checks a VM list.
	VMList func(data []byte) error
}
