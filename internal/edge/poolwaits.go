package edge

import (
	"sync"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// waitFresh is how long the wait that an owner told is relied on. A burst builds a queue
// within about this time.
const waitFresh = 700 * time.Millisecond

// poolWaits holds how long pieces take at the pools of stages, as their owners last told.
type poolWaits struct {
	mu    sync.Mutex
	pools map[string]poolWait
}

type poolWait struct {
	wait time.Duration
	at   clock.Instant
}

func (w *poolWaits) note(now clock.Instant, pool string, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pools == nil {
		w.pools = map[string]poolWait{}
	}
	w.pools[pool] = poolWait{wait: wait, at: now}
}

// path returns how long the stages of a route would take now: at each level the longest
// wait of its pools. Pools of which nothing was heard of late count with the time of a call
// of one piece.
func (w *poolWaits) path(now clock.Instant, view *View, stages []catalog.Stage, levels, pieces []int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := map[int]time.Duration{}
	for i, stage := range stages {
		if pieces[i] == 0 {
			continue
		}
		wait := time.Duration(0)
		if batch, ok := view.stagePool(stage.Pool); ok {
			wait = batch.CallTime + batch.PieceTime
		}
		if told, ok := w.pools[stage.Pool]; ok && now.Sub(told.at) < waitFresh {
			wait = told.wait
		}
		longest[levels[i]] = max(longest[levels[i]], wait)
	}
	total := time.Duration(0)
	for _, wait := range longest {
		total += wait
	}
	return total
}
