package routing

// spilloverUtilization is the utilization of the upstream picked in this VM's zone
// above which other zones are considered.
const spilloverUtilization = 0.8

// ZoneSpillover picks an upstream of this VM's zone while that zone is not busy. Otherwise it
// compares a pick from this zone with one from the other zones and takes the one with the
// better score. This VM's shares limit how much it sends to other zones.
type ZoneSpillover struct {
	Picker Picker
	Scorer Scorer

	ownZone, otherZones candidateSet
}

// candidateSet holds the candidates of this VM's zone or of the other zones.
type candidateSet struct {
	// upstreams[:available] are in service and below their limit, so that Pick need not look
	// at the others.
	upstreams []*Upstream
	available int
	// preferredCache holds entries of the current version, which changes with the upstreams
	// that may be preferred.
	preferredCache [prefixGroups]preferredEntry
	version        uint32
}

// SetCandidates replaces all candidates.
func (z *ZoneSpillover) SetCandidates(upstreams []*Upstream) {
	z.ownZone.clear()
	z.otherZones.clear()
	for _, u := range upstreams {
		s := z.candidatesFor(u)
		u.index = len(s.upstreams)
		u.listed = true
		u.nameHash = hashName(u.Name)
		u.preferable = u.InService && u.Warm
		s.upstreams = append(s.upstreams, u)
		s.update(u)
	}
}

// Update must be called after a change of Limit, InFlight, InService or Warm.
func (z *ZoneSpillover) Update(u *Upstream) {
	if u.listed {
		z.candidatesFor(u).update(u)
	}
}

// Pick returns the chosen upstream, or nil if every upstream is excluded.
func (z *ZoneSpillover) Pick(q *Query) *Upstream {
	own := z.Picker.Pick(q, z.ownZone.upstreams[:z.ownZone.available])
	if own != nil && own.Utilization(q.Now) <= spilloverUtilization {
		return own
	}
	other := z.Picker.Pick(q, z.otherZones.upstreams[:z.otherZones.available])
	switch {
	case own == nil:
		return other
	case other == nil:
		return own
	case z.Scorer.Score(q, other) < z.Scorer.Score(q, own):
		return other
	default:
		return own
	}
}

func (z *ZoneSpillover) candidatesFor(u *Upstream) *candidateSet {
	if u.OwnZone {
		return &z.ownZone
	}
	return &z.otherZones
}

func (s *candidateSet) clear() {
	for _, u := range s.upstreams {
		u.listed = false
	}
	s.upstreams = s.upstreams[:0]
	s.available = 0
	s.version++
}

func (s *candidateSet) update(u *Upstream) {
	if preferable := u.InService && u.Warm; preferable != u.preferable {
		u.preferable = preferable
		s.version++
	}
	available := u.InService && u.InFlight < u.Limit
	switch {
	case available && u.index >= s.available:
		s.swap(u.index, s.available)
		s.available++
	case !available && u.index < s.available:
		s.available--
		s.swap(u.index, s.available)
	}
}

func (s *candidateSet) swap(i, j int) {
	s.upstreams[i], s.upstreams[j] = s.upstreams[j], s.upstreams[i]
	s.upstreams[i].index, s.upstreams[j].index = i, j
}
