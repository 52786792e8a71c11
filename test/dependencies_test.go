package test

import (
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestDependenciesAreExplained guards against a direct dependency without a row in
// docs/dependencies.md, and against a row for a removed dependency.
func TestDependenciesAreExplained(t *testing.T) {
	out, err := exec.Command("go", "mod", "edit", "-json", "../go.mod").Output()
	if err != nil {
		t.Fatalf("go mod edit: %v", err)
	}
	var module struct {
		Require []struct {
			Path     string
			Indirect bool
		}
	}
	if err := json.Unmarshal(out, &module); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/dependencies.md")
	if err != nil {
		t.Fatal(err)
	}
	explained := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if cells := strings.Split(line, "`"); strings.HasPrefix(line, "| `") && len(cells) > 2 {
			explained[cells[1]] = true
		}
	}
	for _, required := range module.Require {
		if required.Indirect {
			continue
		}
		if !explained[required.Path] {
			t.Errorf("direct dependency %s has no row", required.Path)
		}
		delete(explained, required.Path)
	}
	for path := range explained {
		t.Errorf("%s has a row but is not a direct dependency", path)
	}
}
