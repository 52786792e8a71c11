package table

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "rewrite the expected results in testdata")

func readFile(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func loadTables(t testing.TB) *Tables {
	t.Helper()
	tables, err := Load("routes.yaml", readFile(t, "routes.yaml"), "pools.yaml", readFile(t, "pools.yaml"))
	if err != nil {
		t.Fatalf("loading valid tables: %v", err)
	}
	return tables
}

// forEachArchive runs check on each archive in the directory and compares the result with
// the file "want" in the archive.
func forEachArchive(t *testing.T, dir string, check func(t *testing.T, file func(name string) []byte) string) {
	names, err := filepath.Glob(filepath.Join("testdata", dir, "*.txtar"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no archives in %s: %v", dir, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			if err != nil {
				t.Fatal(err)
			}
			file := func(name string) []byte {
				for _, f := range archive.Files {
					if f.Name == name {
						return f.Data
					}
				}
				return nil
			}
			got := check(t, file)
			if *update {
				archive.Files = append(withoutWant(archive.Files), txtar.File{Name: "want", Data: []byte(got)})
				if err := os.WriteFile(name, txtar.Format(archive), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if diff := cmp.Diff(string(file("want")), got); diff != "" {
				t.Errorf("unexpected result (-want +got):\n%s", diff)
			}
		})
	}
}

func withoutWant(files []txtar.File) []txtar.File {
	var kept []txtar.File
	for _, f := range files {
		if f.Name != "want" {
			kept = append(kept, f)
		}
	}
	return kept
}

// TestValidationErrors guards against an invalid value that is accepted or that hides other
// errors, and against an error with a wrong position or without the expected value.
func TestValidationErrors(t *testing.T) {
	forEachArchive(t, "faults", func(t *testing.T, file func(string) []byte) string {
		_, err := Load("routes.yaml", file("routes.yaml"), "pools.yaml", file("pools.yaml"))
		got := formatErrors(t, err)
		if vms := file("vms.yaml"); vms != nil {
			_, err := DecodeVMList(vms)
			got += formatErrors(t, err)
		}
		return got
	})
}

func formatErrors(t *testing.T, err error) string {
	validationErrors, ok := err.(ValidationErrors)
	if !ok {
		t.Fatalf("got an error of type %T, want ValidationErrors", err)
	}
	var b strings.Builder
	for _, e := range validationErrors {
		if e.File == "" || e.Line < 1 || e.Column < 1 || e.Expected == "" {
			t.Errorf("validation error without a position or expected value: %+v", e)
		}
		fmt.Fprintf(&b, "%s %s\n", e.Kind, e)
	}
	return b.String()
}

// TestDefaults guards against a default value that is not applied.
func TestDefaults(t *testing.T) {
	tables := loadTables(t)
	wantRoute := &Route{
		Name: "ask", Deadline: 3 * time.Second, Objective: 0.99, Answer: AnswerWhole,
		Stages: []Stage{
			{Name: "encode", Pools: []string{"encoders"}, Input: InputPrevious, Affinity: AffinityNone},
			{Name: "generate", Pools: []string{"engines"}, Input: InputPrevious, Affinity: AffinityNone},
		},
	}
	if diff := cmp.Diff(wantRoute, tables.Route("ask")); diff != "" {
		t.Errorf("route (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(&Workspace{Name: "north", Weight: 1}, tables.Workspace("north")); diff != "" {
		t.Errorf("workspace (-want +got):\n%s", diff)
	}
	wantPool := &Pool{
		Name: "encoders", Kind: KindEncoder, Path: "/", Capacity: Capacity{Cold: 2, Warm: 8, WarmAfter: 10},
		Upstreams: []Upstream{
			{Name: "encoders-1", Address: "10.0.0.1:80", Zone: "a"},
			{Name: "encoders-2", Address: "10.0.0.2:80", Zone: "b"},
		},
	}
	if diff := cmp.Diff(wantPool, tables.Pool("encoders")); diff != "" {
		t.Errorf("pool (-want +got):\n%s", diff)
	}
}

// TestExamples guards against example tables that do not decode.
func TestExamples(t *testing.T) {
	for _, name := range []string{"associacao", "passeggino", "two-zones"} {
		dir := filepath.Join("..", "..", "..", "examples", name)
		if _, err := Load("routes", readFile(t, filepath.Join(dir, "routes.yaml")), "pools", readFile(t, filepath.Join(dir, "pools.yaml"))); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := DecodeVMList(readFile(t, filepath.Join(dir, "vms.yaml"))); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestValueSize guards against an off-by-one error in the size limit and against a limit that
// is checked only after parsing.
func TestValueSize(t *testing.T) {
	valueOfSize := func(size int) []byte {
		data := []byte("routes: []\n#")
		return append(data, bytes.Repeat([]byte("x"), size-len(data))...)
	}
	if _, err := DecodeRoutes("routes", valueOfSize(MaxValueBytes)); err != nil {
		t.Errorf("decoding a value of the maximum size: %v", err)
	}
	_, err := DecodeRoutes("routes", valueOfSize(MaxValueBytes+1))
	want := "routes:1:1: the value has 1048577 bytes; expected at most 1048576 bytes"
	if err == nil || err.Error() != want {
		t.Errorf("got %v; want %s", err, want)
	}
}

// TestAliasExpansion guards against a small value whose aliases expand to an unbounded number
// of nodes. Here 1,000 pools share a list of 10,000 upstreams.
func TestAliasExpansion(t *testing.T) {
	var b strings.Builder
	b.WriteString("pools:\n- upstreams: &u\n")
	for range 10_000 {
		b.WriteString("  - {name: u}\n")
	}
	for range 1_000 {
		b.WriteString("- upstreams: *u\n")
	}
	var collector errorCollector
	d := newPoolsDecoder(&decoder{file: "pools", collector: &collector})
	d.decode([]byte(b.String()))
	if !d.nodeLimitReached || d.nodes != maxNodes+1 {
		t.Errorf("visited %d nodes, want decoding to stop after %d", d.nodes, maxNodes)
	}
	validationErrors, ok := collector.err().(ValidationErrors)
	if !ok || len(validationErrors) != MaxValidationErrors+1 || validationErrors[MaxValidationErrors].Kind != ErrorKindOmitted {
		t.Errorf("got %d errors, want %d and an entry with the number of omitted errors", len(validationErrors), MaxValidationErrors)
	}
}

// TestOddEntry guards against an entry that ends the process which reads the table, or that is taken for an
// upstream.
func TestOddEntry(t *testing.T) {
	pools := string(readFile(t, "pools.yaml"))
	for _, change := range [][2]string{
		{"10.0.0.1:80", "10.0.0.1:65536"},
		{"10.0.0.1:80", "10.0.0.1:0"},
		{"10.0.0.1:80", "10.0.0.1:-1"},
		{"10.0.0.1:80", "10.0.0.1:18446744073709551617"},
		{"10.0.0.1:80", "10.0.0.1"},
		{"10.0.0.1:80", "10.0.0.999:80"},
		{"cold: 2", "cold: 1e400"},
		{"cold: 2", "cold: 99999999999999999999999"},
		{`"10.0.0.1:80"`, strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)},
		{`"10.0.0.1:80"`, strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)},
		{`"10.0.0.1:80"`, strings.Repeat("{a: ", 100_000)},
		{"pools:", strings.Repeat("- ", 100_000) + "x"},
	} {
		changed := strings.Replace(pools, change[0], change[1], 1)
		if _, err := DecodePools("pools.yaml", []byte(changed)); changed == pools || err == nil {
			t.Errorf("%.40q: error %v", change[1], err)
		}
	}
}

// TestOutOfService guards against an upstream that counts as in service although it or its
// zone is listed in out_of_service.
func TestOutOfService(t *testing.T) {
	pools := append(readFile(t, "pools.yaml"), "out_of_service: {zones: [b], upstreams: [engines-1]}\n"...)
	tables, err := Load("routes", readFile(t, "routes.yaml"), "pools", pools)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]bool{"encoders-1": false, "encoders-2": true, "engines-1": true}
	for name, wantOut := range want {
		pool, upstream := tables.Upstream(name)
		if upstream == nil || !strings.HasPrefix(name, pool.Name) {
			t.Fatalf("%s is not found in its pool", name)
		}
		if got := tables.UpstreamOutOfService(upstream); got != wantOut {
			t.Errorf("%s out of service: got %v, want %v", name, got, wantOut)
		}
	}
	if tables.ZoneOutOfService("a") || !tables.ZoneOutOfService("b") {
		t.Error("want zone b out of service and zone a in service")
	}
}

// TestDiff guards against a change that Diff does not show.
func TestDiff(t *testing.T) {
	forEachArchive(t, "diff", func(t *testing.T, file func(string) []byte) string {
		load := func(routes, pools string) *Tables {
			tables, err := Load(routes, dataOrDefault(t, file(routes), "routes.yaml"), pools, dataOrDefault(t, file(pools), "pools.yaml"))
			if err != nil {
				t.Fatal(err)
			}
			return tables
		}
		var b strings.Builder
		for _, change := range Diff(load("old/routes.yaml", "old/pools.yaml"), load("new/routes.yaml", "new/pools.yaml")) {
			fmt.Fprintf(&b, "%s %s\n", change.Kind, change)
		}
		return b.String()
	})
}

func dataOrDefault(t *testing.T, data []byte, name string) []byte {
	if data == nil {
		return readFile(t, name)
	}
	return data
}

// TestDiffNilTables guards against a first publication that shows no changes, and against a
// panic on nil tables.
func TestDiffNilTables(t *testing.T) {
	tables := loadTables(t)
	countKinds := func(changes []Change) map[ChangeKind]int {
		counts := map[ChangeKind]int{}
		for _, c := range changes {
			counts[c.Kind]++
		}
		return counts
	}
	if diff := cmp.Diff(map[ChangeKind]int{RouteAdded: 1, WorkspaceAdded: 1, PoolAdded: 2, UpstreamAdded: 3}, countKinds(Diff(nil, tables))); diff != "" {
		t.Errorf("changes from nil tables (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[ChangeKind]int{RouteRemoved: 1, WorkspaceRemoved: 1, PoolRemoved: 2, UpstreamRemoved: 3}, countKinds(Diff(tables, nil))); diff != "" {
		t.Errorf("changes to nil tables (-want +got):\n%s", diff)
	}
	if changes := Diff(tables, loadTables(t)); len(changes) != 0 {
		t.Errorf("unexpected differences between equal tables: %v", changes)
	}
}
