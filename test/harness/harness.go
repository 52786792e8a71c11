// Package harness provides the testscript commands that run the real programs in the
// scenario scripts. The commands are described in test/README.md.
package harness

import (
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// Harness is the state that all scripts of a test run share.
type Harness struct {
	binDir      string
	moduleRoot  string
	scriptSlots chan struct{}
}

// scenarioKey is the key of a script's scenario in testscript.Env.Values.
type scenarioKey struct{}

// New builds the programs of the module at moduleRoot into binDir. At most maxParallel
// scripts run at the same time.
func New(moduleRoot, binDir string, maxParallel int) (*Harness, error) {
	build := exec.Command("go", "build", "-o", binDir, "./cmd/...")
	build.Dir = moduleRoot
	if out, err := build.CombinedOutput(); err != nil {
		return nil, errors.Wrapf(err, "build: %s", out)
	}
	return &Harness{binDir: binDir, moduleRoot: moduleRoot, scriptSlots: make(chan struct{}, maxParallel)}, nil
}

// Setup prepares the environment of one script. It waits for a free slot.
func (h *Harness) Setup(env *testscript.Env) error {
	h.scriptSlots <- struct{}{}
	s := &scenario{
		harness:         h,
		workDir:         env.WorkDir,
		processes:       map[string]*process{},
		loads:           map[string]*process{},
		backgroundSends: map[string]*backgroundSend{},
	}
	env.Values[scenarioKey{}] = s
	env.Setenv("PATH", h.binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
	env.Setenv("EXAMPLES", filepath.Join(h.moduleRoot, "examples"))
	env.Defer(func() {
		s.killAll()
		if s.network != nil {
			s.network.stop()
		}
		<-h.scriptSlots
	})
	return nil
}

// Commands returns the commands that the harness adds to testscript.
func (h *Harness) Commands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]func(*scenario, *testscript.TestScript, []string) error{
		"deployment": (*scenario).cmdDeployment,
		"start":      (*scenario).cmdStart,
		"terminate":  (*scenario).cmdTerminate,
		"sigkill":    (*scenario).cmdSigkill,
		"pause":      (*scenario).cmdPause,
		"resume":     (*scenario).cmdResume,
		"await":      (*scenario).cmdAwait,
		"send":       (*scenario).cmdSend,
		"sent":       (*scenario).cmdSent,
		"load":       (*scenario).cmdLoad,
		"platform":   (*scenario).cmdPlatform,
		"upstream":   (*scenario).cmdUpstream,
		"network":    (*scenario).cmdNetwork,
	}
	wrapped := map[string]func(*testscript.TestScript, bool, []string){}
	for name, command := range commands {
		wrapped[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(scenarioKey{}).(*scenario)
			err := command(s, ts, args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded, expected a failure", name)
			case neg:
				ts.Logf("[%s failed as expected: %v]", name, err)
			case err != nil:
				s.logTails(ts)
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return wrapped
}

// scenario is the state of one script.
type scenario struct {
	harness *Harness
	workDir string

	deployment *deployment
	network    *network

	mu              sync.Mutex
	processes       map[string]*process
	loads           map[string]*process
	backgroundSends map[string]*backgroundSend
}
