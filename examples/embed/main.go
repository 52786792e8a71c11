// Command embed shows how another server can embed the routing and the cold-start limits
// of hornbeamhoist: dispatch.Core selects the upstream of each request.
//
//	go run ./examples/embed 127.0.0.1:8080 examples/associacao/routes.yaml examples/associacao/pools.yaml
package main

import (
	"io"
	"log"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// vmName is the only VM of this example, so it can grant itself every lease.
const vmName = "embed"

var started = time.Now()

func now() clock.Instant { return clock.Instant(1 + time.Since(started)) }

type server struct {
	mu     sync.Mutex
	core   *dispatch.Core
	tables *table.Tables
}

func main() {
	routes, pools := must(os.ReadFile(os.Args[2])), must(os.ReadFile(os.Args[3]))
	tables := must(table.Load(os.Args[2], routes, os.Args[3], pools))
	zone := tables.Pools.Pools[0].Upstreams[0].Zone
	s := &server{core: dispatch.New(dispatch.Options{VM: vmName, Zone: zone, Seed: 1}), tables: tables}
	s.core.Apply(now(), dispatch.Snapshot{Tables: tables, VMs: []table.VM{{Name: vmName, Zone: zone, State: table.VMLive}}})
	log.Fatal(http.ListenAndServe(os.Args[1], s))
}

func must[T any](value T, err error) T {
	if err != nil {
		log.Fatal(err)
	}
	return value
}

// ServeHTTP forwards POST /{route} to the first stage of the route.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route := s.tables.Route(r.URL.Path[1:])
	if route == nil {
		http.NotFound(w, r)
		return
	}
	pool, start := s.tables.Pool(route.Stages[0].Pools[0]), now()
	choice := s.choose(dispatch.Selection{Route: route, Pool: pool.Name, Deadline: start.Add(route.Deadline)})
	if choice.Upstream == nil {
		http.Error(w, "no upstream may take the request", http.StatusServiceUnavailable)
		return
	}
	outcome := dispatch.Outcome{Kind: dispatch.OutcomeSuccess}
	response, err := http.Post("http://"+choice.Upstream.Address+pool.Path, r.Header.Get("Content-Type"), r.Body)
	if err != nil {
		outcome.Kind = dispatch.OutcomeDied
		http.Error(w, "the upstream failed", http.StatusBadGateway)
	} else {
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
	outcome.Elapsed = now().Sub(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Done(now(), choice.Ticket, outcome)
}

// choose selects an upstream. A request that would have to wait is refused.
func (s *server) choose(selection dispatch.Selection) dispatch.Choice {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Tick(now())
	choice := s.core.Select(now(), selection)
	if choice.Queued {
		// In a fleet, the keepers grant the leases for slots of cold upstreams.
		var leases []dispatch.HeldLease
		for _, wanted := range s.core.WantedLeases(now()) {
			leases = append(leases, dispatch.HeldLease{Upstream: wanted.Upstream, Slots: wanted.Slots, Until: now().Add(time.Second)})
		}
		for _, grant := range s.core.SetLeases(now(), leases).Grants {
			if grant.Ticket == choice.Ticket {
				return grant
			}
		}
		s.core.CancelQueued(now(), choice.Ticket)
	}
	return choice
}
