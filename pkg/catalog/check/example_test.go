package check_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog/check"
)

// The second route has the same host and prefix as the first, which gets all requests.
func ExampleCatalog() {
	split := []catalog.WeightedPool{{Pool: "model", Weight: 1}}
	config := &catalog.Catalog{
		Routes: []catalog.Route{
			{Name: "ask", Host: "a.example", Prefix: "/ask/", Timeout: time.Second, Split: split},
			{Name: "again", Host: "a.example", Prefix: "/ask/", Timeout: time.Second, Split: split},
		},
		Pools: map[string]*catalog.Pool{"model": {Name: "model"}},
	}
	config.Index()
	for _, finding := range check.Catalog(config, check.Options{}) {
		fmt.Println(finding.Severity, finding.Location.Name, finding.Problem)
	}
	// Output: error again the route 0 ("ask") has the same host and prefix and gets all requests
}
