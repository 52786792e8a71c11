package stagepool_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// Pieces of two requests that wait for the same upstream are sent in one call.
func ExamplePool() {
	now := clock.Instant(0)
	p := stagepool.New(now)
	p.Configure(now, catalog.Batch{Concurrency: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond}, []stagepool.Upstream{{ID: "u"}})
	job := stagepool.Job{Request: "r1", Pieces: 1, Due: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
	p.Submit(now, job)
	first := p.Dispatch(now)[0]
	for _, request := range []string{"r2", "r3"} {
		job.Request = request
		p.Submit(now, job)
	}
	fmt.Println(len(p.Dispatch(now)), "calls while the upstream is busy")
	now = now.Add(240 * time.Millisecond)
	p.FinishCall(now, "u", first.ID, stagepool.CallAnswered, []stagepool.PieceResult{{Outcome: stagepool.PieceSucceeded, Handle: "h1"}}, nil)
	for _, call := range p.Dispatch(now) {
		fmt.Println(len(call.Pieces), "pieces in a call")
	}
	// Output:
	// 0 calls while the upstream is busy
	// 2 pieces in a call
}
