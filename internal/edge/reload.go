package edge

import (
	"reflect"

	"go.uber.org/zap"
)

// settingField is one setting that a reload compares.
type settingField struct {
	// name is the name in logs, which docs/settings.md maps to the fields of the settings file.
	name  string
	value func(*Settings) any
	// apply copies the setting; nil if a change takes effect only at the next start.
	apply func(to, from *Settings)
}

// settingFields lists all settings. Addresses, ports and names identify the VM to others or
// are bound to sockets; the capacity and the bandwidth are part of the VM's entry in the directories of others.
var settingFields = []settingField{
	{"VM name", func(s *Settings) any { return s.VM }, nil},
	{"zone", func(s *Settings) any { return s.Zone }, nil},
	{"IP address", func(s *Settings) any { return s.IP }, nil},
	{"listen address", func(s *Settings) any { return s.Listen }, nil},
	{"readiness address", func(s *Settings) any { return s.ReadyListen }, nil},
	{"peer address", func(s *Settings) any { return s.PeerListen }, nil},
	{"gossip port", func(s *Settings) any { return s.GossipPort }, nil},
	{"metrics port", func(s *Settings) any { return s.MetricsPort }, nil},
	{"store address", func(s *Settings) any { return s.Store }, nil},
	{"descriptors", func(s *Settings) any { return s.MaxDescriptors }, nil},
	{"CPU capacity", func(s *Settings) any { return s.Capacity }, nil},
	{"link bandwidth", func(s *Settings) any { return s.LinkMbps }, nil},
	{"seeds", func(s *Settings) any { return s.Seeds }, func(to, from *Settings) { to.Seeds = from.Seeds }},
	{"seed lag", func(s *Settings) any { return s.SeedLag }, func(to, from *Settings) { to.SeedLag = from.SeedLag }},
	{"memory", func(s *Settings) any { return s.MemoryBytes }, func(to, from *Settings) { to.MemoryBytes = from.MemoryBytes }},
	{"grace period", func(s *Settings) any { return s.GracePeriod }, func(to, from *Settings) { to.GracePeriod = from.GracePeriod }},
	{"key revocation timeout", func(s *Settings) any { return s.KeyRevocationTimeout }, func(to, from *Settings) { to.KeyRevocationTimeout = from.KeyRevocationTimeout }},
	{"retry ratio", func(s *Settings) any { return s.RetryRatio }, func(to, from *Settings) { to.RetryRatio = from.RetryRatio }},
	{"retry burst", func(s *Settings) any { return s.RetryBurst }, func(to, from *Settings) { to.RetryBurst = from.RetryBurst }},
	{"retry window", func(s *Settings) any { return s.RetryWindow }, func(to, from *Settings) { to.RetryWindow = from.RetryWindow }},
	{"drain time", func(s *Settings) any { return s.DrainTime }, func(to, from *Settings) { to.DrainTime = from.DrainTime }},
	{"cold rate factor", func(s *Settings) any { return s.ColdRateFactor }, func(to, from *Settings) { to.ColdRateFactor = from.ColdRateFactor }},
	{"cold rate burst", func(s *Settings) any { return s.ColdRateBurst }, func(to, from *Settings) { to.ColdRateBurst = from.ColdRateBurst }},
}

// Reload applies the settings that may change while the server runs, and logs each change and each
// setting that takes effect only at the next start. Invalid settings are ignored and returned as
// an error. It returns the settings in force.
func (s *Server) Reload(next Settings) (Settings, error) {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	old := *s.inForce.Load()
	if err := next.Validate(); err != nil {
		return old, err
	}
	current := old
	for _, field := range settingFields {
		from, to := field.value(&old), field.value(&next)
		if reflect.DeepEqual(from, to) {
			continue
		}
		detail := []zap.Field{zap.String("setting", field.name), zap.Any("from", from), zap.Any("to", to)}
		if field.apply == nil {
			s.logger.Warn("setting changed; it takes effect at the next start", detail...)
			continue
		}
		field.apply(&current, &next)
		s.logger.Info("setting changed", detail...)
	}
	s.inForce.Store(&current)
	s.gossip.configure(&current)
	s.signals.setDrain(current.DrainTime)
	s.recentTables.setDrain(current.DrainTime)
	s.updateShares()
	return current, nil
}
