package published_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// The store returns from a copy that has an older configuration. The one in force stays until the operator has
// written again.
func ExampleState() {
	decode := func(_ string, value []byte) (any, error) {
		c := &catalog.Catalog{}
		_, err := fmt.Sscan(string(value), &c.Version)
		return c, err
	}
	list := func(s *published.State, version string, at replica.Position) {
		update := s.List(0, []replica.Item{{Key: "config", Value: []byte(version), Revision: at.Revision}}, at, 0)
		fmt.Println(s.Position(), s.Configuration().Version, update.NewEra != nil)
	}
	s := published.New(decode)
	list(s, "7", replica.Position{Era: 1, Revision: 100})
	list(s, "5", replica.Position{Era: 2, Revision: 80})
	list(s, "8", replica.Position{Era: 2, Revision: 90})
	// Output:
	// {1 100} 7 false
	// {2 80} 7 true
	// {2 90} 8 false
}
