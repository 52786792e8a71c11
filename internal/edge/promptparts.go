package edge

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

// soundStreamTime is how long a stream must go on after its first event to show that the parts of its
// prompt crash no upstream. A request may crash its upstream just after the first event.
const soundStreamTime = time.Second

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
// request whose answer has shown that its parts are sound is not refused.
func (t *transaction) blockedParts() []poison.Part {
	if t.partsAnswered {
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
	t.recordPartsAnswered()
	t.s.parts.recordRequestAnswer(t.fingerprint.RequestKey())
}

// recordPartsAnswered records that the parts of the prompt crash no upstream. They may have come under
// suspicion again since an earlier call.
func (t *transaction) recordPartsAnswered() {
	t.partsAnswered = true
	t.s.parts.recordAnswer(t.promptParts())
}

// poisonPromptError returns the error of a request with parts of a prompt that crash upstreams.
func (t *transaction) poisonPromptError(blocked []poison.Part) *errkind.Error {
	failure := errkind.New(errkind.PoisonPrompt, "blocked parts of the prompt: "+formatParts(blocked))
	if t.mayHaveRun {
		failure = failure.RaiseRunState(errkind.Unknown)
	}
	return failure
}
