package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/resume"
)

const (
	// originCopies is the number of VMs that hold the record of a stream.
	originCopies = 3
	// originHoldersAsked is the number of VMs that are asked for a record. It is larger, since their
	// directories may differ from that of the sender.
	originHoldersAsked = 6
	// originTimeout bounds the questions for the record of one stream.
	originTimeout = 150 * time.Millisecond
	// originRetention is how long records and software versions are kept.
	originRetention = time.Minute
	// maxOrigins bounds the records of a VM.
	maxOrigins = 1 << 16
	// maxOriginName bounds the names of a pool and of a software version in messages between VMs.
	maxOriginName = 256
)

// errOriginKey reports a question that no VM asks.
var errOriginKey = status.Errorf(codes.InvalidArgument, "the key of a stream does not have %d bytes", resume.KeySize)

// streamOrigins holds the software versions at which recent streams began, and those of the pools.
type streamOrigins struct {
	mu      sync.Mutex
	records *resume.Origins
	history resume.History
}

func newStreamOrigins() *streamOrigins {
	return &streamOrigins{records: resume.NewOrigins(maxOrigins)}
}

func (o *streamOrigins) record(now clock.Instant, key resume.Key, origin resume.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Record(now, key, origin)
}

// observe records the software versions of the registered upstreams.
func (o *streamOrigins) observe(now clock.Instant, upstreams map[string]*registry.Entry) {
	versions := map[string]map[string]bool{}
	for _, entry := range upstreams {
		if versions[entry.Pool] == nil {
			versions[entry.Pool] = map[string]bool{}
		}
		versions[entry.Pool][entry.SoftwareVersion] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Observe(now, versions)
}

// interrupt records that the tables were out of date, so that versions may have come and gone unseen.
func (o *streamOrigins) interrupt(now clock.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Interrupt(now)
}

func (o *streamOrigins) expire(now clock.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := now.Add(-originRetention)
	o.records.Expire(before)
	o.history.Expire(before)
}

// find returns what this VM knows of a stream.
func (o *streamOrigins) find(now clock.Instant, question originQuestion) resume.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Find(question.key).Merge(o.history.Find(now, question.pool, question.within))
}

// originQuestion asks for the origin of a stream.
type originQuestion struct {
	key resume.Key
	// pool is where the stream began if there is no record of it.
	pool string
	// within is how long ago the stream began at most.
	within time.Duration
}

// findOrigin returns what this VM knows of a stream. Tables that are out of date say nothing.
func (s *Server) findOrigin(question originQuestion) resume.Answer {
	answer := s.origins.find(s.now(), question)
	if age, _ := s.follower.age(); answer.Certainty == resume.Sole && age > staleTablesAge {
		return resume.Answer{}
	}
	return answer
}

// askOrigin returns what this VM and the holders of the record know of a stream.
func (s *Server) askOrigin(ctx context.Context, question originQuestion) resume.Answer {
	answer := s.findOrigin(question)
	if answer.IsFinal() {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	holders := s.originHolders(question.key, originHoldersAsked)
	answers := make(chan resume.Answer, len(holders))
	for _, holder := range holders {
		go func() { answers <- s.askOriginAt(ctx, holder, question) }()
	}
	for range holders {
		answer = answer.Merge(<-answers)
		if answer.IsFinal() {
			break
		}
	}
	return answer
}

// askOriginAt asks another VM. Without an answer nothing is known.
func (s *Server) askOriginAt(ctx context.Context, holder fleet.Entry, question originQuestion) resume.Answer {
	request := &hoistv1.FindOriginRequest{Stream: question.key[:], Pool: question.pool, WithinMs: question.within.Milliseconds()}
	var response *hoistv1.FindOriginResponse
	err := s.peers.callBriefly(ctx, holder, func(ctx context.Context, client hoistv1.FleetClient) (err error) {
		response, err = client.FindOrigin(ctx, request)
		return err
	})
	if err != nil {
		s.logger.Info("origin of a stream not asked", zap.String("peer", holder.Name), obs.ErrorField(err))
		return resume.Answer{}
	}
	return originAnswerFromProto(response)
}

// originHolders returns the other VMs that hold, or may hold, the record of a stream.
func (s *Server) originHolders(key resume.Key, n int) []fleet.Entry {
	var others []fleet.Entry
	for _, vm := range s.gossip.ranking("stream origin " + string(key[:])) {
		if vm.Name != s.settings.VM {
			others = append(others, vm)
		}
	}
	return resume.Holders(others, n)
}

// FindOrigin returns what this VM knows of the origin of a stream.
func (f fleetServer) FindOrigin(_ context.Context, r *hoistv1.FindOriginRequest) (*hoistv1.FindOriginResponse, error) {
	key, ok := originKeyFromProto(r.GetStream())
	if !ok {
		return nil, errOriginKey
	}
	answer := f.s.findOrigin(originQuestion{key: key, pool: r.GetPool(), within: durationFromProto(r.GetWithinMs(), time.Millisecond)})
	return &hoistv1.FindOriginResponse{Certainty: uint32(answer.Certainty), Pool: answer.Origin.Pool, Version: answer.Origin.Version}, nil
}

// originKeyFromProto decodes the key of a stream, and reports whether it is one.
func originKeyFromProto(data []byte) (resume.Key, bool) {
	if len(data) != resume.KeySize {
		return resume.Key{}, false
	}
	return resume.Key(data), true
}

// originAnswerFromProto decodes an answer. One that no VM of this version gives says nothing.
func originAnswerFromProto(r *hoistv1.FindOriginResponse) resume.Answer {
	if r.GetCertainty() > uint32(resume.Ambiguous) {
		return resume.Answer{}
	}
	return resume.Answer{
		Certainty: resume.Certainty(r.GetCertainty()), Origin: resume.Origin{Pool: r.GetPool(), Version: r.GetVersion()},
	}
}

// recordRemoteOrigins records the origins of streams that another VM sent. Malformed ones are ignored.
func (s *Server) recordRemoteOrigins(origins []*hoistv1.StreamOrigin) {
	for _, origin := range origins {
		key, ok := originKeyFromProto(origin.GetStream())
		if !ok || len(origin.GetPool()) > maxOriginName || len(origin.GetVersion()) > maxOriginName {
			s.metrics.ignoredDatagrams.WithLabelValues("origin").Inc()
			continue
		}
		s.origins.record(s.now(), key, resume.Origin{Pool: origin.GetPool(), Version: origin.GetVersion()})
	}
}

// bindOrigin binds the stream to the upstream that sends its first event, and tells the holders of its
// record. A caller that resumes the stream names the request that began it.
func (t *transaction) bindOrigin(entry *registry.Entry) {
	if t.origin != nil {
		return
	}
	t.origin = &resume.Origin{Pool: t.pool, Version: entry.SoftwareVersion}
	if !t.route.Resumable {
		return
	}
	key := resume.KeyOf(t.workspaceName(), t.requestInfo.ID)
	t.s.origins.record(t.s.now(), key, *t.origin)
	datagram := &hoistv1.Datagram{Origins: []*hoistv1.StreamOrigin{{Stream: key[:], Pool: t.origin.Pool, Version: t.origin.Version}}}
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
		answer = answer.Merge(t.askKeepers())
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
	t.pool, t.origin, t.isResumed = answer.Origin.Pool, &answer.Origin, true
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
	return t.origin == nil || (entry.Pool == t.origin.Pool && entry.SoftwareVersion == t.origin.Version)
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
