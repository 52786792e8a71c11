package edge

// minZoneTransferBytes is the size of what a stage moves from which its zone matters.
const minZoneTransferBytes = 256 << 10

// preferredZone returns the zone in which a stage should run: where its inputs are, or where
// its results will be read; empty if too little is moved for it to matter.
func (t *transaction) preferredZone(stage int, inputs []string) string {
	definition := t.route.Stages[stage]
	if len(definition.DependsOn) > 0 {
		var moved int64
		for _, before := range definition.DependsOn {
			moved += t.route.Stages[before].ResultBytes * int64(t.pieces(before)*t.pieces(stage))
		}
		if moved < minZoneTransferBytes {
			return ""
		}
		return t.view.mostCommonZone(inputs, t.s.dialect)
	}
	if t.dependentCount(stage) > 0 || definition.ResultBytes*int64(t.pieces(stage)) < minZoneTransferBytes {
		return ""
	}
	return t.s.upstreams.zoneFor(t.view, t.pool, t.placementRequest())
}

// mostCommonZone returns the zone that holds most of the results.
func (v *View) mostCommonZone(handles []string, dialect Dialect) string {
	counts := map[string]int{}
	best := ""
	for _, handle := range handles {
		zone := v.ZoneOf[dialect.HandleAddress(handle)]
		counts[zone]++
		if best == "" || counts[zone] > counts[best] {
			best = zone
		}
	}
	return best
}
