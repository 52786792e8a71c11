package edge

// minZoneTransferBytes is the amount of transferred data from which the zone of a stage matters.
const minZoneTransferBytes = 256 << 10

// preferredZone returns the zone in which a stage should run: that of its inputs or, for a stage
// without inputs, that of the upstream that will probably read its results. It is empty if too
// little data is transferred for the zone to matter.
func (t *transaction) preferredZone(stage int, inputs []string) string {
	definition := t.route.Stages[stage]
	if len(definition.DependsOn) > 0 {
		if t.inputBytes(stage) < minZoneTransferBytes {
			return ""
		}
		return t.view.mostCommonZone(inputs, t.s.dialect)
	}
	if t.dependentCount(stage) > 0 || definition.ResultBytes*int64(t.pieces(stage)) < minZoneTransferBytes {
		return ""
	}
	if t.s.placesByOwner(t.view, t.pool) {
		return t.engineZone()
	}
	return t.s.upstreams.pickZone(t.view, t.pool, t.placementRequest(t.view))
}

// inputBytes returns how much data the pieces of a stage read: each piece reads all inputs.
func (t *transaction) inputBytes(stage int) int64 {
	var n int64
	for _, dependency := range t.route.Stages[stage].DependsOn {
		n += t.route.Stages[dependency].ResultBytes * int64(t.pieces(dependency)*t.pieces(stage))
	}
	return n
}

// inputZone returns the zone that holds most of the inputs of the request itself, or "" if they are
// not there yet or so small that their zone does not matter.
func (t *transaction) inputZone() string {
	if t.inputs == nil {
		return ""
	}
	bytesIn := map[string]int64{}
	largest := ""
	for stage, handles := range t.inputs.byStage {
		for _, handle := range handles {
			zone := t.view.ZoneOf[t.s.dialect.HandleAddress(handle)]
			bytesIn[zone] += t.route.Stages[stage].ResultBytes
			if bytesIn[zone] > bytesIn[largest] {
				largest = zone
			}
		}
	}
	if bytesIn[largest] < minZoneTransferBytes {
		return ""
	}
	return largest
}

// mostCommonZone returns the zone that holds the most results.
func (v *View) mostCommonZone(handles []string, dialect Dialect) string {
	counts := map[string]int{}
	mostCommon := ""
	for _, handle := range handles {
		zone := v.ZoneOf[dialect.HandleAddress(handle)]
		counts[zone]++
		if mostCommon == "" || counts[zone] > counts[mostCommon] {
			mostCommon = zone
		}
	}
	return mostCommon
}
