package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func newCatalog() *Catalog {
	c := &Catalog{
		Routes: []Route{
			{Name: "wide", Host: "a.example", Prefix: "/x/"},
			{Name: "narrow", Host: "a.example", Prefix: "/x/y/"},
			{Name: "open", Host: "b.example", Prefix: "/", Anonymous: true},
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	}
	c.Index()
	return c
}

// TestLongestPrefixWins guards against a request that is served by the first matching route
// instead of the most specific one, or by a route of another host.
func TestLongestPrefixWins(t *testing.T) {
	c := newCatalog()
	for _, check := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "narrow"},
		{"A.example:8080", "/x/z", "wide"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/", "open"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		target, ok := ParseTarget(check.path)
		if !ok {
			t.Fatalf("%q is no target", check.path)
		}
		if route := c.Match(check.host, target); route != nil {
			got = route.Name
		}
		if got != check.want {
			t.Errorf("%s%s matched route %q, expected %q", check.host, check.path, got, check.want)
		}
	}
}

// TestWorkspaceKeys guards against requests without a key on routes that require one.
func TestWorkspaceKeys(t *testing.T) {
	c := newCatalog()
	if c.WorkspaceOf("k2") == nil || c.WorkspaceOf("k3") != nil || c.WorkspaceOf("") != nil {
		t.Error("WorkspaceOf returned a wrong workspace for a key")
	}
	if !c.NeedsKey(&c.Routes[0]) || c.NeedsKey(&c.Routes[2]) {
		t.Error("NeedsKey must be true for all routes but anonymous ones")
	}
}

// TestSplit guards against a traffic split that does not follow the weights.
func TestSplit(t *testing.T) {
	route := Route{Split: []WeightedPool{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.PoolFor((float64(i)+0.5)/1000)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, counts); diff != "" {
		t.Error(diff)
	}
	if !route.UsesPool("a") || !route.UsesPool("b") || route.UsesPool("none") || route.UsesPool("other") {
		t.Error("the pools that the route uses do not follow the split")
	}
}

// TestLevels guards against a level that ignores the longer of two dependency chains.
func TestLevels(t *testing.T) {
	route := Route{Stages: []Stage{{}, {}, {DependsOn: []int{1}}, {DependsOn: []int{2}}}}
	if diff := cmp.Diff([]int{1, 3, 2, 1}, route.Levels()); diff != "" {
		t.Error(diff)
	}
}
