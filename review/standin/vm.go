package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program that the deploy file runs, from the root of the repository.
const program = "target/hoist-edge"

// vm is one machine of the system with its process.
type vm struct {
	scene *scene
	name  string
	zone  string
	ip    string

	mu    sync.Mutex
	seeds []string
	cmd   *exec.Cmd
	done  chan struct{}
}

// addVM adds a machine that is not started yet.
func (s *scene) addVM(n int, zone string) *vm {
	v := &vm{scene: s, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: s.ip(n)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, v)
	return v
}

func (v *vm) frontAddress() string   { return fmt.Sprint(v.ip, ":", v.scene.ports.front) }
func (v *vm) controlAddress() string { return fmt.Sprint(v.ip, ":", v.scene.ports.control) }

func (v *vm) settingsPath() string { return filepath.Join(v.scene.dir, v.name+".json") }

// writeSettings writes the settings file with the given seeds, as the platform does.
func (v *vm) writeSettings(seeds []string) {
	p := v.scene.ports
	v.mu.Lock()
	v.seeds = seeds
	v.mu.Unlock()
	settings := mustJSON(map[string]any{
		"node": v.name, "role": "edge", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": v.ip, "zone": v.zone, "region": "pt-sul",
		"zones":      map[string]string{"sines": "pt-sul", "leixoes": "pt-sul", "aveiras": "pt-sul"},
		"listen":     map[string]string{"front": v.frontAddress(), "ready": fmt.Sprint(v.ip, ":", p.ready), "control": v.controlAddress()},
		"port_range": []int{p.first, p.last}, "seeds": seeds, "bootstrap": true, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "stages"},
		"tolerate":  map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": stableWindow.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "fail_closed": true, "revoke_ms": 5000,
			"retry_budget": 0.2, "budget_window_s": 10, "budget_slack": 54, "cold_overage": coldOverage, "cold_slack": coldSlack, "evacuate_ms": 5000,
			"recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10,
		},
		"platform": map[string]any{
			"address": v.scene.store.address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	})
	require(os.WriteFile(v.settingsPath(), settings, 0o600))
}

// Bounds of the settings, as on the operators' sheets.
const (
	heartbeat    = 1200 * time.Millisecond
	stableWindow = 3 * time.Second
	seedLag      = 3 * time.Second
	coldOverage  = 1.5
	coldSlack    = 5.0
)

// start starts the process of the machine.
func (v *vm) start() {
	log, err := os.OpenFile(filepath.Join(v.scene.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require(err)
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), wire.SettingsVariable+"="+v.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	require(cmd.Start())
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait() // A killed process returns an error.
		close(done)
	}()
	v.scene.log("%s started, seeds %s", v.name, strings.Join(v.seeds, " "))
}

// kill ends the process with SIGKILL and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(signal) // The process may have ended.
	}
}

// awaitReady waits until the readiness checks of all machines succeed.
func awaitReady(vms ...*vm) {
	client := http.Client{Timeout: 500 * time.Millisecond}
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range vms {
		for {
			response, err := client.Get(fmt.Sprint("http://", v.ip, ":", v.scene.ports.ready, "/ready"))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				require(fmt.Errorf("%s is not ready", v.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
