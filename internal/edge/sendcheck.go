package edge

import (
	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// Names of calls in the metric of those that were withheld.
const (
	requestSend = "request_send"
	stageCall   = "stage_call"
)

// checkRegistration returns an error that is errWithheld if the tables say now that an upstream which was chosen takes
// no work any more. Without tables nothing speaks against it. The call is counted under its name.
func (s *upstreamSignals) checkRegistration(view *View, chosen *registry.Entry, call string) error {
	if view == nil {
		return nil
	}
	verdict := registry.CheckSend(chosen, view.ByID[chosen.ID], view.ZonesOut[chosen.Zone])
	if verdict == registry.SendAllowed {
		return nil
	}
	s.metrics.callsWithheld.WithLabelValues(call).Inc()
	return errors.Wrapf(errWithheld, "%s since it was chosen", verdict)
}
