package check

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// newCatalog returns a catalog without findings.
func newCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Version: 7, KeysRequired: true,
		Routes: []catalog.Route{
			{
				Name: "ask", Host: "a.example", Prefix: "/ask/", Kind: catalog.Stream, Timeout: 10 * time.Second, Objective: 2 * time.Second,
				EventGapObjective: time.Second, MaxUpstreams: 2, Split: []catalog.WeightedPool{{Pool: "model", Weight: 1}},
				Stages: []catalog.Stage{{Pool: "encode", ResultBytes: 1e6}, {Pool: "encode", DependsOn: []int{0}, ResultBytes: 8}},
			},
			{Name: "plain", Host: "a.example", Prefix: "/", Timeout: time.Second, Split: []catalog.WeightedPool{{Pool: "model", Weight: 1}}},
		},
		Pools: map[string]*catalog.Pool{
			"model": {Name: "model", ColdStartTime: 3 * time.Second, ColdRequestsPerSecond: 13, Engine: &catalog.Engine{Concurrency: 64}},
			"encode": {Name: "encode", Batch: &catalog.Batch{
				Concurrency: 1, QueueLimit: 2, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 25 * time.Millisecond, ResultMemoryBytes: 9e6,
			}},
		},
		Workspaces: []catalog.Workspace{{Name: "north", Keys: []string{"k1"}}, {Name: "south", Keys: []string{"k2"}}},
		Limits:     catalog.Limits{HeaderBytes: 16384},
	}
}

const testMinHeaderBytes = 200

func brief(findings []Finding) string {
	var out []string
	for _, f := range findings {
		out = append(out, fmt.Sprintf("%s %s %s[%d] field %d", f.Severity, f.Kind, f.Location.Name, f.Location.Index, f.Location.Field))
	}
	return strings.Join(out, "\n")
}

