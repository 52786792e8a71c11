package edge

import (
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

// sharedParts returns the IDs of the parts of the prompt that other requests may have too: all but
// the last, which belongs to this request or its session.
func (t *transaction) sharedParts() []string {
	var shared []string
	for _, part := range t.requestInfo.PromptPrefix[:max(0, len(t.requestInfo.PromptPrefix)-1)] {
		shared = append(shared, part.ID)
	}
	return shared
}

// promptParts returns the shared parts of the prompt.
func (t *transaction) promptParts() []poison.Part {
	if t.parts == nil {
		for _, id := range t.sharedParts() {
			t.parts = append(t.parts, poison.PartOf(id))
		}
	}
	return t.parts
}

// blockedParts returns the parts of the prompt for which the request is refused; nil if it is not. A
// request whose answer has begun is not refused.
func (t *transaction) blockedParts() []poison.Part {
	if t.events > 0 {
		return nil
	}
	return t.s.parts.check(t.promptParts())
}

// recordCompleteAnswer records that the request was answered, so that neither it nor its parts crash
// upstreams. An answer that ends with its connection may have been cut off by a crash.
func (t *transaction) recordCompleteAnswer(upstreamLease *lease, exchange *outbound.Exchange) {
	if exchange.EndsWithConnection && t.s.checkForCrash(t, upstreamLease.entry) {
		return
	}
	t.s.parts.recordAnswer(t.promptParts())
	t.s.parts.recordRequestAnswer(t.fingerprint.RequestKey())
}

// poisonPromptError returns the error of a request with parts of a prompt that crash upstreams.
func (t *transaction) poisonPromptError(blocked []poison.Part) *errkind.Error {
	failure := errkind.New(errkind.PoisonPrompt, "blocked parts of the prompt: "+formatParts(blocked))
	if t.mayHaveRun {
		failure = failure.RaiseRunState(errkind.Unknown)
	}
	return failure
}
