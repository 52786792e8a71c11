package published

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// Verdict says what became of an item.
type Verdict uint8

const (
	// Unknown items have a key that has no meaning here.
	Unknown Verdict = iota
	// Applied items are in force.
	Applied
	// Removed items are no longer in force.
	Removed
	// Malformed items cannot be decoded. They name nothing to use; the other items still apply.
	Malformed
	// NotNewer is a configuration whose version is not above that in force.
	NotNewer
	// StaleEntry is an upstream's entry from a copy that is older than the known one, which stays.
	StaleEntry
	// WithheldEntry is an entry from a copy whose upstream is known as removed.
	WithheldEntry
	// ReleasedEntry is an entry that was withheld and has stayed in the store: its upstream is in service.
	ReleasedEntry
	// Kept items are in force although the store of this era has not written them: zones out of service that
	// the copy does not list, and what a peer has kept.
	Kept
	// Expired zones were kept and are in service again.
	Expired
	// ReportedLeaving is an upstream that a peer of an older version knows as draining or removed.
	ReportedLeaving
)

// Decision is what became of a published item.
type Decision struct {
	Item    replica.Item
	Verdict Verdict
	// Value is the decoded item: a *catalog.Catalog, *catalog.Upstream or catalog.ZoneOut.
	Value any
	// Err says why an item is malformed.
	Err error
}

// EraChange is a change to the items of a higher era.
type EraChange struct {
	From, To replica.Position
	// KeptConfiguration is the version in force if the copy has an older one or none, and 0 otherwise.
	KeptConfiguration int64
	// Stale, Withheld and Missing are numbers of upstreams, and KeptZones is one of zones.
	Stale, Withheld, Missing, KeptZones int
}

func (u *Update) add(d Decision) {
	if d.Verdict != Unknown {
		u.Decisions = append(u.Decisions, d)
	}
	if u.NewEra != nil {
		u.NewEra.count(d)
	}
}

// count adds a decision to the numbers.
func (c *EraChange) count(d Decision) {
	switch d.Verdict {
	case StaleEntry:
		c.Stale++
	case WithheldEntry:
		c.Withheld++
	case Kept:
		c.KeptZones++
	case Removed:
		if _, isUpstream := d.Value.(*catalog.Upstream); isUpstream {
			c.Missing++
		}
	}
}
