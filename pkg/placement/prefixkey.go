package placement

// spreadPart is the part of the upstreams among which the requests of a route are spread if
// they are placed by one part of their prompt. Busy upstreams pass requests on to others.
const spreadPart = 0.25

// maxDepth bounds the parts of a prompt that are looked at.
const maxDepth = 4

// PrefixKey chooses by which part of its prompt a request of one route is placed. An early
// part is shared by more requests, and what follows it is read where the early part is
// already kept; but a part with few values would bring all requests to a few upstreams. The
// zero value has seen nothing.
type PrefixKey struct {
	depths [maxDepth]Diversity
}

// Choose records the shared parts of a prompt, the first one first, and returns the one by
// which the request is placed: the first with enough values for the number of upstreams, or
// else the last.
func (k *PrefixKey) Choose(parts []string, upstreams int) string {
	if len(parts) == 0 {
		return ""
	}
	chosen := ""
	for depth, part := range parts[:min(len(parts), maxDepth)] {
		k.depths[depth].Add(part)
		if chosen == "" && k.depths[depth].Estimate() >= spreadPart*float64(upstreams) {
			chosen = part
		}
	}
	if chosen == "" {
		return parts[len(parts)-1]
	}
	return chosen
}
