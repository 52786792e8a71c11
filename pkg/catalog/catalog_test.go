package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func tables() *Catalog {
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

// TestLongestPrefixWins guards against a request that is served by a route which only
// happens to stand first, and against a prefix of another host.
func TestLongestPrefixWins(t *testing.T) {
	c := tables()
	for _, check := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "narrow"},
		{"A.example:8080", "/x/z", "wide"},
		{"a.example", "/x", ""},
		{"b.example", "/x/y/", "open"},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if route := c.Match(check.host, check.path); route != nil {
			got = route.Name
		}
		if got != check.want {
			t.Errorf("%s%s is served by %q, expected %q", check.host, check.path, got, check.want)
		}
	}
}

// TestKeys guards against requests without a key on routes that need one.
func TestKeys(t *testing.T) {
	c := tables()
	if c.WorkspaceOf("k2") == nil || c.WorkspaceOf("k3") != nil || c.WorkspaceOf("") != nil {
		t.Error("keys do not belong to their workspaces")
	}
	if !c.NeedsKey(&c.Routes[0]) || c.NeedsKey(&c.Routes[2]) {
		t.Error("only anonymous routes go without a key")
	}
}

// TestSplit guards against a split that sends another share than the weights say.
func TestSplit(t *testing.T) {
	route := Route{Split: []Share{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.PoolFor((float64(i)+0.5)/1000)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, counts); diff != "" {
		t.Error(diff)
	}
}

// TestLevels guards against a stage that begins before longer parts of the graph.
func TestLevels(t *testing.T) {
	route := Route{Stages: []Stage{{}, {}, {After: []int{1}}, {After: []int{2}}}}
	if diff := cmp.Diff([]int{1, 3, 2, 1}, route.Levels()); diff != "" {
		t.Error(diff)
	}
}
