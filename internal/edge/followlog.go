package edge

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// updateSource says where an update of the published items comes from.
type updateSource string

const (
	fromStore updateSource = "store"
	fromPeer  updateSource = "peer"
	// fromClock ends what was kept for a time.
	fromClock updateSource = "clock"
)

// positionField has the era and the revision as fields of a log line.
func positionField(at replica.Position) zap.Field {
	return zap.Inline(positionFields(at))
}

type positionFields replica.Position

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p positionFields) MarshalLogObject(out zapcore.ObjectEncoder) error {
	out.AddUint64("era", p.Era)
	out.AddUint64("revision", p.Revision)
	return nil
}

// logUpdate logs the decisions of an update.
func (f *follower) logUpdate(update published.Update, from updateSource) {
	for _, d := range update.Decisions {
		f.logDecision(d)
	}
	if c := update.NewEra; c != nil {
		f.logger.Info("era of the store changed", positionField(c.To), zap.Uint64("era_before", c.From.Era), zap.Uint64("revision_before", c.From.Revision),
			zap.String("source", string(from)), zap.Int64("kept_version", c.KeptConfiguration), zap.Int("upstreams_stale", c.Stale),
			zap.Int("upstreams_withheld", c.Withheld), zap.Int("upstreams_missing", c.Missing), zap.Int("zones_kept", c.KeptZones))
	}
}

func (f *follower) logDecision(d published.Decision) {
	at := positionField(replica.Position{Era: f.state.Position().Era, Revision: d.Item.Revision})
	if d.Verdict == published.Malformed {
		message := "published item ignored"
		if d.Item.Deleted {
			message = "removed item ignored"
		}
		f.logger.Warn(message, zap.String("key", d.Item.Key), at, obs.ErrorField(d.Err))
		return
	}
	switch value := d.Value.(type) {
	case *catalog.Catalog:
		f.logConfiguration(value, d, at)
	case *catalog.Upstream:
		f.logUpstream(value, d.Verdict, at)
	case catalog.ZoneOut:
		f.logger.Info(zoneMessages[d.Verdict], zap.String("zone", string(value)), at)
	}
}

// zoneMessages holds the message for each verdict on a zone.
var zoneMessages = map[published.Verdict]string{
	published.Applied: "zone out of service", published.Removed: "zone back in service",
	published.Kept: "zone stays out of service", published.Expired: "zone back in service: the store has not listed it again",
}

func (f *follower) logConfiguration(value *catalog.Catalog, d published.Decision, at zap.Field) {
	if d.Verdict == published.NotNewer {
		f.logger.Warn("configuration ignored: its version is not newer",
			zap.Int64("version", value.Version), zap.Int64("in_force", f.state.Configuration().Version), at)
		return
	}
	message := "configuration in force"
	if d.Verdict == published.Kept {
		message = "configuration in force: a peer has kept it from an earlier era"
	}
	f.logger.Info(message, zap.Int64("version", value.Version), at, zap.Int("routes", len(value.Routes)), zap.Int("bytes", len(d.Item.Value)))
}

func (f *follower) logUpstream(value *catalog.Upstream, verdict published.Verdict, at zap.Field) {
	if verdict == published.Removed {
		f.logger.Info("upstream entry removed", zap.String("upstream", value.ID), at)
		return
	}
	message := "upstream registered"
	switch verdict {
	case published.StaleEntry:
		message = "upstream entry ignored: it is older than the known one"
	case published.WithheldEntry:
		message = "upstream entry withheld: the upstream was removed"
	case published.ReportedLeaving:
		message = "upstream leaves, as a VM of an older version reports"
	case published.ReleasedEntry:
		message = "upstream registered: its withheld entry has stayed in the store"
	}
	f.logger.Info(message, zap.String("upstream", value.ID), zap.String("pool", value.Pool),
		zap.String("address", value.Address), zap.Bool("draining", value.Draining), zap.Duration("cold_left", value.ColdRemaining), at)
}
