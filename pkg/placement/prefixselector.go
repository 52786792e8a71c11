package placement

import "github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"

const (
	// maxPromptParts bounds the number of prompt parts that are considered.
	maxPromptParts = 4
	// partSpread is the number of upstreams that cache a part, relative to an even split of all
	// upstreams over the values of the part. Subsets of several values overlap by chance, so a
	// larger spread balances the load better; a smaller one reads the part at fewer upstreams.
	partSpread = 3.0
)

// PrefixLevel is one shared part of a prompt: the requests with this part spread over a subset of
// the upstreams.
type PrefixLevel struct {
	Part rendezvous.Hash
	// Upstreams is the size of the subset; 0 means all.
	Upstreams int
}

// PrefixSelector chooses for the prompts of one route over how many upstreams the requests with the
// same part spread. A part with many values, of which each has few requests, is best cached at few
// upstreams; one with few values would overload these. The zero value is ready to use.
type PrefixSelector struct {
	distinctByPart [maxPromptParts]DistinctEstimator
}

// Choose records the shared parts of a prompt, in prompt order, and returns their levels. Each
// level is a subset of the one before, and the last part decides within the last subset.
func (s *PrefixSelector) Choose(parts []string, upstreams int) []PrefixLevel {
	levels := make([]PrefixLevel, 0, maxPromptParts)
	for i, part := range parts[:min(len(parts), maxPromptParts)] {
		s.distinctByPart[i].Add(part)
		level := PrefixLevel{Part: rendezvous.HashOf(part)}
		if distinct := s.distinctByPart[i].Estimate(); distinct > 0 {
			level.Upstreams = max(preferredUpstreams, int(partSpread*float64(upstreams)/distinct))
		}
		levels = append(levels, level)
	}
	return levels
}
