package routing

// Picker chooses among the upstreams of this VM's zone or those of the other zones.
type Picker interface {
	// Pick returns the chosen candidate, or nil if every candidate is excluded.
	Pick(q *Query, candidates []*Upstream) *Upstream
}

// maxProbes is the number of random candidates tried before all are scanned. It keeps the
// usual cost of a pick independent of the number of upstreams.
const maxProbes = 8

// TwoChoices picks the better of two random upstreams that pass the filters. Two
// random choices keep VMs with the same delayed load reports from all choosing the same
// upstream.
type TwoChoices struct {
	Filters []Filter
	Scorer  Scorer
	Random  *Random
}

// Pick implements Picker.
func (p *TwoChoices) Pick(q *Query, candidates []*Upstream) *Upstream {
	if len(candidates) == 0 {
		return nil
	}
	first, second := p.probe(q, candidates)
	if second == nil && len(candidates) > 1 {
		first, second = p.scan(q, candidates)
	}
	if second == nil {
		return first
	}
	if p.Scorer.Score(q, second) < p.Scorer.Score(q, first) {
		return second
	}
	return first
}

// probe tries random candidates until two pass the filters.
func (p *TwoChoices) probe(q *Query, candidates []*Upstream) (first, second *Upstream) {
	for range min(maxProbes, 2*len(candidates)) {
		u := candidates[p.Random.IntN(len(candidates))]
		if u == first || !p.passesFilters(q, u) {
			continue
		}
		if first == nil {
			first = u
			continue
		}
		return first, u
	}
	return first, nil
}

// scan draws two of all candidates that pass the filters, by reservoir sampling.
func (p *TwoChoices) scan(q *Query, candidates []*Upstream) (first, second *Upstream) {
	passed := 0
	for _, u := range candidates {
		if !p.passesFilters(q, u) {
			continue
		}
		passed++
		switch slot := p.Random.IntN(passed); {
		case passed == 1:
			first = u
		case passed == 2:
			second = u
		case slot == 0:
			first = u
		case slot == 1:
			second = u
		}
	}
	return first, second
}

func (p *TwoChoices) passesFilters(q *Query, u *Upstream) bool {
	for _, f := range p.Filters {
		if !f.Pass(q, u) {
			return false
		}
	}
	return true
}
