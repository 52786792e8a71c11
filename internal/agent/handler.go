package agent

import (
	"context"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
)

// probeKey identifies a probe received from a peer.
type probeKey struct {
	from     string
	sequence uint64
}

// handler implements peer.Handler.
type handler struct{ agent *Agent }

// Probe passes a probe to the core and waits for the response.
func (h *handler) Probe(ctx context.Context, probe control.Probe) (control.Ack, error) {
	a := h.agent
	key := probeKey{probe.From, probe.Sequence}
	response := make(chan control.Ack, 1)
	a.mu.Lock()
	a.pendingProbes[key] = response
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.pendingProbes[key] == response {
			delete(a.pendingProbes, key)
		}
	}()
	a.handleEvent(func(now clock.Instant) []control.Action { return a.core.Receive(now, probe, 0) })
	select {
	case ack := <-response:
		return ack, nil
	case <-ctx.Done():
		return control.Ack{}, ctx.Err()
	}
}

// Exchange passes gossip to the core and returns its reply.
func (h *handler) Exchange(exchange control.Exchange) control.ExchangeReply {
	var reply control.ExchangeReply
	h.agent.handleEvent(func(now clock.Instant) []control.Action {
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

// Lookup returns the value of a revision if the agent has it.
func (h *handler) Lookup(name configuration.Name, revision uint64) (configuration.Value, bool) {
	h.agent.mu.Lock()
	defer h.agent.mu.Unlock()
	return h.agent.core.Lookup(name, revision)
}

// deliverAck passes an ack to the Probe call that waits for it. It ignores replies to an
// exchange, which Exchange returns itself.
func (a *Agent) deliverAck(message control.Message) {
	ack, ok := message.(control.Ack)
	if !ok {
		return
	}
	a.mu.Lock()
	response := a.pendingProbes[probeKey{ack.To, ack.Sequence}]
	a.mu.Unlock()
	if response == nil {
		return
	}
	select {
	case response <- ack:
	default:
	}
}
