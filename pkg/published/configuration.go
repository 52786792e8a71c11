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
	// isCarried is set while the store of the current era does not have it.
	isCarried bool
}

// offer puts a configuration in force and reports whether it did. One with the version in force takes the
// place of a carried one, since the operator has written it again.
func (c *configuration) offer(value *catalog.Catalog, item replica.Item) bool {
	if c.catalog != nil {
		isAgain := c.isCarried && value.Version == c.catalog.Version
		if value.Version <= c.catalog.Version && !isAgain {
			return false
		}
	}
	*c = configuration{catalog: value, item: item}
	return true
}

// keepConfiguration puts a configuration that the store has lost back into the replica, so that VMs that
// pull from this one get it too.
func (s *State) keepConfiguration() {
	kept := &s.configuration
	if !kept.isCarried {
		return
	}
	if current, exists := s.replica.Item(kept.item.Key); !exists || !bytes.Equal(current.Value, kept.item.Value) {
		s.replica.Carry(kept.item)
	}
}