// TestCatalog guards against a fault that the check does not report, reports twice or with the wrong
// severity, and against findings about a sound configuration.
func TestCatalog(t *testing.T) {
	type change = func(c *catalog.Catalog)
	entry := func(severity Severity, kind Kind, name string, index int, field Field) string {
		return brief([]Finding{{Severity: severity, Kind: kind, Location: Location{Name: name, Index: index, Field: field}}})
	}
	for _, test := range []struct {
		name   string
		change change
		want   string
	}{
		{"sound", func(*catalog.Catalog) {}, ""},
		{"no name of a route", func(c *catalog.Catalog) { c.Routes[1].Name = "" }, entry(Warning, KindMissing, "", 1, FieldName)},
		{"repeated name of a route", func(c *catalog.Catalog) { c.Routes[1].Name = "ask" }, entry(Warning, KindDuplicate, "ask", 1, FieldName)},
		{"repeated prefix", func(c *catalog.Catalog) { c.Routes[1].Prefix = "/ask/" }, entry(Error, KindNeverMatches, "plain", 1, FieldPrefix)},
		{"same prefix at another host", func(c *catalog.Catalog) { c.Routes[1].Prefix, c.Routes[1].Host = "/ask/", "b.example" }, ""},
		{"prefix without the last slash", func(c *catalog.Catalog) { c.Routes[1].Prefix = "/x" }, entry(Error, KindNeverMatches, "plain", 1, FieldPrefix)},
		{"prefix without the first slash", func(c *catalog.Catalog) { c.Routes[1].Prefix = "x/" }, entry(Error, KindNeverMatches, "plain", 1, FieldPrefix)},
		{"empty prefix", func(c *catalog.Catalog) { c.Routes[1].Prefix = "" }, entry(Error, KindNeverMatches, "plain", 1, FieldPrefix)},
		{"prefix with a query", func(c *catalog.Catalog) { c.Routes[1].Prefix = "/x?y/" }, entry(Error, KindNeverMatches, "plain", 1, FieldPrefix)},
		{"host with a port", func(c *catalog.Catalog) { c.Routes[1].Host = "a.example:80" }, entry(Error, KindNeverMatches, "plain", 1, FieldHost)},
		{"no host", func(c *catalog.Catalog) { c.Routes[1].Host = "" }, entry(Error, KindNeverMatches, "plain", 1, FieldHost)},
		{"no pool", func(c *catalog.Catalog) { c.Routes[1].Split = nil }, entry(Error, KindMissing, "plain", 1, FieldSplit)},
		{"missing pool", func(c *catalog.Catalog) { c.Routes[1].Split[0].Pool = "gone" }, entry(Error, KindBadReference, "plain", 1, FieldSplitPool)},
		{"negative weight", func(c *catalog.Catalog) {
			c.Routes[1].Split = append(c.Routes[1].Split, catalog.WeightedPool{Pool: "model", Weight: -1})
		}, entry(Error, KindOutOfRange, "plain", 1, FieldSplitWeight)},
		{
			"no weight", func(c *catalog.Catalog) { c.Routes[1].Split[0].Weight = 0 },
			entry(Warning, KindUnused, "plain", 1, FieldSplitWeight) + "\n" + entry(Error, KindBadReference, "plain", 1, FieldSplit),
		},
		{"unused pool", func(c *catalog.Catalog) { c.Pools["spare"] = &catalog.Pool{Name: "spare"} }, entry(Warning, KindUnused, "spare", 0, FieldNone)},
		{"missing pool of a stage", func(c *catalog.Catalog) { c.Routes[0].Stages[1].Pool = "gone" }, entry(Error, KindBadReference, "ask", 0, FieldStagePool)},
		{"pool that runs no stages", func(c *catalog.Catalog) { c.Routes[0].Stages[1].Pool = "model" }, entry(Error, KindBadReference, "ask", 0, FieldStagePool)},
		{
			"stages that wait for each other", func(c *catalog.Catalog) { c.Routes[0].Stages[0].DependsOn = []int{1} },
			entry(Error, KindNeverMatches, "ask", 0, FieldStageDependsOn),
		},
		{"negative result", func(c *catalog.Catalog) { c.Routes[0].Stages[0].ResultBytes = -1 }, entry(Error, KindOutOfRange, "ask", 0, FieldStageBytes)},
		{"batch above the memory", func(c *catalog.Catalog) { c.Routes[0].Stages[0].ResultBytes = 2e6 }, entry(Warning, KindContradiction, "ask", 0, FieldStageBytes)},
		{"result above the memory", func(c *catalog.Catalog) { c.Routes[0].Stages[0].ResultBytes = 1e7 }, entry(Error, KindContradiction, "ask", 0, FieldStageBytes)},
		{"no timeout", func(c *catalog.Catalog) { c.Routes[1].Timeout = 0 }, entry(Warning, KindOutOfRange, "plain", 1, FieldTimeout)},
		{"negative timeout", func(c *catalog.Catalog) { c.Routes[1].Timeout = -1 }, entry(Error, KindOutOfRange, "plain", 1, FieldTimeout)},
		{"objective above the timeout", func(c *catalog.Catalog) { c.Routes[1].Objective = 2 * time.Second }, entry(Warning, KindContradiction, "plain", 1, FieldObjective)},
		{"pauses above the objective", func(c *catalog.Catalog) { c.Routes[0].EventGapObjective = 3 * time.Second }, entry(Warning, KindContradiction, "ask", 0, FieldEventGap)},
		{"stages above the objective", func(c *catalog.Catalog) { c.Pools["encode"].Batch.CallTime = time.Second }, entry(Warning, KindContradiction, "ask", 0, FieldObjective)},
		{"stages above the timeout", func(c *catalog.Catalog) { c.Pools["encode"].Batch.CallTime = 5 * time.Second }, entry(Error, KindContradiction, "ask", 0, FieldTimeout)},
		{"cold rate without cold time", func(c *catalog.Catalog) { c.Pools["model"].ColdStartTime = 0 }, entry(Warning, KindContradiction, "model", 0, FieldColdRate)},
		{"cold time without cold rate", func(c *catalog.Catalog) { c.Pools["model"].ColdRequestsPerSecond = 0 }, entry(Warning, KindContradiction, "model", 0, FieldColdTime)},
		{"no pieces in a batch", func(c *catalog.Catalog) { c.Pools["encode"].Batch.MaxPieces = 0 }, entry(Warning, KindOutOfRange, "encode", 0, FieldBatchPieces)},
		{"negative queue", func(c *catalog.Catalog) { c.Pools["encode"].Batch.QueueLimit = -1 }, entry(Error, KindOutOfRange, "encode", 0, FieldBatchQueue)},
		{"negative link", func(c *catalog.Catalog) { c.Pools["model"].Engine.LinkBytesPerSecond = -1 }, entry(Error, KindOutOfRange, "model", 0, FieldEngineLink)},
		{"workspace without keys", func(c *catalog.Catalog) { c.Workspaces[0].Keys = nil }, entry(Warning, KindNeverMatches, "north", 0, FieldKeys)},
		{
			"no workspaces", func(c *catalog.Catalog) { c.Workspaces = nil },
			entry(Warning, KindNeverMatches, "", -1, FieldNone),
		},
		{"shared key", func(c *catalog.Catalog) { c.Workspaces[1].Keys[0] = "k1" }, entry(Error, KindDuplicate, "south", 1, FieldKey)},
		{"repeated key", func(c *catalog.Catalog) { c.Workspaces[1].Keys = []string{"k2", "k2"} }, entry(Warning, KindDuplicate, "south", 1, FieldKey)},
		{"key in spaces", func(c *catalog.Catalog) { c.Workspaces[1].Keys = []string{"k2", " k3"} }, entry(Error, KindNeverMatches, "south", 1, FieldKey)},
		{"repeated name of a workspace", func(c *catalog.Catalog) { c.Workspaces[1].Name = "north" }, entry(Warning, KindDuplicate, "north", 1, FieldName)},
		{"header limit", func(c *catalog.Catalog) { c.Limits.HeaderBytes = testMinHeaderBytes - 1 }, entry(Error, KindContradiction, "", 0, FieldHeaderBytes)},
		{"no header limit", func(c *catalog.Catalog) { c.Limits.HeaderBytes = 0 }, ""},
		{"negative body limit", func(c *catalog.Catalog) { c.Limits.BodyBytes = -1 }, entry(Error, KindOutOfRange, "", 0, FieldBodyBytes)},
	} {
		c := newCatalog()
		test.change(c)
		c.Index()
		if diff := cmp.Diff(test.want, brief(Catalog(c, Options{MinHeaderBytes: testMinHeaderBytes}))); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
	}
}

