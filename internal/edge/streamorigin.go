package edge

import (
	"sync"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
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

// originAt returns the origin of the streams that an upstream begins.
func originAt(entry *registry.Entry) resume.Origin {
	return resume.Origin{Pool: entry.Pool, Version: entry.SoftwareVersion}
}

// observe records the software versions of the registered upstreams.
func (o *streamOrigins) observe(now clock.Instant, upstreams map[string]*registry.Entry) {
	present := map[resume.Origin]bool{}
	for _, entry := range upstreams {
		present[originAt(entry)] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Observe(now, present)
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
	if age, _ := s.follower.age(); answer.Certainty == resume.Sole && age > fleet.StaleTablesAge {
		return resume.Answer{}
	}
	return answer
}
