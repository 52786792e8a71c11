package membership

// Status is the state of a VM as seen by its peers. Higher values are worse.
type Status uint8

// States of a VM.
const (
	// Alive is a VM that answers probes or has not been probed yet.
	Alive Status = iota
	// Suspect is a VM that answered neither a direct nor an indirect probe and may
	// still refute the suspicion.
	Suspect
	// Unreachable is a VM that did not refute a suspicion in time. Each process decides
	// this by its own timeout; it accepts only suspicions from peers.
	Unreachable
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Unreachable:
		return "unreachable"
	default:
		return "invalid"
	}
}

// Member is one VM of the member list.
type Member struct {
	Name string
	Zone string
	// Address is the IP:port of the VM's agent.
	Address string
}

// MemberState is what this process knows about a member.
type MemberState struct {
	Member
	Incarnation Incarnation
	Status      Status
}

// Update states the status of a VM. An update with a higher incarnation overrides the
// known status; at the same incarnation the worse status wins.
type Update struct {
	VM          string
	Incarnation Incarnation
	Status      Status
}