// TestVersion guards against a version that VMs would ignore without a finding.
func TestVersion(t *testing.T) {
	old, new := newCatalog(), newCatalog()
	for version, want := range map[int64]int{6: 1, 7: 1, 8: 0} {
		new.Version = version
		if got := Version(old, new); len(got) != want {
			t.Errorf("version %d after %d has the findings %v, want %d", version, old.Version, got, want)
		}
	}
}

// TestCompare guards against a change that is not listed, and against keys in the list.
func TestCompare(t *testing.T) {
	old, new := newCatalog(), newCatalog()
	if changes := Compare(old, new); len(changes) > 0 {
		t.Errorf("equal configurations have the changes %v", changes)
	}
	new.Version = 8
	new.Routes[0].Timeout = 9 * time.Second
	new.Routes[0].Split = []catalog.WeightedPool{{Pool: "model", Weight: 90}, {Pool: "next", Weight: 10}}
	new.Routes[1].Name = "other"
	new.Pools["next"] = &catalog.Pool{Name: "next"}
	new.Pools["encode"].Batch = nil
	new.Workspaces = []catalog.Workspace{{Name: "north", Keys: []string{"k3", "k4"}, HasPriority: true}, {Name: "west", Keys: []string{"k2"}}}
	new.Limits.HeaderBytes = 8192
	want := []Change{
		{Kind: VersionChanged, Subject: wholeConfiguration, Effect: "the version changes", Old: "7", New: "8"},
		{Kind: RouteRemoved, Subject: "plain", Effect: "the route is removed"},
		{Kind: RouteChanged, Subject: "ask", Effect: "the timeout changes", Old: "10s", New: "9s"},
		{Kind: RouteChanged, Subject: "ask", Effect: "the pools change", Old: "model:1", New: "model:90 next:10"},
		{Kind: RouteAdded, Subject: "other", Effect: "the route is added for a.example/ with 0 stages"},
		{
			Kind: PoolChanged, Subject: "encode", Effect: "the limits for batches change",
			Old: "calls 1, queue 2, pieces 8, call 240ms, piece 25ms, memory 9000000, kept 0s", New: "none",
		},
		{Kind: PoolAdded, Subject: "next", Effect: "the pool is added"},
		{Kind: WorkspaceRemoved, Subject: "south", Effect: "the workspace is removed with 1 keys"},
		{Kind: WorkspaceChanged, Subject: "north", Effect: "the priority changes", Old: "that of the route", New: "0"},
		{Kind: KeysChanged, Subject: "north", Effect: "2 keys are added and 1 removed", Old: "1 keys", New: "2 keys"},
		{Kind: WorkspaceAdded, Subject: "west", Effect: "the workspace is added with 1 keys"},
		{Kind: LimitsChanged, Subject: wholeConfiguration, Effect: "the limit of the bytes of a header changes", Old: "16384", New: "8192"},
	}
	if diff := cmp.Diff(want, Compare(old, new)); diff != "" {
		t.Error(diff)
	}
}
