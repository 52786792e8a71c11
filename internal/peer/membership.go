package peer

import (
	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// FromMembershipProbe converts a probe of a process that exchanges membership alone.
func FromMembershipProbe(p membership.Probe) *hoistv1.ProbeRequest {
	return fromProbe(control.Probe{Probe: p})
}

// ToMembershipProbe converts a probe to the process with the name self.
func ToMembershipProbe(self string, r *hoistv1.ProbeRequest) membership.Probe {
	return toProbe(self, r).Probe
}

// FromMembershipAck converts an answer to a probe.
func FromMembershipAck(a membership.Ack) *hoistv1.ProbeResponse { return fromAck(control.Ack{Ack: a}) }

// ToMembershipAck converts an answer to a probe of the process with the name self.
func ToMembershipAck(self string, r *hoistv1.ProbeResponse) membership.Ack { return toAck(self, r).Ack }
