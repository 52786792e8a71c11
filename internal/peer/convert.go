package peer

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/gossip"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// maxWireDuration limits received durations so that arithmetic on them cannot overflow.
const maxWireDuration = 365 * 24 * time.Hour

func toMillis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

func fromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxWireDuration/time.Millisecond))) * time.Millisecond
}

// FromUpdate converts a membership update to a message.
func FromUpdate(u membership.Update) *hoistv1.MemberUpdate {
	return &hoistv1.MemberUpdate{Vm: u.VM, Incarnation: uint64(u.Incarnation), Status: FromStatus(u.Status)}
}

// FromStatus converts the status of a member to its enum value.
func FromStatus(status membership.Status) hoistv1.MemberStatus {
	switch status {
	case membership.Alive:
		return hoistv1.MemberStatus_MEMBER_STATUS_ALIVE
	case membership.Suspect:
		return hoistv1.MemberStatus_MEMBER_STATUS_SUSPECT
	default:
		return hoistv1.MemberStatus_MEMBER_STATUS_UNREACHABLE
	}
}

func fromUpdates(updates []membership.Update) []*hoistv1.MemberUpdate {
	out := make([]*hoistv1.MemberUpdate, 0, len(updates))
	for _, u := range updates {
		out = append(out, FromUpdate(u))
	}
	return out
}

// toUpdates skips updates with a status that this version does not know.
func toUpdates(updates []*hoistv1.MemberUpdate) []membership.Update {
	out := make([]membership.Update, 0, len(updates))
	for _, u := range updates {
		update := membership.Update{VM: u.GetVm(), Incarnation: membership.Incarnation(u.GetIncarnation())}
		switch u.GetStatus() {
		case hoistv1.MemberStatus_MEMBER_STATUS_ALIVE:
			update.Status = membership.Alive
		case hoistv1.MemberStatus_MEMBER_STATUS_SUSPECT:
			update.Status = membership.Suspect
		case hoistv1.MemberStatus_MEMBER_STATUS_UNREACHABLE:
			update.Status = membership.Unreachable
		default:
			continue
		}
		out = append(out, update)
	}
	return out
}

// FromSuspects converts suspects to messages.
func FromSuspects(suspects []gossip.Suspect) []*hoistv1.Suspect {
	out := make([]*hoistv1.Suspect, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, &hoistv1.Suspect{
			Fingerprint: s.Fingerprint[:], Upstreams: s.Upstreams, TtlMs: toMillis(s.TTL),
		})
	}
	return out
}

// ToSuspects converts messages to suspects. It skips malformed fingerprints.
func ToSuspects(suspects []*hoistv1.Suspect) []gossip.Suspect {
	out := make([]gossip.Suspect, 0, len(suspects))
	for _, s := range suspects {
		if len(s.GetFingerprint()) != len(gossip.Fingerprint{}) {
			continue
		}
		out = append(out, gossip.Suspect{
			Fingerprint: gossip.Fingerprint(s.GetFingerprint()), Upstreams: s.GetUpstreams(), TTL: fromMillis(s.GetTtlMs()),
		})
	}
	return out
}

// FromWarmth converts warmth reports to messages.
func FromWarmth(reports []gossip.Warmth) []*hoistv1.Warmth {
	out := make([]*hoistv1.Warmth, 0, len(reports))
	for _, w := range reports {
		out = append(out, &hoistv1.Warmth{
			Upstream: w.Upstream, Reporter: w.Reporter, Sequence: w.Sequence,
			Successes: w.Successes, Cold: w.Cold, AgeMs: toMillis(w.Age),
		})
	}
	return out
}

// ToWarmth converts messages to warmth reports.
func ToWarmth(reports []*hoistv1.Warmth) []gossip.Warmth {
	out := make([]gossip.Warmth, 0, len(reports))
	for _, w := range reports {
		out = append(out, gossip.Warmth{
			Upstream: w.GetUpstream(), Reporter: w.GetReporter(), Sequence: w.GetSequence(),
			Successes: w.GetSuccesses(), Cold: w.GetCold(), Age: fromMillis(w.GetAgeMs()),
		})
	}
	return out
}

