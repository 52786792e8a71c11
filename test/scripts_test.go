package test

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hornbeamhoist/hornbeamhoist/test/harness"
)

// maxParallelScripts limits the number of deployments that run at the same time.
const maxParallelScripts = 4

// TestScripts runs the scenario scripts in testdata/script with the real programs.
func TestScripts(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	h, err := harness.New(root, t.TempDir(), maxParallelScripts)
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: h.Setup,
		Cmds:  h.Commands(),
	})
}
