package edge

import (
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

// startWithDeadSeeds starts VMs whose only seed does not exist, so that none finds another.
func startWithDeadSeeds(t *testing.T, n int, change func(*Settings)) *testFleet {
	t.Helper()
	return startFleet(t, n, func(s *Settings) {
		s.Seeds = []string{joinHostPort("127.200.0.1", testPeerPort)}
		if change != nil {
			change(s)
		}
	})
}

// TestReloadedSeedsAreUsed guards against VMs that ask dead seeds for ever although the platform
// gave them new ones.
func TestReloadedSeedsAreUsed(t *testing.T) {
	f := startWithDeadSeeds(t, 3, nil)
	seed := f.servers[0].settings.PeerListen
	for _, s := range f.servers {
		settings := s.settings
		settings.Seeds = []string{seed}
		if _, err := s.Reload(settings); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "all VMs find each other", func() bool {
		for _, s := range f.servers {
			if len(s.gossip.reachable()) != len(f.servers)-1 || s.gossip.size().rates != len(f.servers) {
				return false
			}
		}
		return true
	})
}

// TestVMWithDeadSeedsIsCautious guards against a VM that found no other one and uses the limits of
// the whole fleet alone, although its seeds name others.
func TestVMWithDeadSeedsIsCautious(t *testing.T) {
	f := startWithDeadSeeds(t, 1, nil)
	s := f.servers[0]
	if got := s.gossip.size().rates; got != fleet.UnknownFleetSize {
		t.Errorf("rates are divided by %d, want %d", got, fleet.UnknownFleetSize)
	}
	await(t, "the connections are divided too", func() bool { return s.connectionDivisor.Load() == fleet.UnknownFleetSize })
	settings := s.settings
	settings.Seeds = []string{settings.PeerListen}
	if _, err := s.Reload(settings); err != nil {
		t.Fatal(err)
	}
	if got := s.gossip.size(); got.rates != 1 || s.connectionDivisor.Load() != 1 {
		t.Errorf("rates are divided by %d and connections by %d after its seeds name only itself, want 1", got.rates, s.connectionDivisor.Load())
	}
}

// TestReloadAppliesAndLogsChanges guards against a changed setting that has no effect and of which
// the log says nothing.
func TestReloadAppliesAndLogsChanges(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	f := startFleetWith(t, 1, nil, func(s *Server) { s.logger = zap.New(core) })
	s := f.servers[0]
	next := s.settings
	next.VM, next.Store, next.GracePeriod, next.RetryRatio = "other", "127.0.0.1:9", 5*time.Second, 0.1
	current, err := s.Reload(next)
	if err != nil {
		t.Fatal(err)
	}
	if current.GracePeriod != 5*time.Second || current.RetryRatio != 0.1 || current.VM != s.settings.VM || current.Store != s.settings.Store {
		t.Errorf("settings in force: %+v", current)
	}
	logged := map[string]string{}
	for _, entry := range logs.All() {
		if setting, ok := entry.ContextMap()["setting"].(string); ok {
			logged[setting] = entry.Message
		}
	}
	const applied, atStart = "setting changed", "setting changed; it takes effect at the next start"
	want := map[string]string{"VM name": atStart, "store address": atStart, "grace period": applied, "retry ratio": applied}
	if !reflect.DeepEqual(logged, want) {
		t.Errorf("logged %v, want %v", logged, want)
	}
	next.ReadyListen = ""
	if current, err := s.Reload(next); err == nil || current.ReadyListen != s.settings.ReadyListen {
		t.Errorf("invalid settings: error %v", err)
	}
}

// TestReloadComparesAllSettings guards against a setting that is added without a decision whether it
// may change at run time.
func TestReloadComparesAllSettings(t *testing.T) {
	if got, want := len(settingFields), reflect.TypeFor[Settings]().NumField(); got != want {
		t.Errorf("a reload compares %d settings of %d", got, want)
	}
}
