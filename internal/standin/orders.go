package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/engines"
)

// modelState is the model that an engine has loaded or is loading.
type modelState struct {
	model        engines.ModelDocument
	fencingToken uint64
	loading      bool
}

// handleState returns the loaded model and the state of the engine.
func (u *Upstream) handleState(ctx *fasthttp.RequestCtx) {
	u.mu.Lock()
	state := engines.StateDocument{
		Model: u.model.model, Loading: u.model.loading, Cold: u.behaviour.Cold, InFlight: u.stats.InFlight,
	}
	u.mu.Unlock()
	u.writeJSON(ctx, state)
}

// handleOrder loads a model. An order whose fencing token is older than the current one is
// rejected with 409 unless IgnoreFencing is set.
func (u *Upstream) handleOrder(ctx *fasthttp.RequestCtx) {
	var order engines.OrderDocument
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if order.Fencing < u.model.fencingToken {
		u.stats.StaleOrders++
		if !u.behaviour.IgnoreFencing {
			ctx.SetStatusCode(fasthttp.StatusConflict)
			return
		}
	}
	u.stats.Orders++
	u.stats.FencingToken = max(u.stats.FencingToken, int(order.Fencing))
	u.model = modelState{model: order.Model, fencingToken: order.Fencing, loading: u.behaviour.LoadTime > 0}
	// The caches are empty after a model is loaded.
	u.behaviour.Cold = true
	u.successes = 0
	if u.model.loading {
		time.AfterFunc(time.Duration(u.behaviour.LoadTime), func() {
			u.mu.Lock()
			u.model.loading = false
			u.mu.Unlock()
		})
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}
