package catalog_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// A request is served by the route with the longest matching path prefix.
func ExampleCatalog_Match() {
	config := catalog.Catalog{Routes: []catalog.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "ask", Host: "a.example", Prefix: "/v1/ask/"},
	}}
	config.Index()
	fmt.Println(config.Match("a.example", "/v1/ask/now").Name, config.Match("a.example", "/v1/").Name)
	// Output: ask all
}
