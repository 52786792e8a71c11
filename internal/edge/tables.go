package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/transfer"
)

const (
	// readerRankingKey is the key of the ranking that selects the readers, and relayRankingKey that
	// of the relays of a zone.
	readerRankingKey = "store readers"
	relayRankingKey  = "table relays"
	// maxDirectFollowers is the number of VMs that pull from one reader up to which there are no
	// relays.
	maxDirectFollowers = 12
	// relaysPerZone is the number of VMs of a zone that pull from the readers for the others of
	// the zone. Then a change crosses to each zone a few times, however many VMs it has.
	relaysPerZone = 2
	// overdueRetryPerVM is the time between two reads of the store by a VM that is no reader but has old
	// tables, for each VM of the fleet: together they make no more than a few calls, each of which is
	// charged, while the store is down. One of them finds out at once that it is back for some VMs.
	overdueRetryPerVM = 60 * time.Millisecond
	// substituteReadTimeout is longer than any read of the store by a substitute.
	substituteReadTimeout = 5 * time.Second
	// overdueCheckInterval is the time between two checks whether a peer has sent newer tables meanwhile.
	overdueCheckInterval = 100 * time.Millisecond
	// discoveryTimeout is how long a VM waits after its start to discover other VMs before it
	// acts as the only one.
	discoveryTimeout = 500 * time.Millisecond
	// pullHoldTime is how long a pull (a long poll) of a VM that already has the latest tables is
	// held. A reader is current again before that, which ends the pull.
	pullHoldTime = time.Second
	// staleReaderAge is the additional age of a source's tables, beyond that of a watch, at which VMs
	// switch to another source.
	staleReaderAge = watchTimeout + 800*time.Millisecond
	// pullTimeoutMargin is added to the hold time of a pull for its timeout.
	pullTimeoutMargin = 400 * time.Millisecond
	// pullRetryDelay is the delay after a pull that did not bring this VM up to date.
	pullRetryDelay = 100 * time.Millisecond
)

// storeReaders ranks the VMs as readers of the store.
var storeReaders = fleet.Resource{Name: readerRankingKey, SendsTables: true}

// followTables keeps the tables current until the context ends. A reader of the store reads
// them from there; any other VM pulls them from a reader or a relay.
func (s *Server) followTables(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		sources, role := s.tableSources()
		if role == fleet.TableFollower {
			s.gossip.setStoreAccess(fleet.NoStoreAccess)
			// A read that failed while this VM stood in for the readers says nothing of its sources.
			s.follower.setLost(false)
		}
		switch {
		case role == fleet.StoreReader:
			s.readForOthers(ctx)
		case role == fleet.SubstituteReader:
			if !s.readAsSubstitute(ctx) {
				s.awaitPeerTables(ctx, time.Duration(s.fleetSize.Load())*overdueRetryPerVM)
			}
		case len(sources) == 0:
			sleep(ctx, pullRetryDelay)
		case !s.pullFrom(ctx, sources[(next+s.readerOffset)%len(sources)], pullHoldTime):
			next++
			sleep(ctx, pullRetryDelay)
		}
	}
}

// tableSources returns how this VM gets the tables, and the VMs from which it may pull them if it does
// not read the store.
func (s *Server) tableSources() ([]fleet.Entry, fleet.TableRole) {
	ranking := s.gossip.rankingOf(storeReaders)
	uptime := s.now().Sub(s.startedAt)
	if len(ranking) <= 1 {
		if uptime > discoveryTimeout || len(s.inForce.Load().Seeds) == 0 {
			return nil, fleet.StoreReader
		}
		return nil, fleet.TableFollower
	}
	peers := fleet.NewTablePeers(s.settings.VM, ranking)
	age, complete := s.follower.age()
	if !complete {
		age = uptime
	}
	if role := peers.Role(age, complete); role != fleet.TableFollower {
		return nil, role
	}
	return s.pullSources(fleet.Alike(ranking), peers.Readers(), complete), fleet.TableFollower
}

// pullSources returns the VMs from which this VM may pull the tables: the readers in a small fleet. The ranking is
// that of the VMs whose tables it can merge.
func (s *Server) pullSources(ranking, readers []fleet.Entry, complete bool) []fleet.Entry {
	if len(ranking) <= fleet.StoreReaderCount*(s.maxDirectFollowers+1) {
		return readers
	}
	return s.zoneSources(ranking, readers, complete)
}

// zoneSources returns the sources of a VM in a large fleet: the readers for a relay, and otherwise
// the relays of its zone. A VM without tables also asks others of its zone, since the tables as a
// whole are large, and after a start of all VMs many want them at the same time.
func (s *Server) zoneSources(ranking, readers []fleet.Entry, complete bool) []fleet.Entry {
	var others []fleet.Entry
	for _, entry := range ranking {
		if entry.Zone == s.settings.Zone && entry.Name != s.settings.VM {
			others = append(others, entry)
		}
	}
	relays := fleet.Alike(s.gossip.rankingOf(fleet.Resource{Name: relayRankingKey + " " + s.settings.Zone, Zone: s.settings.Zone, SendsTables: true}))
	relays = relays[:min(relaysPerZone, len(relays))]
	switch {
	case len(others) < relaysPerZone || s.indexOfSelf(relays) >= 0:
		return readers
	case complete:
		return relays
	}
	return append(relays, others[rand.IntN(len(others))])
}

