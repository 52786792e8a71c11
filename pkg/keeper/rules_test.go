package keeper

import (
	"slices"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// testCluster is a set of members whose messages a test delivers individually.
type testCluster struct {
	t       *testing.T
	now     clock.Instant
	members map[string]*Member
}

var testShard = Shard{}

// singleGroupList returns a list of VMs, one per letter of names, that form the group of
// every shard. With only two zones the limit per zone does not apply.
func singleGroupList(revision uint64, names string) VMList {
	var vms []table.VM
	for i, name := range names {
		vms = append(vms, table.VM{Name: string(name), Zone: []string{"x", "y"}[i%2]})
	}
	return NewVMList(revision, vms)
}

// newTestCluster starts the named members and activates those in the list's group.
func newTestCluster(t *testing.T, list VMList, names string) *testCluster {
	tc := &testCluster{t: t, now: 1, members: map[string]*Member{}}
	for _, name := range names {
		tc.startMember(string(name), 1)
		tc.applyList(list, string(name))
	}
	tc.now = tc.now.Add(simBootstrap + time.Second)
	group := list.View(testShard).Group
	for range 3 {
		for _, name := range group {
			tc.syncMember(name, group...)
		}
	}
	return tc
}

func (tc *testCluster) startMember(name string, incarnation uint64) {
	tc.members[name] = NewMember(Options{
		VM: name, Incarnation: incarnation, StartedAt: tc.now, ClaimRetention: time.Hour, MaxLeaseDuration: simLease,
		LeaseGrace: simGrace, BootstrapWait: simBootstrap, MaxRecords: 100, claimShardCount: 1, leaseShardsPerZone: 1,
	})
}

func (tc *testCluster) applyList(list VMList, names ...string) {
	for _, name := range names {
		tc.members[name].ApplyList(tc.now, list)
	}
}

// syncMember delivers the reader's due reads to the targets only and reports whether
// the reader is then active.
func (tc *testCluster) syncMember(reader string, targets ...string) bool {
	tc.now = tc.now.Add(maxReadRefreshInterval)
	m := tc.members[reader]
	due := m.Tick(tc.now)
	for _, target := range targets {
		for _, request := range due[target] {
			m.OnSyncResponse(tc.now, tc.members[target].Sync(tc.now, request))
		}
	}
	return m.shards[testShard].active
}

// newProposer returns a started proposer whose first claims are discarded.
func (tc *testCluster) newProposer(vm string, view View) *Proposer {
	next := uint64(0)
	p := NewProposer(ProposerOptions{
		Shard: testShard, Key: ClaimKey("w", "r", "k"), VM: vm, Incarnation: 1, ClaimRetention: time.Hour,
		Deadline: tc.now.Add(time.Hour), NextAttempt: func() uint64 { next++; return next },
	}, view)
	p.Start(tc.now)
	return p
}

// claim delivers the proposer's claim to the members and reports whether it may run.
func (tc *testCluster) claim(p *Proposer, members ...string) bool {
	for _, name := range members {
		response := tc.members[name].Claim(tc.now, ClaimRequest{
			Shard: testShard, Key: p.options.Key, Holder: p.Holder(), View: p.view,
		})
		p.OnClaim(tc.now, p.Holder().Attempt, response)
	}
	return p.Decision() == DecisionMayRun
}

func (tc *testCluster) require(ok bool, format string, args ...any) {
	tc.t.Helper()
	if !ok {
		tc.t.Fatalf(format, args...)
	}
}

// TestVoteOfEarlierIncarnation guards against counting a vote that a member lost in a
// restart, after the member has recovered without it.
func TestVoteOfEarlierIncarnation(t *testing.T) {
	list := singleGroupList(1, "abcde")
	tc := newTestCluster(t, list, "abcde")
	first, second := tc.newProposer("g1", list.View(testShard)), tc.newProposer("g2", list.View(testShard))
	tc.require(!tc.claim(first, "a"), "one vote is enough for a majority")
	tc.startMember("a", 2)
	tc.applyList(list, "a")
	tc.require(tc.syncMember("a", "b", "c", "d"), "a does not become active after reading three members")
	tc.require(!tc.claim(first, "d", "e"), "a vote lost in a restart is counted")
	tc.require(tc.claim(second, "a", "b", "c"), "the remaining members cannot grant the claim")
}

// TestPromiseOfEarlierIncarnation guards against a reader that counts the promise of a
// member that lost it in a restart and votes in the old view again.
func TestPromiseOfEarlierIncarnation(t *testing.T) {
	old, next := singleGroupList(1, "abcde"), singleGroupList(2, "fghij")
	tc := newTestCluster(t, old, "abcdefghij")
	p := tc.newProposer("g1", old.View(testShard))
	tc.applyList(next, "f")
	tc.syncMember("f", "c", "g", "h", "i", "j")
	tc.startMember("c", 2)
	tc.applyList(old, "c")
	tc.require(tc.syncMember("c", "a", "d", "e"), "c does not become active in the old view after its restart")
	tc.require(tc.claim(p, "c", "d", "e"), "the old view cannot grant a claim before it is closed")
	tc.require(!tc.syncMember("f", "a", "b"), "f counts the response that c sent before its restart")
}

// TestReaderClosesView guards against a member that votes in a view after it has
// answered a reader of a newer view.
func TestReaderClosesView(t *testing.T) {
	old, next := singleGroupList(1, "abcde"), singleGroupList(2, "cfghi")
	tc := newTestCluster(t, old, "abcdefghi")
	p := tc.newProposer("g1", old.View(testShard))
	tc.applyList(next, "f", "g", "h", "i")
	tc.syncMember("f", "c", "d", "e", "g", "h", "i")
	tc.require(!tc.claim(p, "a", "d", "e"), "a closed view grants a claim")
}

// TestSkippedRevision guards against members that received the first and the third list
// and miss claims that another group granted under the second.
func TestSkippedRevision(t *testing.T) {
	first, second, third := singleGroupList(1, "abcde"), singleGroupList(2, "cdefg"), singleGroupList(3, "abcde")
	tc := newTestCluster(t, first, "abcdefghijkl")
	tc.applyList(second, "c", "d", "e", "f", "g")
	for range 3 {
		for _, name := range []string{"c", "d", "e", "f", "g"} {
			tc.syncMember(name, "c", "d", "e", "f", "g")
		}
	}
	granted := tc.newProposer("g1", second.View(testShard))
	tc.require(tc.claim(granted, "e", "f", "g"), "the second group cannot grant a claim")
	tc.applyList(third, "a", "b", "c", "d", "h", "i", "j")
	resend := tc.newProposer("g2", third.View(testShard))
	tc.require(!tc.syncMember("c", "a", "b"), "c becomes active without reading the second group")
	tc.require(!tc.syncMember("d", "a", "b"), "d becomes active without reading the second group")
	tc.require(!tc.claim(resend, "a", "b", "c", "d"), "the key is granted twice")

	// Members a and b skipped the second list, so a later group must not conclude from
	// their responses that no claim was granted before the third.
	fourth := singleGroupList(4, "hijkl")
	tc.applyList(fourth, "h")
	tc.require(!tc.syncMember("h", "a", "b", "c", "i", "j", "k", "l"), "h becomes active without reading the second group")
	tc.require(tc.syncMember("h", "e", "f"), "h cannot read the second group")
	records := tc.members["h"].shards[testShard].records
	tc.require(records[granted.options.Key] != nil, "h lacks the claim that the second group granted")
}

// TestAllPossibleViewsAreRead guards against a reader that reads only the newest of
// several views that may have been active.
func TestAllPossibleViewsAreRead(t *testing.T) {
	first, second, third, fourth := singleGroupList(1, "abcde"), singleGroupList(2, "fghij"), singleGroupList(3, "klmno"), singleGroupList(4, "pqrst")
	tc := newTestCluster(t, first, "abcdefghijklmnopqrst")
	tc.applyList(second, "f", "g", "h", "i", "j")
	for range 3 {
		for _, name := range []string{"f", "g", "h"} {
			tc.syncMember(name, "a", "b", "c", "f", "g", "h", "i", "j")
		}
	}
	granted := tc.newProposer("g1", second.View(testShard))
	tc.require(tc.claim(granted, "f", "g", "h"), "the second group cannot grant a claim")
	// The third group reads one member of the first and never becomes active.
	tc.applyList(third, "k")
	tc.syncMember("k", "a")
	tc.applyList(fourth, "p")
	tc.require(!tc.syncMember("p", slices.Concat([]string{"a", "b", "c", "k", "l", "m", "n", "o", "q", "r", "s", "t"})...),
		"p becomes active without reading the second group")
}

// TestRecordLimitAndExpiry guards against evicting an unexpired claim at the record
// limit, and against records that are stored for longer than the retention.
func TestRecordLimitAndExpiry(t *testing.T) {
	list := singleGroupList(1, "a")
	tc := newTestCluster(t, list, "a")
	claim := func(n int) Verdict {
		return tc.members["a"].Claim(tc.now, ClaimRequest{
			Shard: testShard, Key: Key{1, byte(n)}, Holder: Holder{VM: "g", Attempt: uint64(n)}, View: list.View(testShard),
		}).Verdict
	}
	for n := range 100 {
		tc.require(claim(n) == Granted, "claim %d of 100 is not granted", n)
	}
	tc.require(claim(100) == Full && claim(0) == Granted, "a full member must refuse new keys and only those")
	tc.now = tc.now.Add(time.Hour)
	tc.require(claim(100) == Granted && tc.members["a"].Stats().Records == 1, "expired records count towards the limit")
}

// TestLostMajority guards against a group that votes although a majority of it lost its
// votes, and against shards that stay inactive for ever after such a loss or after the
// majority was removed from the list permanently.
func TestLostMajority(t *testing.T) {
	list := singleGroupList(1, "abcde")
	tc := newTestCluster(t, list, "abcdefghij")
	for _, name := range []string{"c", "d", "e"} {
		tc.startMember(name, 2)
		tc.applyList(list, name)
	}
	tc.now = tc.now.Add(simBootstrap)
	for range 2 {
		tc.require(!tc.syncMember("c", "a", "b", "d", "e"), "c is active without a majority that has complete votes")
	}
	tc.now = tc.now.Add(time.Hour)
	tc.require(tc.syncMember("c", "d", "e"), "c is not active after the retention")

	next := singleGroupList(2, "fghij")
	tc.applyList(next, "f", "g", "h", "i", "j")
	tc.syncMember("f", "g", "h", "i", "j")
	tc.require(!tc.syncMember("f", "g", "h", "i", "j"), "f is active without reading the previous group")
	tc.now = tc.now.Add(time.Hour)
	tc.require(tc.syncMember("f", "g", "h", "i", "j"), "f still waits for members whose votes have expired")
}

// TestRestartInSmallGroup guards against a member of a group of two or four that stays
// inactive after a restart although the others have every claim.
func TestRestartInSmallGroup(t *testing.T) {
	for _, names := range []string{"ab", "abcd"} {
		list := singleGroupList(1, names)
		tc := newTestCluster(t, list, names)
		group := list.View(testShard).Group
		tc.require(tc.claim(tc.newProposer("g1", list.View(testShard)), group...), "group %s cannot grant a claim", names)
		tc.startMember("a", 2)
		tc.applyList(list, "a")
		tc.require(tc.syncMember("a", group[len(group)/2:]...), "a does not become active in group %s", names)
		tc.require(!tc.claim(tc.newProposer("g2", list.View(testShard)), group...), "group %s grants a key twice", names)
	}
}