func fromGossip(updates []membership.Update, g control.Gossip) *hoistv1.Gossip {
	out := &hoistv1.Gossip{
		Members: fromUpdates(updates), Suspects: FromSuspects(g.Suspects), Warmth: FromWarmth(g.Warmth),
	}
	for _, advertisement := range g.Advertisements {
		revision := &hoistv1.TableRevision{
			Name: string(advertisement.Name), Revision: advertisement.InForce, Newest: advertisement.Newest,
			Confirmed: advertisement.Confirmed, ConfirmedAgeMs: toMillis(advertisement.Age),
		}
		if advertisement.InForce > 0 {
			revision.Sha256 = advertisement.Digest[:]
		}
		out.InForce = append(out.InForce, revision)
	}
	return out
}

func toGossip(g *hoistv1.Gossip) control.Gossip {
	out := control.Gossip{Suspects: ToSuspects(g.GetSuspects()), Warmth: ToWarmth(g.GetWarmth())}
	for _, r := range g.GetInForce() {
		advertisement := configuration.Advertisement{
			Name: configuration.Name(r.GetName()), InForce: r.GetRevision(), Newest: r.GetNewest(),
			Confirmed: r.GetConfirmed(), Age: fromMillis(r.GetConfirmedAgeMs()),
		}
		copy(advertisement.Digest[:], r.GetSha256())
		out.Advertisements = append(out.Advertisements, advertisement)
	}
	return out
}

func fromProbe(p control.Probe) *hoistv1.ProbeRequest {
	return &hoistv1.ProbeRequest{
		From: p.From, Incarnation: uint64(p.Incarnation), Sequence: p.Sequence, Target: p.Target,
		Address: p.Address, Gossip: fromGossip(p.Updates, p.Gossip),
	}
}

func toProbe(self string, r *hoistv1.ProbeRequest) control.Probe {
	return control.Probe{
		Probe: membership.Probe{
			From: r.GetFrom(), To: self, Incarnation: membership.Incarnation(r.GetIncarnation()),
			Sequence: r.GetSequence(), Target: r.GetTarget(), Updates: toUpdates(r.GetGossip().GetMembers()),
		},
		Address: r.GetAddress(),
		Gossip:  toGossip(r.GetGossip()),
	}
}

func fromAck(a control.Ack) *hoistv1.ProbeResponse {
	return &hoistv1.ProbeResponse{
		From: a.From, Incarnation: uint64(a.Incarnation), Sequence: a.Sequence, TargetAlive: a.TargetAlive,
		Gossip: fromGossip(a.Updates, a.Gossip),
	}
}

func toAck(self string, r *hoistv1.ProbeResponse) control.Ack {
	return control.Ack{
		Ack: membership.Ack{
			From: r.GetFrom(), To: self, Incarnation: membership.Incarnation(r.GetIncarnation()),
			Sequence: r.GetSequence(), TargetAlive: r.GetTargetAlive(), Updates: toUpdates(r.GetGossip().GetMembers()),
		},
		Gossip: toGossip(r.GetGossip()),
	}
}

func fromChunk(c configuration.Chunk) *hoistv1.TableChunk {
	return &hoistv1.TableChunk{Revision: c.Revision, Sha256: c.Digest[:], TotalBytes: c.Total, Data: c.Data}
}

func toChunk(c *hoistv1.TableChunk) configuration.Chunk {
	chunk := configuration.Chunk{Revision: c.GetRevision(), Total: min(c.GetTotalBytes(), math.MaxInt32), Data: c.GetData()}
	copy(chunk.Digest[:], c.GetSha256())
	return chunk
}

// EncodedSize returns the size of a message's payload without headers.
func EncodedSize(message control.Message) int {
	switch m := message.(type) {
	case control.Probe:
		return proto.Size(fromProbe(m))
	case control.Ack:
		return proto.Size(fromAck(m))
	case control.Exchange:
		return proto.Size(&hoistv1.ExchangeRequest{From: m.From, Address: m.Address, Gossip: fromGossip(nil, m.Gossip)})
	case control.ExchangeReply:
		return proto.Size(&hoistv1.ExchangeResponse{From: m.From, Gossip: fromGossip(nil, m.Gossip)})
	default:
		return 0
	}
}
