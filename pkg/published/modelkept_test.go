package published

import "github.com/google/go-cmp/cmp"

// checkHandedOn checks that a VM that starts and pulls from the VM gets what is in force there.
func (m *model) checkHandedOn(vm *modelVM) {
	if !vm.state.Complete() {
		return
	}
	started := New(decodeTest)
	pull(m.now, vm.state, started)
	if !started.Complete() {
		return // The values of the era have not arrived at the VM itself.
	}
	if versionOf(started) != versionOf(vm.state) {
		m.Fatalf("version %d is handed on, %d is in force", versionOf(started), versionOf(vm.state))
	}
	if diff := cmp.Diff(vm.state.ZonesOut(), started.ZonesOut()); diff != "" {
		m.Fatalf("the zones that are handed on differ from those out of service: %s", diff)
	}
}

// checkStarted checks that a VM that starts now has the highest version at any VM of its era once it has
// pulled from them. Its first tables come from the VM with the index, or from the store if it is negative.
func (m *model) checkStarted(first int) {
	started := New(decodeTest)
	if first < 0 {
		started.List(m.now, m.store.list(), m.store.at, m.now)
	} else if state := m.vms[first].state; state.Complete() {
		pull(m.now, state, started)
	}
	for range 2 { // The first pull may bring a higher era.
		for _, vm := range m.vms[:legacyVM] {
			if vm.state.Complete() {
				pull(m.now, vm.state, started)
			}
		}
	}
	for i, vm := range m.vms[:legacyVM] {
		isConnected := vm.state.Complete() && vm.state.Position().Era == started.Position().Era
		if isConnected && versionOf(started) < versionOf(vm.state) {
			m.Fatalf("version %d at a VM that starts, %d at VM %d", versionOf(started), versionOf(vm.state), i)
		}
	}
}
