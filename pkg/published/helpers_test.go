package published

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// Keys of the test's store.
const (
	configKey  = "config"
	zonePrefix = "zone/"
	upPrefix   = "u/"
)

var errMalformed = errors.New("malformed value of the test")

// decodeTest decodes the values that configValue and upstreamValue write.
func decodeTest(key string, value []byte) (any, error) {
	if zone, ok := strings.CutPrefix(key, zonePrefix); ok {
		return catalog.ZoneOut(zone), nil
	}
	if key == configKey && value != nil {
		c := &catalog.Catalog{}
		if _, err := fmt.Sscanf(string(value), "version %d", &c.Version); err != nil {
			return nil, errMalformed
		}
		return c, nil
	}
	id, isUpstream := strings.CutPrefix(key, upPrefix)
	if !isUpstream {
		return nil, nil
	}
	u := &catalog.Upstream{ID: id, Pool: "p", Zone: "a"}
	if value == nil {
		return u, nil
	}
	if _, err := fmt.Sscanf(string(value), "start %d sequence %d draining %t", &u.StartID, &u.Sequence, &u.Draining); err != nil {
		return nil, errMalformed
	}
	return u, nil
}

func configValue(version int64) []byte { return fmt.Appendf(nil, "version %d", version) }

func upstreamValue(start, sequence int64, draining bool) []byte {
	return fmt.Appendf(nil, "start %d sequence %d draining %t", start, sequence, draining)
}

func configItem(version int64, revision uint64) replica.Item {
	return replica.Item{Key: configKey, Value: configValue(version), Revision: revision}
}

func upstreamItem(id string, start, sequence int64, draining bool, revision uint64) replica.Item {
	return replica.Item{Key: upPrefix + id, Value: upstreamValue(start, sequence, draining), Revision: revision}
}

func removed(key string, revision uint64) replica.Item {
	return replica.Item{Key: key, Revision: revision, Deleted: true}
}

func at(ms int64) clock.Instant { return clock.Instant(time.Duration(ms) * time.Millisecond) }

func pos(era, revision uint64) replica.Position {
	return replica.Position{Era: era, Revision: revision}
}

// stateOf returns the state of the upstreams: "ready" or "draining" by ID.
func stateOf(s *State) map[string]string {
	out := map[string]string{}
	for _, entry := range s.Upstreams() {
		out[entry.ID] = "ready"
		if entry.Draining {
			out[entry.ID] = "draining"
		}
	}
	return out
}
