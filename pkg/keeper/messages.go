package keeper

import "time"

// Holder identifies the attempt that made a claim or holds a lease.
type Holder struct {
	VM string
	// Incarnation identifies the gateway process.
	Incarnation uint64
	// Attempt increases within a process; a number is never reused after a release.
	Attempt uint64
}

// State is the state of a record.
type State uint8

// States of a record.
const (
	// Pending marks a lease, or a claim whose holder has not reported its end.
	Pending State = iota
	// Finished marks a claim whose holder dispatched the request.
	Finished
	// Released marks a record whose holder released it without dispatching the request.
	Released
)

// ClaimRequest asks a member to vote for an attempt.
type ClaimRequest struct {
	Shard  Shard
	Key    Key
	Holder Holder
	View   View
	// LeaseDuration is the duration of a lease, or 0 for a claim.
	LeaseDuration time.Duration
}

// Verdict is a member's answer to a ClaimRequest.
type Verdict uint8

// Verdicts.
const (
	// Granted means that the member votes for the attempt.
	Granted Verdict = iota
	// Held means that the member has already voted for another attempt, or that the
	// attempt has ended.
	Held
	// WrongView means that the member's group for the shard differs from the request's.
	WrongView
	// Inactive means that the member has not yet read the earlier views.
	Inactive
	// Full means that the member has reached its maximum number of records.
	Full
)

// ClaimResponse answers a ClaimRequest.
type ClaimResponse struct {
	From        string
	Incarnation uint64
	Verdict     Verdict
	// Holder and State describe the existing record if the verdict is Held.
	Holder Holder
	State  State
	// View is the member's view.
	View View
	// Incarnations holds the newest known incarnation of each member in the order of
	// the group, 0 if unknown.
	Incarnations []uint64
}

// FinishRequest reports the end of an attempt. State is Finished or Released.
type FinishRequest struct {
	Shard  Shard
	Key    Key
	Holder Holder
	State  State
}

// SyncShard requests the state of one shard.
type SyncShard struct {
	Shard Shard
	// View is the view in which the reader is to become active.
	View View
}

// SyncRequest requests a member's state of a set of shards. Its sender is called
// the reader.
type SyncRequest struct {
	From        string
	Incarnation uint64
	Shards      []SyncShard
}

// SyncResponse answers a SyncRequest. Shards that did not fit are omitted.
type SyncResponse struct {
	From        string
	Incarnation uint64
	// ReaderIncarnation is the incarnation in the SyncRequest.
	ReaderIncarnation uint64
	Shards            []SyncShardState
}

// SyncShardState is a responder's state of one shard.
type SyncShardState struct {
	Shard Shard
	// Revision is the revision in the SyncRequest.
	Revision uint64
	// NewerRevision is set if the responder refuses the read. It is the responder's
	// own revision; apart from Incarnations the following fields are then unset.
	NewerRevision uint64
	// VotesComplete is set if the responder cannot lack a vote of an earlier incarnation:
	// it has become active since its start, or all votes from before its start have expired.
	VotesComplete bool
	// Uptime is the time since the start of the responder's process.
	Uptime time.Duration
	// LastActive is the newest view in which the responder was active, zero if none.
	LastActive View
	// SyncedRevision is the revision up to which the responder has read earlier views.
	SyncedRevision uint64
	// KnownViews lists newer views that may have been active on other members.
	KnownViews []KnownView
	// Incarnations maps VM names to the newest known incarnation.
	Incarnations map[string]uint64
	// Bootstrap is set if the responder started a view without any votes.
	Bootstrap *Bootstrap
	Records   []Record
}

// KnownView is a group that may have been active at any revision from FirstRevision
// to LastRevision.
type KnownView struct {
	FirstRevision uint64
	LastRevision  uint64
	Group         []string
}

// Bootstrap lists the members of a group that was started without any votes, with
// the incarnations known at that time.
type Bootstrap struct {
	Group        []string
	Incarnations []uint64
}

// Record is a member's record of one key as sent to a reader.
type Record struct {
	Key Key
	// Holders has more than one entry if the record is contested.
	Holders []Holder
	State   State
	// TTL is the remaining time until the record expires.
	TTL time.Duration
}
