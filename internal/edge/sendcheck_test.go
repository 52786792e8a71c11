package edge

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// TestUpstreamLeavesBeforeSend lets an upstream drain, end, or its zone go out of service after it was chosen. It guards
// against requests and stage calls that are sent to an upstream although the VM already has the change: they reach it
// later than its drain time if a connection took long to open.
func TestUpstreamLeavesBeforeSend(t *testing.T) {
	for name, leave := range map[string]func(f *testFleet, u catalog.Upstream){
		"draining": func(f *testFleet, u catalog.Upstream) {
			u.Draining = true
			f.store.put("u/"+u.ID, &u)
		},
		"removed":  func(f *testFleet, u catalog.Upstream) { f.store.put("u/"+u.ID, nil) },
		"zone out": func(f *testFleet, u catalog.Upstream) { f.store.put("out/"+u.Zone, catalog.ZoneOut(u.Zone)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1, nil)
			u := newTestUpstream(t, "u0", nil)
			upstream := catalogUpstreams("p", u)[0]
			f.publish(&catalog.Catalog{Version: 1, Pools: singlePool()}, upstream)
			s := f.servers[0]
			chosen := s.view.Load().ByID["u0"]
			mayReach := (&transaction{s: s}).beforeSend(chosen)
			if err := mayReach(); err != nil {
				t.Fatal(err)
			}
			leave(f, upstream)
			await(t, "the change", func() bool {
				view := s.view.Load()
				entry := view.ByID["u0"]
				return entry == nil || !view.takesWork(entry)
			})
			if err := mayReach(); !errors.Is(err, errWithheld) {
				t.Errorf("error %v, expected that the request is withheld", err)
			}
			call := stagepool.Call{Upstream: "u0", Pieces: []stagepool.CallPiece{{}}, Timeout: time.Second}
			if outcome, _, _, _ := newPoolRunner("p", s).sendCall(call, chosen.Address); outcome != stagepool.CallWithheld {
				t.Errorf("stage call: outcome %d, expected that it is withheld", outcome)
			}
			if u.totalRuns() != 0 {
				t.Error("the upstream got a request")
			}
		})
	}
}
