// Package test contains end-to-end tests and checks of the source tree.
package test

import (
	"os/exec"
	"strings"
	"testing"
)

// TestPublicPackagesDoNoIO guards against a package under pkg that imports a network or
// transport package: a simulation could not drive such a package.
func TestPublicPackagesDoNoIO(t *testing.T) {
	forbidden := map[string]bool{
		"net": true, "net/http": true,
		"github.com/valyala/fasthttp": true, "google.golang.org/grpc": true,
	}
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "../pkg/...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		for _, imported := range fields[1:] {
			if forbidden[imported] {
				t.Errorf("%s imports %s, which performs I/O", fields[0], imported)
			}
		}
	}
}
