package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

const (
	// storeReaders is the number of VMs that read the store while all is well; the others
	// get the tables from them. Each read is paid for, and the rates of the store grow more
	// slowly than the fleet.
	storeReaders = 3
	// readersKey is what the ranking of readers is drawn for.
	readersKey = "store readers"
	// readerStep is the additional age of the tables at which the next VM in the ranking
	// begins to read the store, so that an outage does not bring all of them at once.
	readerStep = 40 * time.Millisecond
	// startWait is how long a VM that just started waits to hear of others before it takes
	// itself for alone.
	startWait = 500 * time.Millisecond
	// pullWait is how long a reader holds the call of a VM that has its latest tables.
	pullWait = 500 * time.Millisecond
	// readerStale is the age of a reader's tables from which another reader is asked.
	readerStale = 1100 * time.Millisecond
	// pullSlack is added to the wait for the answer of a reader.
	pullSlack = 400 * time.Millisecond
	// pullPause is the pause after a reader gave nothing of use.
	pullPause = 100 * time.Millisecond
)

// followTables keeps the tables current until the context ends: from the store, if this VM
// is one of its readers, and from a reader otherwise.
func (s *Server) followTables(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		readers, isReader := s.readers()
		switch {
		case isReader:
			s.follower.read(ctx)
		case len(readers) == 0:
			pause(ctx, pullPause)
		case !s.pullFrom(ctx, readers[(turn+s.readerOffset)%len(readers)], pullWait):
			turn++
			pause(ctx, pullPause)
		}
	}
}

// readers returns the other VMs that read the store, and whether this one does.
func (s *Server) readers() ([]fleet.Entry, bool) {
	ranking := s.gossip.ranking(readersKey)
	rank := slices.IndexFunc(ranking, func(e fleet.Entry) bool { return e.Name == s.settings.VM })
	running := s.now().Sub(s.startedAt)
	if len(ranking) <= 1 {
		return nil, running > startWait || len(s.settings.Seeds) == 0
	}
	age, complete := s.follower.age()
	if !complete {
		age = running
	}
	overdue := age > staleAge+time.Duration(max(rank, 0))*readerStep
	isReader := (rank >= 0 && rank < storeReaders) || overdue
	ranking = slices.DeleteFunc(ranking[:min(storeReaders+1, len(ranking))], func(e fleet.Entry) bool { return e.Name == s.settings.VM })
	return ranking[:min(storeReaders, len(ranking))], isReader
}

// rescueTables asks peers for the tables while this VM cannot keep them current, and
// removes upstreams whose entries did not come back.
func (s *Server) rescueTables(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, rescueInterval)
		s.follower.tick()
		s.updatePoolClaims()
		if age, complete := s.follower.age(); complete && age < staleAge {
			continue
		}
		reachable := s.gossip.reachable()
		for range min(rescuePeers, len(reachable)) {
			i := s.random.IntN(len(reachable))
			entry := reachable[i]
			reachable = slices.Delete(reachable, i, i+1)
			go s.pullFrom(ctx, entry, 0)
		}
	}
}

// pullFrom asks one peer for published items and reports whether it brought this VM up to
// date.
func (s *Server) pullFrom(ctx context.Context, entry fleet.Entry, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+pullSlack)
	defer cancel()
	sent, asked := s.now(), s.follower.revision()
	var response *hoistv1.PullResponse
	err := s.peers.callUnwatched(ctx, entry, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.Pull(ctx, &hoistv1.PullRequest{Revision: asked, WaitMs: uint32(wait.Milliseconds())})
		return err
	})
	if err != nil {
		s.logger.Info("tables not pulled", zap.String("peer", entry.Name), obs.Reason(err))
		return false
	}
	if !response.GetComplete() {
		return false
	}
	o := offer{
		complete: true, unchanged: response.GetUnchanged(), revision: response.GetRevision(), keys: response.GetKeys(),
		age: time.Duration(response.GetAgeMs()) * time.Millisecond, items: toItems(response.GetItems()),
	}
	// The peer read its state no earlier than it says that it held the call.
	fresh := sent.Add(time.Duration(response.GetHeldMs())*time.Millisecond - o.age)
	s.follower.merge(asked, o, fresh)
	return !response.GetLost() && o.age < readerStale
}

func toItems(items []*hoistv1.PublishedItem) []replica.Item {
	out := make([]replica.Item, 0, len(items))
	for _, item := range items {
		out = append(out, replica.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision()})
	}
	return out
}
