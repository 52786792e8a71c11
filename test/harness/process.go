package harness

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// exitTimeout limits the wait for a process to exit.
const exitTimeout = 60 * time.Second

// process is a started program.
type process struct {
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
	exitErr error
}

// cmdStart starts processes by name: platform, upstreams (all upstreams that were not
// started separately), an upstream, agent-VM, gateway-VM, vms (all agents and gateways) or
// all. It does not wait until they are ready; use await.
func (s *scenario) cmdStart(_ *testscript.TestScript, names []string) error {
	if s.deployment == nil {
		return errors.New("no deployment; run the deployment command first")
	}
	for _, name := range s.expandProcessNames(names) {
		if err := s.startProcess(name); err != nil {
			return errors.Wrapf(err, "start %s", name)
		}
	}
	return nil
}

func (s *scenario) expandProcessNames(names []string) []string {
	var all []string
	for _, name := range names {
		switch name {
		case "all":
			all = append(all, s.expandProcessNames([]string{"platform", "upstreams", "vms"})...)
		case "vms":
			for _, vm := range s.deployment.vms {
				all = append(all, "agent-"+vm.Name, "gateway-"+vm.Name)
			}
		default:
			all = append(all, name)
		}
	}
	return all
}

func (s *scenario) startProcess(name string) error {
	routes, pools := s.path("routes.yaml"), s.path("pools.yaml")
	switch {
	case name == "platform":
		return s.spawn(name, "hoist-standin", "platform", "--listen", s.deployment.platformAddress,
			"--routes", routes, "--pools", pools, "--vms", s.path("vms.yaml"))
	case name == "upstreams":
		args := []string{"upstreams", "--routes", routes, "--pools", pools}
		for _, started := range s.processNames() {
			args = append(args, "--except", started)
		}
		return s.spawn(name, "hoist-standin", args...)
	case strings.HasPrefix(name, "agent-"):
		return s.spawn(name, "hoist-agent", "--settings", s.path(strings.TrimPrefix(name, "agent-")+"/agent.yaml"))
	case strings.HasPrefix(name, "gateway-"):
		return s.spawn(name, "hoist-gateway", "--settings", s.path(strings.TrimPrefix(name, "gateway-")+"/gateway.yaml"))
	}
	if _, err := s.deployment.upstream(name); err != nil {
		return err
	}
	return s.spawn(name, "hoist-standin", "upstreams", "--routes", routes, "--pools", pools, "--only", name)
}

func (s *scenario) spawn(name, program string, args ...string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if running := s.processes[name]; running != nil && running.isRunning() {
		return errors.Newf("%s is already running", name)
	}
	p, err := s.startProgram(name, program, args...)
	if err != nil {
		return err
	}
	s.processes[name] = p
	return nil
}

// startProgram starts a program and appends its output to logs/NAME.log.
func (s *scenario) startProgram(name, program string, args ...string) (*process, error) {
	if err := os.MkdirAll(s.path("logs"), 0o755); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(s.path("logs/"+name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(s.harness.binDir, program), args...)
	cmd.Dir = s.workDir
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The kernel kills the child if the test process exits without cleaning up.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, logPath: logFile.Name(), exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// cmdTerminate sends SIGTERM and waits until the process exits with status 0. With -nowait
// it returns at once; a later terminate waits for the exit.
func (s *scenario) cmdTerminate(_ *testscript.TestScript, args []string) error {
	wait := true
	if len(args) > 0 && args[0] == "-nowait" {
		wait, args = false, args[1:]
	}
	for _, name := range args {
		p, err := s.startedProcess(name)
		if err != nil {
			return err
		}
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		if !wait {
			continue
		}
		if err := p.wait(); err != nil {
			return errors.Wrapf(err, "exit of %s after SIGTERM", name)
		}
	}
	return nil
}

func (s *scenario) cmdSigkill(_ *testscript.TestScript, args []string) error {
	return s.signal(args, syscall.SIGKILL)
}

func (s *scenario) cmdPause(_ *testscript.TestScript, args []string) error {
	return s.signal(args, syscall.SIGSTOP)
}

func (s *scenario) cmdResume(_ *testscript.TestScript, args []string) error {
	return s.signal(args, syscall.SIGCONT)
}

func (s *scenario) signal(names []string, signal syscall.Signal) error {
	for _, name := range names {
		p, err := s.startedProcess(name)
		if err != nil {
			return err
		}
		if err := p.cmd.Process.Signal(signal); err != nil {
			return errors.Wrap(err, name)
		}
		if signal == syscall.SIGKILL {
			_ = p.wait()
		}
	}
	return nil
}

func (s *scenario) startedProcess(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.processes[name]; p != nil {
		return p, nil
	}
	return nil, errors.Newf("process %s was not started", name)
}

// processNames returns the sorted names of all started processes.
func (s *scenario) processNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.processes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) wait() error {
	timer := time.NewTimer(exitTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		return p.exitErr
	case <-timer.C:
		return errors.Newf("still running after %v", exitTimeout)
	}
}

func (s *scenario) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, processes := range []map[string]*process{s.processes, s.loads} {
		for _, p := range processes {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// logTails writes the end of each process log to the test log.
func (s *scenario) logTails(ts *testscript.TestScript) {
	const maxBytes = 20000
	for _, name := range s.processNames() {
		data, err := os.ReadFile(s.path("logs/" + name + ".log"))
		if err != nil || len(bytes.TrimSpace(data)) == 0 {
			continue
		}
		ts.Logf("--- log of %s\n%s", name, data[max(0, len(data)-maxBytes):])
	}
}
