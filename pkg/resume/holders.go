package resume

import "github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"

// Holders returns up to n VMs of a ranking that hold the record of a stream. VMs of different zones come
// first, so that the record outlasts a zone. A larger n adds VMs and leaves out none.
func Holders(ranking []fleet.Entry, n int) []fleet.Entry {
	zones := map[string]bool{}
	var holders, others []fleet.Entry
	for _, vm := range ranking {
		if zones[vm.Zone] {
			others = append(others, vm)
			continue
		}
		zones[vm.Zone] = true
		holders = append(holders, vm)
	}
	holders = append(holders, others...)
	return holders[:min(n, len(holders))]
}
