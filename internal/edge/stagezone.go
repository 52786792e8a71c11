package edge

// movedBytes is the size of what a stage moves from which its zone matters.
const movedBytes = 256 << 10

// stageZone returns the zone in which a stage should run: where its inputs are, or where
// its results will be read; empty if too little is moved for it to matter.
func (t *transfer) stageZone(stage int, inputs []string) string {
	definition := t.route.Stages[stage]
	if len(definition.DependsOn) > 0 {
		var moved int64
		for _, before := range definition.DependsOn {
			moved += t.route.Stages[before].ResultBytes * int64(t.pieces(before)*t.pieces(stage))
		}
		if moved < movedBytes {
			return ""
		}
		return t.view.mostCommonZone(inputs, t.s.dialect)
	}
	if t.followers(stage) > 0 || definition.ResultBytes*int64(t.pieces(stage)) < movedBytes {
		return ""
	}
	return t.s.upstreams.zoneFor(t.view, t.pool, t.query())
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
