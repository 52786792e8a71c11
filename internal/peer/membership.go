package peer

import (
	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// FromProbe converts a probe of a process that exchanges membership alone.
func FromProbe(p membership.Probe) *hoistv1.ProbeRequest {
	return fromProbe(control.Probe{Probe: p})
}

// ToProbe converts a probe to the process with the name self.
func ToProbe(self string, r *hoistv1.ProbeRequest) membership.Probe { return toProbe(self, r).Probe }

// FromAck converts an answer to a probe.
func FromAck(a membership.Ack) *hoistv1.ProbeResponse { return fromAck(control.Ack{Ack: a}) }

// ToAck converts an answer to a probe of the process with the name self.
func ToAck(self string, r *hoistv1.ProbeResponse) membership.Ack { return toAck(self, r).Ack }
