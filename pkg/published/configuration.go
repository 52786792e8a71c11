package published

import (
	"bytes"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// configuration is the configuration in force. Its version never decreases.
type configuration struct {
	// catalog is nil until there is a configuration.
	catalog *catalog.Catalog
	item    replica.Item
	// isKept is set while the store has not written this or a higher version in the current era.
	isKept bool
}

// offer puts a configuration of the store in force and reports whether it did. One with the version in force
// takes the place of a kept one, since the operator has written it again.
func (c *configuration) offer(value *catalog.Catalog, item replica.Item) bool {
	isRewritten := c.isKept && value.Version == c.catalog.Version
	if !c.isBelow(value.Version) && !isRewritten {
		return false
	}
	*c = configuration{catalog: value, item: item}
	return true
}

// offerKept puts a configuration in force that a peer has kept from an earlier era, and reports whether it did.
func (c *configuration) offerKept(value *catalog.Catalog, item replica.Item) bool {
	if !c.isBelow(value.Version) {
		return false
	}
	*c = configuration{catalog: value, item: item, isKept: true}
	return true
}

// isBelow reports whether the version in force, if there is one, is lower than the given one.
func (c *configuration) isBelow(version int64) bool {
	return c.catalog == nil || c.catalog.Version < version
}

// beginEra keeps the configuration in force until the store has written it in the new era.
func (c *configuration) beginEra() { c.isKept = c.catalog != nil }

// releaseIfListed records that the store of the current era has the configuration in force if it lists the
// same content. The replica holds items of the store only, also if they came from a peer.
func (s *State) releaseIfListed() {
	c := &s.configuration
	listed, exists := s.replica.Item(c.item.Key)
	if exists && bytes.Equal(listed.Value, c.item.Value) {
		c.isKept = false
	}
}
