package gossip

import (
	"bytes"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// MergeSuspects merges suspects from the local gateway or a peer and queues changed
// ones for sending. The upstreams of a fingerprint are merged, and it expires at the
// later of the two times.
func (s *Store) MergeSuspects(now clock.Instant, suspects []Suspect) {
	for _, incoming := range suspects {
		if s.mergeSuspect(now, incoming) {
			s.suspectQueue.put(incoming.Fingerprint)
		}
	}
}

// ttlResolution is the increase of a lifetime that does not count as a change. Without
// it, every message would extend the expiry by its delay, and agents would resend a
// suspect forever.
const ttlResolution = 10 * time.Second

func (s *Store) mergeSuspect(now clock.Instant, incoming Suspect) bool {
	if incoming.TTL <= 0 {
		return false
	}
	expiresAt := now.Add(min(incoming.TTL, MaxSuspectTTL))
	known := s.suspects[incoming.Fingerprint]
	if known == nil {
		if len(s.suspects) >= MaxSuspects && !s.evictEarliest(expiresAt) {
			return false
		}
		known = &suspectRecord{}
		s.suspects[incoming.Fingerprint] = known
		s.suspectRotation = append(s.suspectRotation, incoming.Fingerprint)
	}
	changed := false
	for _, upstream := range incoming.Upstreams {
		if len(known.upstreams) >= MaxUpstreamsPerSuspect || !validName(upstream) {
			continue
		}
		if at, found := slices.BinarySearch(known.upstreams, upstream); !found {
			known.upstreams = slices.Insert(known.upstreams, at, upstream)
			changed = true
		}
	}
	if expiresAt.After(known.expiresAt.Add(ttlResolution)) {
		known.expiresAt = expiresAt
		changed = true
	}
	if changed {
		s.version++
	}
	return changed
}

// evictEarliest drops the suspect that expires first to make room for a new one. It
// returns false if no suspect expires before the new one.
func (s *Store) evictEarliest(expiresAt clock.Instant) bool {
	var earliest *Fingerprint
	for fingerprint, entry := range s.suspects {
		if !entry.expiresAt.Before(expiresAt) {
			continue
		}
		if earliest == nil || entry.expiresAt.Before(s.suspects[*earliest].expiresAt) ||
			(entry.expiresAt == s.suspects[*earliest].expiresAt && bytes.Compare(fingerprint[:], earliest[:]) < 0) {
			earliest = &fingerprint
		}
	}
	if earliest == nil {
		return false
	}
	s.removeSuspect(*earliest)
	return true
}

func (s *Store) removeSuspect(fingerprint Fingerprint) {
	delete(s.suspects, fingerprint)
	s.suspectQueue.remove(fingerprint)
	s.suspectRotation = slices.DeleteFunc(s.suspectRotation, func(f Fingerprint) bool { return f == fingerprint })
	s.version++
}

// TakeSuspects returns the suspects for the next message.
func (s *Store) TakeSuspects(now clock.Instant) []Suspect {
	var out []Suspect
	for _, fingerprint := range s.suspectQueue.take(MaxSuspectsPerMessage, s.retransmissions()) {
		if entry := s.suspects[fingerprint]; entry != nil {
			out = append(out, entry.toSuspect(now, fingerprint))
		}
	}
	if len(out) == 0 {
		for range min(repeatedSuspectsPerMessage, len(s.suspectRotation)) {
			fingerprint := s.suspectRotation[0]
			s.suspectRotation = append(s.suspectRotation[1:], fingerprint)
			out = append(out, s.suspects[fingerprint].toSuspect(now, fingerprint))
		}
	}
	return out
}

// Suspects returns all suspects, sorted by fingerprint.
func (s *Store) Suspects(now clock.Instant) []Suspect {
	out := make([]Suspect, 0, len(s.suspects))
	for fingerprint, entry := range s.suspects {
		out = append(out, entry.toSuspect(now, fingerprint))
	}
	slices.SortFunc(out, func(a, b Suspect) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}

func (e *suspectRecord) toSuspect(now clock.Instant, fingerprint Fingerprint) Suspect {
	return Suspect{Fingerprint: fingerprint, Upstreams: slices.Clone(e.upstreams), TTL: e.expiresAt.Sub(now)}
}