// indexOfSelf returns the index of this VM, or -1.
func (s *Server) indexOfSelf(entries []fleet.Entry) int {
	return slices.IndexFunc(entries, func(e fleet.Entry) bool { return e.Name == s.settings.VM })
}

// refreshStaleTables pulls the tables from random peers while they are stale, and a few times after the first
// tables and each change of the era (see follower.keptPulls). It also removes expired upstreams, divides the
// pools as the other VMs do, and claims and hands over shards.
func (s *Server) refreshStaleTables(ctx context.Context) {
	for ctx.Err() == nil {
		s.follower.expireFor(ctx, peerPullInterval)
		s.follower.adoptShards()
		s.updatePoolClaims()
		reachable := s.gossip.reachable()
		wantsKept := s.follower.startKeptPull(len(reachable))
		if age, complete := s.follower.age(); complete && age < fleet.StaleTablesAge && !wantsKept {
			continue
		}
		if s.tableTransfers.Load() > 0 {
			continue // Tables are on the way. Further transfers would only slow them down.
		}
		for range min(peersPerPull, len(reachable)) {
			i := rand.IntN(len(reachable))
			entry := reachable[i]
			reachable = slices.Delete(reachable, i, i+1)
			go s.pullFrom(ctx, entry, 0)
		}
	}
}

// pullFrom pulls published items from one peer and reports whether this VM is now up to date.
func (s *Server) pullFrom(ctx context.Context, entry fleet.Entry, wait time.Duration) bool {
	sentAt, requested := s.now(), s.follower.pullPosition()
	response, err := s.callPull(ctx, entry, newPullRequest(requested, wait, s.follower.configurationVersion()), wait)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	if err != nil {
		s.logger.Info("tables not pulled", zap.String("peer", entry.Name), zap.Duration("after", s.now().Sub(sentAt)), zap.Duration("age", s.now().Sub(s.follower.freshAt())), obs.ErrorField(err))
		return false
	}
	if !response.GetComplete() {
		return false
	}
	if err := unpackItems(response); err != nil {
		s.logger.Warn("tables of a peer not understood", zap.String("peer", entry.Name), obs.ErrorField(err))
		return false
	}
	changes := peerChanges{
		complete: true, unchanged: response.GetUnchanged(),
		at:      replica.Position{Era: response.GetEra(), Revision: response.GetRevision()},
		age:     time.Duration(response.GetAgeMs()) * time.Millisecond,
		changes: replica.Changes{Items: itemsFromProto(response.GetItems()), IsDelta: response.GetHasRemovals(), Keys: response.GetKeys()},
		kept:    itemsFromProto(response.GetKept()),
	}
	s.recentPeers.add(entry)
	// The peer read its items after it had held the call for the stated time, so their age
	// counts from then.
	freshAt := sentAt.Add(time.Duration(response.GetHeldMs())*time.Millisecond - changes.age)
	if isMerged := s.follower.mergeChanges(requested, changes, freshAt); !isMerged {
		// A peer with a higher era that sent only a part of its items is asked for all of them next.
		return requested != replica.Position{} && s.follower.pullPosition() == replica.Position{}
	}
	return !response.GetLost() && changes.age < staleReaderAge
}

// callPull pulls published items from one peer, which holds the call for the wait time at most. Packed items that the
// answer only refers to are transferred after it; how long that takes depends on their size (see transfer.Bound).
func (s *Server) callPull(ctx context.Context, entry fleet.Entry, request *hoistv1.PullRequest, wait time.Duration) (*hoistv1.PullResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+pullTimeoutMargin)
	defer cancel()
	var response *hoistv1.PullResponse
	err := s.peers.callWithoutPing(callCtx, entry, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.Pull(ctx, request)
		return err
	})
	if err != nil || response.GetPackedSize() == 0 {
		return response, err
	}
	reference := replica.Reference{Hash: response.GetPackedHash(), Size: int(response.GetPackedSize())}
	s.tableTransfers.Add(1)
	defer s.tableTransfers.Add(-1)
	encoded, err := s.fetchEncoded(ctx, entry, reference, nil, func() {})
	if err == nil {
		response.Packed, err = transfer.Decode(encoded, nil, reference)
	}
	return response, err
}

func newPullRequest(requested replica.Position, wait time.Duration, configurationVersion int64) *hoistv1.PullRequest {
	return &hoistv1.PullRequest{
		Era: requested.Era, Revision: requested.Revision, WaitMs: uint32(wait.Milliseconds()), AcceptsRemovals: true, AcceptsPacked: true, AcceptsReferences: true,
		ConfigurationVersion: &configurationVersion,
	}
}

func itemsToProto(items []replica.Item) []*hoistv1.PublishedItem {
	var out []*hoistv1.PublishedItem
	for _, item := range items {
		out = append(out, &hoistv1.PublishedItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Deleted, ValueHash: item.Reference.Hash, ValueSize: uint32(item.Reference.Size)})
	}
	return out
}

func itemsFromProto(items []*hoistv1.PublishedItem) []replica.Item {
	out := make([]replica.Item, 0, len(items))
	for _, item := range items {
		reference := replica.Reference{Hash: item.GetValueHash(), Size: int(item.GetValueSize())}
		out = append(out, replica.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Deleted: item.GetRemoved(), Reference: reference})
	}
	return out
}
