// Package keeper stores write-once claims and expiring leases in the memory of
// small groups of VMs and decides them by majority vote. It contains deterministic
// state machines without I/O: Member stores the records of one VM and votes;
// Proposer obtains a claim and SlotLease a lease from the members of a group.
//
// Invariants of a claim shard, and why they hold:
//
//   - A member votes for at most one attempt per key. Records are write-once; a
//     record for which a member received two holders from different sources is
//     contested and grants nothing until one of them releases or finishes.
//   - Two attempts never have majorities of the same group. Majorities intersect,
//     and a vote that was lost in a restart is not counted: a restarted member must
//     read a majority before it votes, the members it reads store its new
//     incarnation and report it in their later grants, and the proposer discards a
//     vote of an older incarnation.
//   - Two attempts never have majorities of different groups. A member votes in a
//     view only after it has read a majority of every earlier view that may have
//     been active. Every responder first adopts the reader's revision, so that
//     the earlier view cannot form a majority afterwards, and stores the
//     reader's view, so that later readers find it.
//
// Expiry uses only durations on the boot-time clock of each member.
package keeper
