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
	now, _ := catalog.ParseTarget("/v1/ask/now?verbose")
	encoded, _ := catalog.ParseTarget("/v1/ask%2Fnow")
	fmt.Println(config.Match("a.example", now).Name, config.Match("a.example", encoded).Name)
	// Output: ask all
}
