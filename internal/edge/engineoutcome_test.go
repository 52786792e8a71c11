package edge

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
)

// TestPartitionedVMReportsNoUnreachableEngines guards against an owner of engines that avoids sound ones since
// another VM is partitioned from them.
func TestPartitionedVMReportsNoUnreachableEngines(t *testing.T) {
	network := newTestNetwork(t)
	var engines []*testUpstream
	for i := range 4 {
		engines = append(engines, network.newUpstream(t, fmt.Sprint("e", i)))
	}
	f := startPlacingFleet(t, 2, engines...)
	owner, other := f.ownerAndOther(t)
	f.mustServe(t, owner, "before")
	network.cut(f.servers[other].settings.IP, breakingCut)
	runner := f.servers[owner].findEngineRunner("p")
	var requests sync.WaitGroup
	for i := range 12 {
		requests.Go(func() { _, _, _ = f.send(other, fmt.Sprint("cut", i), "/x/", nil) })
	}
	excludedFor := map[string]time.Duration{}
	for i := range 300 {
		for _, e := range engines {
			id := fmt.Sprint("q", i, e.id)
			request := &enginepool.Request{ID: id, PromptTokens: 10, OutputTokens: 1}
			for _, other := range engines {
				if other != e {
					request.Excluded = append(request.Excluded, other.id)
				}
			}
			placed, ok := runner.place(request)
			if !ok {
				excludedFor[e.id] += 10 * time.Millisecond
				continue
			}
			runner.end(id, enginepool.Outcome{Engine: placed.Engine, Result: enginepool.Aborted}, 0)
		}
		<-time.After(10 * time.Millisecond)
	}
	requests.Wait()
	if len(excludedFor) > 0 {
		t.Errorf("the owner, which is in touch, does not use sound engines for %v", excludedFor)
	}
}
