package peer

import (
	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// FromMembershipProbe converts a probe that carries only membership updates to a message.
func FromMembershipProbe(p membership.Probe) *hoistv1.ProbeRequest {
	return fromProbe(control.Probe{Probe: p})
}

// ToMembershipProbe converts a message that self received to a probe.
func ToMembershipProbe(self string, r *hoistv1.ProbeRequest) membership.Probe {
	return toProbe(self, r).Probe
}

// FromMembershipAck converts the response to a probe to a message.
func FromMembershipAck(a membership.Ack) *hoistv1.ProbeResponse { return fromAck(control.Ack{Ack: a}) }

// ToMembershipAck converts a message that self received to the response to its probe.
func ToMembershipAck(self string, r *hoistv1.ProbeResponse) membership.Ack { return toAck(self, r).Ack }
