package edge

import (
	"slices"
	"time"

	"go.uber.org/zap"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/resume"
)

// bindOrigin binds the stream to the upstream that sends its first event, and tells the holders of its
// record. A caller that resumes the stream names the request that began it.
func (t *transaction) bindOrigin(entry *registry.Entry) {
	if t.origin != nil {
		return
	}
	origin := originAt(entry)
	t.origin = &origin
	if !t.route.Resumable {
		return
	}
	key := resume.KeyOf(t.workspaceName(), t.requestInfo.ID)
	t.s.origins.record(t.s.now(), key, origin)
	datagram := &hoistv1.Datagram{Origins: []*hoistv1.StreamOrigin{{Stream: key[:], Pool: origin.Pool, Version: origin.Version}}}
	for _, holder := range t.s.originHolders(key, originCopies) {
		t.s.gossip.sendDatagram(datagram, t.s.gossip.gossipAddress(holder.Address))
	}
}

// bindResumed binds a stream that the caller resumes to the pool and the software version that began it.
func (t *transaction) bindResumed() *errkind.Error {
	if t.route.Kind != catalog.Stream || t.requestInfo.LastEventID == "" {
		return nil
	}
	question := originQuestion{
		key: resume.KeyOf(t.workspaceName(), t.requestInfo.ResumedRequest), pool: t.pool, within: t.longestStream(),
	}
	answer := t.s.askOrigin(t.ctx, question)
	if !answer.Known() {
		answer = answer.Merge(t.askCaches())
	}
	t.s.metrics.resumedStreams.WithLabelValues(answer.Certainty.String()).Inc()
	t.s.logger.Info("stream resumed by its caller", zap.String("request", t.requestInfo.ID), zap.String("resumes", t.requestInfo.ResumedRequest),
		zap.String("certainty", answer.Certainty.String()), zap.String("pool", answer.Origin.Pool), zap.String("software", answer.Origin.Version))
	if !answer.Known() {
		return t.newError(errkind.StreamOriginUnknown, "what is known of the software version that began the stream: "+answer.Certainty.String())
	}
	if !t.route.UsesPool(answer.Origin.Pool) {
		return t.newError(errkind.NoUpstream, "the stream began in pool "+answer.Origin.Pool+", which the route does not use any more")
	}
	t.pool, t.origin, t.isResumed = answer.Origin.Pool, &answer.Origin, answer.IsProven()
	return nil
}

// longestStream returns how long ago a stream that is resumed now may have begun.
func (t *transaction) longestStream() time.Duration {
	if t.route.Timeout > 0 {
		return min(t.route.Timeout, originRetention)
	}
	return defaultRequestTimeout
}

// workspaceName returns the name of the workspace of the request, or "".
func (t *transaction) workspaceName() string {
	if t.workspace == nil {
		return ""
	}
	return t.workspace.Name
}

// mayUse reports whether the software version of an upstream may send the next event of the stream.
func (t *transaction) mayUse(entry *registry.Entry) bool {
	return t.origin == nil || originAt(entry) == *t.origin
}

// restrictions returns the upstreams of the pool that may not be used freely for this request.
func (t *transaction) restrictions(view *View) map[string]placement.Restriction {
	entries := view.InService[t.pool]
	restrictions := t.s.signals.restrictions(t.arrived, entries)
	for _, entry := range entries {
		if t.mayUse(entry) {
			continue
		}
		if restrictions == nil {
			restrictions = map[string]placement.Restriction{}
		}
		restrictions[entry.ID] = placement.Excluded
	}
	return restrictions
}

// hasUsableUpstream reports whether an upstream in service has the software version of the stream.
func (t *transaction) hasUsableUpstream(view *View) bool {
	return t.origin == nil || slices.ContainsFunc(view.InService[t.pool], t.mayUse)
}

// hasUntriedUpstream reports whether an upstream in service has the software version of the stream and
// was not tried.
func (t *transaction) hasUntriedUpstream(view *View) bool {
	return t.origin == nil || slices.ContainsFunc(view.InService[t.pool], func(entry *registry.Entry) bool {
		return !t.tried[entry.ID] && t.mayUse(entry)
	})
}

// checkVersion returns errWithheld if the upstream has registered again with another software version
// since it was chosen.
func (t *transaction) checkVersion(entry *registry.Entry) error {
	if current := t.s.view.Load().ByID[entry.ID]; current != nil && !t.mayUse(current) {
		return errWithheld
	}
	return nil
}
