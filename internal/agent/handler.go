package agent

import (
	"context"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
)

// pendingKey identifies a probe of a peer.
type pendingKey struct {
	from     string
	sequence uint64
}

// handler answers other agents.
type handler struct{ agent *Agent }

// Probe passes a probe to the decisions and waits for its answer.
func (h *handler) Probe(ctx context.Context, probe control.Probe) (control.Ack, error) {
	a := h.agent
	key := pendingKey{probe.From, probe.Sequence}
	answer := make(chan control.Ack, 1)
	a.mu.Lock()
	a.pending[key] = answer
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.pending[key] == answer {
			delete(a.pending, key)
		}
	}()
	a.do(func(now clock.Instant) []control.Action { return a.core.Receive(now, probe, 0) })
	select {
	case ack := <-answer:
		return ack, nil
	case <-ctx.Done():
		return control.Ack{}, ctx.Err()
	}
}

// Exchange passes gossip to the decisions.
func (h *handler) Exchange(exchange control.Exchange) control.ExchangeReply {
	var reply control.ExchangeReply
	h.agent.do(func(now clock.Instant) []control.Action {
		actions := h.agent.core.Receive(now, exchange, 0)
		for _, action := range actions {
			if r, ok := action.(control.Reply); ok {
				if message, ok := r.Message.(control.ExchangeReply); ok {
					reply = message
				}
			}
		}
		return actions
	})
	return reply
}

// Held returns a revision that the agent holds.
func (h *handler) Held(name configuration.Name, revision uint64) (configuration.Value, bool) {
	h.agent.mu.Lock()
	defer h.agent.mu.Unlock()
	return h.agent.core.Lookup(name, revision)
}

// reply hands an answer to the waiting call of the peer. The answer to an exchange is
// returned by Exchange itself.
func (a *Agent) reply(message control.Message) {
	ack, ok := message.(control.Ack)
	if !ok {
		return
	}
	a.mu.Lock()
	answer := a.pending[pendingKey{ack.To, ack.Sequence}]
	a.mu.Unlock()
	if answer == nil {
		return
	}
	select {
	case answer <- ack:
	default:
	}
}
