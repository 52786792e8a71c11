package fleet

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// SetPartitioned states in the entry of this VM whether it is partitioned from all upstreams. It reports
// whether that is a change.
func (d *Directory) SetPartitioned(partitioned bool) bool {
	if d.self.Partitioned == partitioned {
		return false
	}
	d.self.Partitioned = partitioned
	d.bumpVersion()
	return true
}

// hasConnected reports whether this VM, or a reachable one that responds, is not partitioned from all
// upstreams.
func (d *Directory) hasConnected(now clock.Instant) bool {
	if !d.self.Partitioned && !d.self.Leaving {
		return true
	}
	for _, entry := range d.entries {
		if !entry.Partitioned && !entry.unresponsive && d.isReachable(now, entry) {
			return true
		}
	}
	return false
}

// demotePartitioned puts the VMs that are partitioned from all upstreams after all other candidates.
func demotePartitioned(candidates []candidate) {
	for i := range candidates {
		if candidates[i].entry.Partitioned {
			candidates[i].tier += tierPartitioned
		}
	}
}
