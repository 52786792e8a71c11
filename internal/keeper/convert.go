package keeper

import (
	"math"
	"time"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// maxWireDuration limits received durations so that arithmetic on them cannot overflow.
const maxWireDuration = 365 * 24 * time.Hour

func fromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxWireDuration/time.Millisecond))) * time.Millisecond
}

func toMillis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// toMillisRoundedUp rounds up so that the conversion never shortens a TTL.
func toMillisRoundedUp(d time.Duration) uint64 { return toMillis(d + time.Millisecond - 1) }

func toKey(data []byte) (key keeper.Key, ok bool) {
	return key, copy(key[:], data) == len(key) && len(data) == len(key)
}

// isValidShard limits the shards for which messages can make a member store state.
func isValidShard(s keeper.Shard) bool {
	if s.Lease {
		return s.Index < keeper.LeaseShardsPerZone
	}
	return s.Index < keeper.ClaimShardCount && s.Zone == ""
}

func toShard(m *hoistv1.KeeperShard) keeper.Shard {
	return keeper.Shard{
		Lease: m.GetLease(), Zone: m.GetZone(),
		Index: uint16(min(m.GetIndex(), math.MaxUint16)),
	}
}

func fromShard(s keeper.Shard) *hoistv1.KeeperShard {
	return &hoistv1.KeeperShard{Lease: s.Lease, Zone: s.Zone, Index: uint32(s.Index)}
}

func toView(m *hoistv1.View) keeper.View {
	return keeper.View{Revision: m.GetRevision(), Group: m.GetGroup()}
}

func fromView(v keeper.View) *hoistv1.View {
	if v.Revision == 0 {
		return nil
	}
	return &hoistv1.View{Revision: v.Revision, Group: v.Group}
}

// ToHolder converts a message to a holder.
func ToHolder(m *hoistv1.Holder) keeper.Holder {
	return keeper.Holder{VM: m.GetVm(), Incarnation: m.GetIncarnation(), Attempt: m.GetAttempt()}
}

// FromHolder converts a holder to a message.
func FromHolder(h keeper.Holder) *hoistv1.Holder {
	return &hoistv1.Holder{Vm: h.VM, Incarnation: h.Incarnation, Attempt: h.Attempt}
}

func toState(m hoistv1.ClaimState) keeper.State {
	switch m {
	case hoistv1.ClaimState_CLAIM_STATE_FINISHED:
		return keeper.Finished
	case hoistv1.ClaimState_CLAIM_STATE_RELEASED:
		return keeper.Released
	default:
		return keeper.Pending
	}
}

func fromState(s keeper.State) hoistv1.ClaimState {
	switch s {
	case keeper.Finished:
		return hoistv1.ClaimState_CLAIM_STATE_FINISHED
	case keeper.Released:
		return hoistv1.ClaimState_CLAIM_STATE_RELEASED
	default:
		return hoistv1.ClaimState_CLAIM_STATE_PENDING
	}
}

// FromClaimRequest converts a claim request to a message.
func FromClaimRequest(r keeper.ClaimRequest) *hoistv1.ClaimRequest {
	return &hoistv1.ClaimRequest{
		Key: r.Key[:], Shard: fromShard(r.Shard), Holder: FromHolder(r.Holder),
		View: fromView(r.View), LeaseMs: toMillis(r.LeaseDuration),
	}
}

func toClaimRequest(m *hoistv1.ClaimRequest) (keeper.ClaimRequest, bool) {
	key, ok := toKey(m.GetKey())
	shard := toShard(m.GetShard())
	return keeper.ClaimRequest{
		Key: key, Shard: shard, Holder: ToHolder(m.GetHolder()),
		View: toView(m.GetView()), LeaseDuration: fromMillis(m.GetLeaseMs()),
	}, ok && isValidShard(shard)
}

var verdicts = map[keeper.Verdict]hoistv1.ClaimVerdict{
	keeper.Granted:   hoistv1.ClaimVerdict_CLAIM_VERDICT_GRANTED,
	keeper.Held:      hoistv1.ClaimVerdict_CLAIM_VERDICT_HELD,
	keeper.WrongView: hoistv1.ClaimVerdict_CLAIM_VERDICT_WRONG_VIEW,
	keeper.Inactive:  hoistv1.ClaimVerdict_CLAIM_VERDICT_INACTIVE,
	keeper.Full:      hoistv1.ClaimVerdict_CLAIM_VERDICT_FULL,
}

func fromClaimResponse(r keeper.ClaimResponse) *hoistv1.ClaimResponse {
	m := &hoistv1.ClaimResponse{
		From: r.From, Incarnation: r.Incarnation, Verdict: verdicts[r.Verdict],
		View: fromView(r.View), Incarnations: r.Incarnations,
	}
	switch r.Verdict {
	case keeper.Held:
		m.Holder, m.State = FromHolder(r.Holder), fromState(r.State)
		m.View = nil
	case keeper.Granted:
		m.View = &hoistv1.View{Revision: r.View.Revision}
	}
	return m
}

// ToClaimResponse converts the response to request. An unknown verdict does not count as
// a vote. A grant omits the group, which is that of the request.
func ToClaimResponse(request keeper.ClaimRequest, m *hoistv1.ClaimResponse) keeper.ClaimResponse {
	response := keeper.ClaimResponse{
		From: m.GetFrom(), Incarnation: m.GetIncarnation(), Verdict: keeper.Inactive,
		Holder: ToHolder(m.GetHolder()), State: toState(m.GetState()),
		View: toView(m.GetView()), Incarnations: m.GetIncarnations(),
	}
	for verdict, protoVerdict := range verdicts {
		if protoVerdict == m.GetVerdict() {
			response.Verdict = verdict
		}
	}
	if response.Verdict == keeper.Granted {
		response.View.Group = request.View.Group
	}
	return response
}

// FromFinishRequest converts a finish request to a message.
func FromFinishRequest(r keeper.FinishRequest) *hoistv1.FinishRequest {
	return &hoistv1.FinishRequest{
		Key: r.Key[:], Shard: fromShard(r.Shard), Holder: FromHolder(r.Holder), State: fromState(r.State),
	}
}

func toFinishRequest(m *hoistv1.FinishRequest) (keeper.FinishRequest, bool) {
	key, ok := toKey(m.GetKey())
	state := toState(m.GetState())
	return keeper.FinishRequest{
		Key: key, Shard: toShard(m.GetShard()), Holder: ToHolder(m.GetHolder()), State: state,
	}, ok && state != keeper.Pending
}
