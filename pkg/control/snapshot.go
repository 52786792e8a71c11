package control

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/gossip"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Snapshot is the state that an agent passes to its gateway, except for the reports.
type Snapshot struct {
	Routes configuration.Value
	Pools  configuration.Value
	// ListRevision and VMs are the VM list in force; 0 and empty if there is none.
	ListRevision uint64
	VMs          []table.VM
	Members      []membership.MemberState
	// Confirmed is set if every value was confirmed within UnconfirmedAfter; ConfirmedAge
	// is the age of the oldest confirmation.
	Confirmed    bool
	ConfirmedAge time.Duration
	CatchingUp   bool
}

// Snapshot returns the current state.
func (c *Core) Snapshot(now clock.Instant) Snapshot {
	c.detectPause(now)
	age, confirmed := c.configuration.Confirmation(now)
	s := Snapshot{
		Routes:       c.configuration.InForce(configuration.Routes),
		Pools:        c.configuration.InForce(configuration.Pools),
		ListRevision: c.configuration.InForce(configuration.VMs).Revision,
		Members:      c.membership.Members(),
		Confirmed:    confirmed,
		ConfirmedAge: age,
		CatchingUp:   c.membership.CatchingUp(),
	}
	if s.ListRevision > 0 {
		s.VMs = c.vms
	}
	return s
}

// Reports returns the known warmth reports and suspects.
func (c *Core) Reports(now clock.Instant) ([]gossip.Warmth, []gossip.Suspect) {
	return c.reports.Warmth(now), c.reports.Suspects(now)
}

// MayDecide reports whether decisions that require an up-to-date view of the peers and the
// configuration may be taken now.
func (c *Core) MayDecide(now clock.Instant) bool {
	c.detectPause(now)
	_, confirmed := c.configuration.Confirmation(now)
	return confirmed && !c.membership.CatchingUp()
}

// Status is the configuration status that is shown to operators.
type Status struct {
	Incarnation membership.Incarnation
	InForce     map[configuration.Name]uint64
	Newest      map[configuration.Name]uint64
	Rejections  []configuration.Rejection
	Reader      bool
}

// Status returns the configuration status.
func (c *Core) Status(now clock.Instant) Status {
	s := Status{
		Incarnation: c.membership.Incarnation(),
		InForce:     map[configuration.Name]uint64{},
		Newest:      map[configuration.Name]uint64{},
		Rejections:  c.configuration.Rejections(),
		Reader:      c.configuration.IsReader(),
	}
	for _, advertisement := range c.configuration.Advertisements(now) {
		s.InForce[advertisement.Name] = advertisement.InForce
		s.Newest[advertisement.Name] = advertisement.Newest
	}
	return s
}
