package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/edge"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/platform"
)

const settingsText = `{"node": "front-a-1", "ip": "127.0.0.1", "zone": "a",
 "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0", "control": "127.0.0.1:1"},
 "port_range": [%d, %d], "seeds": [%q], "limits": {"memory_mb": %d}, "platform": {"address": "127.0.0.1:2"}}`

// TestChangedSettingsFileIsApplied guards against a reload that reads the changed file and drops what
// it says, and against a memory limit that stays that of the start.
func TestChangedSettingsFileIsApplied(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	port := 20_000 + os.Getpid()%20_000
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(seed string, memoryMB int) {
		if err := os.WriteFile(path, fmt.Appendf(nil, settingsText, port, port+1, seed, memoryMB), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("127.0.0.2:1", 200)
	file, settings, err := platform.OpenSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	client := outbound.NewClient(settings.IP)
	core, logs := observer.New(zap.InfoLevel)
	server, err := edge.New(edge.Options{
		Settings: settings, Source: platform.NewStore(settings.Store, client), Decode: platform.Decode, Dialect: platform.Dialect{},
		Client: client, Now: bootclock.Now, Logger: zap.New(core), Failures: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &reloader{file: file, server: server, logger: zap.New(core)}
	if r.check() {
		t.Error("the unchanged file was applied")
	}
	write("127.0.0.3:1", 100)
	if !r.check() {
		t.Error("the changed file was not applied")
	}
	if got := debug.SetMemoryLimit(-1); got >= 100<<20 {
		t.Errorf("the memory limit is %d bytes on a VM of 100 MB", got)
	}
	if got := logs.FilterMessage("setting changed").Len(); got != 2 {
		t.Errorf("%d changes logged, want those of the seeds and the memory", got)
	}
}
