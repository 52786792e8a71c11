package stagepool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// noticeMix is the load of a deployment whose pool of the second stage is the scarcest. The rank of a
// workspace is added to that of a route, so that the classes are further apart.
func noticeMix() []*mixClass {
	chain := []mixStage{{0, 3, 1, 1, 8_000, 0.3}, {1, 2, 1, 4, 60_000, 1}, {2, 1, 1, 6, 6_000, 1}}
	return []*mixClass{
		{name: "explanation", perSecond: 9.3, objective: 1400 * time.Millisecond, priority: 4, worth: 4.3, stages: []mixStage{{0, 1, 0.7, 2.5, 800_000, 1}}},
		{name: "draft", perSecond: 13.5, objective: 2 * time.Second, priority: 3, worth: 2, stages: chain},
		{name: "tagging", perSecond: 15, objective: 2 * time.Second, priority: 5, worth: 0.43, stages: append([]mixStage{{0, 1, 0.4, 1.5, 800_000, 1}}, chain...)},
	}
}

func newNoticeMix(t *testing.T, seed uint64) *mix {
	m := newMixOf(t, noticeMix(), []catalog.Batch{
		{Concurrency: 1, MaxPieces: 12, CallTime: 240 * time.Millisecond, PieceTime: 17 * time.Millisecond, ResultTTL: 4 * time.Second, ResultMemoryBytes: 14_000_000},
		{Concurrency: 1, MaxPieces: 34, CallTime: 240 * time.Millisecond, PieceTime: 6100 * time.Microsecond, ResultTTL: 4 * time.Second, ResultMemoryBytes: 3_700_000},
		{Concurrency: 1, MaxPieces: 42, CallTime: 240 * time.Millisecond, PieceTime: 4900 * time.Microsecond, ResultTTL: 4 * time.Second, ResultMemoryBytes: 470_000},
	}, 4)
	m.r = rand.New(rand.NewPCG(seed, 2))
	return m
}

func TestExplore(t *testing.T) {
	for _, factor := range []float64{0.8, 1, 1.3, 1.6, 2, 2.5} {
		for seed := range uint64(2) {
			m := newNoticeMix(t, seed)
			m.replay(20*time.Second, burst(factor))
			t.Logf("%.1f %s", factor, m)
		}
	}
}
