package resume

// Origin is the pool of the upstream that began a stream, and the version of its software.
type Origin struct {
	Pool    string
	Version string
}

// Certainty says how much is known of the origin of a stream. Of two answers the one with the higher
// certainty counts.
type Certainty uint8

const (
	// Unknown means that nothing is known.
	Unknown Certainty = iota
	// Sole means that the pool had no other version while the stream may have begun.
	Sole
	// Mixed means that the pool had several versions while the stream may have begun.
	Mixed
	// Cached means that only engines of this version cache the prompt of the stream.
	Cached
	// CachedBySeveral means that engines of several versions do.
	CachedBySeveral
	// Recorded means that there is a record of the stream.
	Recorded
	// Ambiguous means that records of the stream contradict each other.
	Ambiguous

	certaintyCount
)

var certaintyNames = [certaintyCount]string{
	Unknown: "unknown", Sole: "sole", Mixed: "mixed", Cached: "cached", CachedBySeveral: "cached_by_several", Recorded: "recorded", Ambiguous: "ambiguous",
}

// String returns the name of c.
func (c Certainty) String() string {
	if c >= certaintyCount {
		return "undefined"
	}
	return certaintyNames[c]
}

// Answer is what one VM knows of the origin of a stream. The origin is set if Known reports true.
type Answer struct {
	Certainty Certainty
	Origin    Origin
}

// Known reports whether the stream may be resumed at the origin.
func (a Answer) Known() bool {
	return a.Certainty == Sole || a.Certainty == Cached || a.Certainty == Recorded
}

// IsProven reports whether the stream has left a trace, so that it was begun. A caller can name any request.
func (a Answer) IsProven() bool { return a.Certainty == Cached || a.Certainty == Recorded }

// Merge returns what two VMs know together. The order of the answers does not matter.
func (a Answer) Merge(b Answer) Answer {
	switch {
	case a.Certainty > b.Certainty:
		return a
	case a.Certainty < b.Certainty:
		return b
	case a.Origin == b.Origin:
		return a
	case a.Certainty == Sole:
		// One of the VMs does not know a version yet that the other one does.
		return Answer{Certainty: Mixed}
	case a.Certainty == Cached:
		return Answer{Certainty: CachedBySeveral}
	case a.Certainty == Recorded:
		return Answer{Certainty: Ambiguous}
	}
	return a
}

// IsFinal reports whether the answers of other VMs can add nothing that allows the stream to be resumed
// elsewhere.
func (a Answer) IsFinal() bool { return a.Certainty >= Recorded }
