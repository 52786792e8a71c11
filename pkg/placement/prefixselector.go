package placement

// minSpreadFraction is the minimum number of distinct values of a prompt part, as a fraction of
// the upstreams, for requests to be placed by that part. Spreading over fewer upstreams than
// there are is acceptable because busy upstreams overflow to others.
const minSpreadFraction = 0.25

// maxPromptParts bounds the number of prompt parts that are considered.
const maxPromptParts = 4

// PrefixSelector selects the part of the prompt by which the requests of one route are placed.
// An early part is shared by more requests, so placing by it makes best use of the prefix
// caches; but a part with few distinct values would send all requests to a few upstreams. The
// zero value is ready to use.
type PrefixSelector struct {
	distinctByPart [maxPromptParts]DistinctEstimator
}

// Choose records the shared parts of a prompt, in prompt order, and returns the part to place
// the request by: the first one with enough distinct values for the number of upstreams, or
// else the last one.
func (s *PrefixSelector) Choose(parts []string, upstreams int) string {
	if len(parts) == 0 {
		return ""
	}
	chosen := ""
	for i, part := range parts[:min(len(parts), maxPromptParts)] {
		s.distinctByPart[i].Add(part)
		if chosen == "" && s.distinctByPart[i].Estimate() >= minSpreadFraction*float64(upstreams) {
			chosen = part
		}
	}
	if chosen == "" {
		return parts[len(parts)-1]
	}
	return chosen
}
