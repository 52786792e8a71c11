package published

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

const (
	modelVMs = 4
	// legacyVM is the index of a VM of an older version, which knows nothing of eras.
	legacyVM     = 3
	modelWorkers = 4
	// silenceTime is how long the store keeps the entry of a silent worker.
	silenceTime = 3600 * time.Millisecond
)

// modelWorker is an upstream that writes its entry.
type modelWorker struct {
	start, sequence int64
	alive, draining bool
	// silentSince is when the store last heard of a worker that has left, or returned from a copy.
	silentSince clock.Instant
}

// knownWorker is the last state of a worker that a VM has seen by the worker's own count.
type knownWorker struct {
	start, sequence int64
	leaves          bool
	seenAt          clock.Instant
}

func (k knownWorker) isAfter(start, sequence int64) bool {
	return k.start > start || (k.start == start && k.sequence > sequence)
}

// modelVM is a VM with the answers that are on their way to it.
type modelVM struct {
	state    *State
	legacy   bool
	pending  []func(vm *modelVM)
	known    map[string]knownWorker
	newEraAt clock.Instant
	position replica.Position
	version  int64
}

func newModelVM(legacy bool) *modelVM {
	return &modelVM{state: New(decodeTest), legacy: legacy, known: map[string]knownWorker{}}
}

// seen returns a position as the VM sees it.
func (vm *modelVM) seen(p replica.Position) replica.Position {
	if vm.legacy {
		p.Era = 0
	}
	return p
}

// model is a fleet with a store.
type model struct {
	*rapid.T
	now     clock.Instant
	store   *modelStore
	version int64
	workers []*modelWorker
	zones   map[string]bool
	vms     []*modelVM
	// values holds the values that VMs have referred to.
	values map[replica.Reference][]byte
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, now: at(1000), store: newModelStore(), zones: map[string]bool{}, values: map[replica.Reference][]byte{}}
	for i := range modelVMs {
		m.vms = append(m.vms, newModelVM(i == legacyVM))
	}
	for range modelWorkers {
		m.workers = append(m.workers, &modelWorker{})
	}
	m.writeConfiguration()
	m.store.copied = m.store.clone()
	return m
}

func workerKey(i int) string { return fmt.Sprint(upPrefix, i) }

func (m *model) writeConfiguration() {
	m.writeVersion(m.version + 1)
}

// rewriteConfiguration writes the version after the store's, as an operator does who writes lost ones again.
func (m *model) rewriteConfiguration() {
	m.writeVersion(m.store.version + 1)
}

func (m *model) writeVersion(version int64) {
	m.version = max(m.version, version)
	m.store.version = version
	m.store.put(configKey, fmt.Appendf(configValue(version), " era %d", m.store.at.Era))
}

// writeWorker lets a worker write its entry.
func (m *model) writeWorker(i int) {
	w := m.workers[i]
	if w.alive {
		w.sequence++
		m.store.put(workerKey(i), upstreamValue(w.start, w.sequence, w.draining))
	}
}

// changeWorker starts a worker, lets one drain, or ends it.
func (m *model) changeWorker(i int) {
	w := m.workers[i]
	switch {
	case !w.alive:
		*w = modelWorker{start: w.start + 1, alive: true}
	case !w.draining:
		w.draining = true
	default:
		w.alive, w.silentSince = false, m.now
		m.store.put(workerKey(i), nil)
		return
	}
	m.writeWorker(i)
}

// changeZone takes a zone out of service or returns it.
func (m *model) changeZone(zone string) {
	m.zones[zone] = !m.zones[zone]
	m.writeZone(zone)
}

func (m *model) writeZone(zone string) {
	var value []byte
	if m.zones[zone] {
		value = []byte("{}")
	}
	m.store.put(zonePrefix+zone, value)
}

func (m *model) returnFromCopy() {
	m.store.returnFromCopy()
	for _, w := range m.workers {
		w.silentSince = m.now
	}
}

// advance moves the time, removes entries of workers that have left, and ticks all VMs.
func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for i, w := range m.workers {
		if !w.alive && m.now.Sub(w.silentSince) >= silenceTime {
			m.store.put(workerKey(i), nil)
		}
	}
	for _, vm := range m.vms {
		m.update(vm, vm.state.Tick(m.now))
	}
}

// read sends a listing or a watch to the store. Its answer arrives later.
func (m *model) read(vm *modelVM, mustList bool) {
	sentAt, after, position := m.now, vm.state.Position(), vm.seen(m.store.at)
	changes, known := m.store.changesAfter(after.Revision)
	if mustList || !vm.state.Complete() || !known || position.Era != after.Era {
		listed := m.store.list()
		vm.pending = append(vm.pending, func(vm *modelVM) { m.update(vm, vm.state.List(m.now, listed, position, sentAt)) })
		return
	}
	vm.pending = append(vm.pending, func(vm *modelVM) {
		m.update(vm, vm.state.Watch(m.now, changes, position, sentAt))
	})
}

// pull asks a peer for changes. Its answer arrives later.
func (m *model) pull(vm, peer *modelVM) {
	if !peer.state.Complete() {
		return
	}
	requested := vm.state.PullPosition()
	at, freshAt := vm.seen(peer.state.Position()), peer.state.FreshAt()
	var kept []replica.Item
	if !vm.legacy && !peer.legacy {
		kept = peer.state.Kept(versionOf(vm.state))
	}
	offerKept := func(vm *modelVM) { m.update(vm, vm.state.OfferKept(m.now, at, kept)) }
	asked := peer.seen(requested)
	if !peer.state.HasChangesSince(asked) {
		vm.pending = append(vm.pending, func(vm *modelVM) {
			m.update(vm, vm.state.Confirm(m.now, requested, at, freshAt))
			offerKept(vm)
		})
		return
	}
	changes := peer.state.ChangesSince(asked, true)
	if !vm.legacy && !peer.legacy && rapid.Bool().Draw(m.T, "references") {
		changes.Items, kept = m.referred(changes.Items), m.referred(kept)
	} else if !peer.state.HasValuesAfter(asked) {
		return
	}
	vm.pending = append(vm.pending, func(vm *modelVM) {
		if at.Era == 0 && vm.state.Position().Era > 0 {
			m.offerUnordered(vm, changes, freshAt)
			return
		}
		m.update(vm, vm.state.Merge(m.now, requested, changes, at, freshAt))
		offerKept(vm)
	})
}

// referred returns the items with references in place of the values of configurations.
func (m *model) referred(items []replica.Item) []replica.Item {
	out := slices.Clone(items)
	for i, item := range out {
		if item.Key == configKey && item.Value != nil {
			out[i].Reference, out[i].Value = replica.ReferenceTo(item.Value), nil
			m.values[out[i].Reference] = item.Value
		}
	}
	return out
}

// fetch asks for the outstanding values of a VM, which arrive later, and reports whether there are any.
func (m *model) fetch(vm *modelVM) bool {
	wanted := vm.state.Outstanding()
	for _, w := range wanted {
		w.Item.Value = m.values[w.Item.Reference]
		vm.pending = append(vm.pending, func(vm *modelVM) { m.update(vm, vm.state.Supply(m.now, w.Era, w.Item)) })
	}
	return len(wanted) > 0
}

// offerUnordered applies what a VM of an older version has sent. It changes neither the position nor the items, and
// brings no upstream into service.
func (m *model) offerUnordered(vm *modelVM, changes replica.Changes, freshAt clock.Instant) {
	before, position, at := inService(vm.state), vm.state.Position(), vm.state.FreshAt()
	m.update(vm, vm.state.OfferUnordered(m.now, changes, freshAt))
	if vm.state.Position() != position || vm.state.FreshAt() != at {
		m.Fatalf("an older VM's items moved the position from %v to %v", position, vm.state.Position())
	}
	for id := range inService(vm.state) {
		if !before[id] {
			m.Fatalf("an older VM's items brought worker %s into service", id)
		}
	}
}

func inService(s *State) map[string]bool {
	out := map[string]bool{}
	for _, entry := range s.Upstreams() {
		if !entry.Draining {
			out[entry.ID] = true
		}
	}
	return out
}

// deliver lets one of the pending answers arrive.
func (m *model) deliver(vm *modelVM, i int) {
	arrived := vm.pending[i]
	vm.pending = append(vm.pending[:i:i], vm.pending[i+1:]...)
	arrived(vm)
}

func (m *model) deliverAll(vm *modelVM) {
	for len(vm.pending) > 0 {
		m.deliver(vm, 0)
	}
}

// update checks the invariants of a VM after an update.
func (m *model) update(vm *modelVM, update Update) {
	if update.NewEra != nil {
		vm.newEraAt = m.now
	}
	if vm.state.Position().Compare(vm.position) < 0 {
		m.Fatalf("the position went from %v to %v", vm.position, vm.state.Position())
	}
	vm.position = vm.state.Position()
	if c := vm.state.Configuration(); c != nil {
		if c.Version < vm.version {
			m.Fatalf("the version in force went from %d to %d", vm.version, c.Version)
		}
		vm.version = c.Version
	}
	if !vm.legacy {
		m.checkWorkers(vm)
		m.checkHandedOn(vm)
	}
}

// checkWorkers checks that no worker is in service that the VM knows as draining or removed.
func (m *model) checkWorkers(vm *modelVM) {
	present := map[string]bool{}
	for _, entry := range vm.state.Upstreams() {
		present[entry.ID] = true
		known := vm.known[entry.ID]
		isOld := known.leaves && !(known.start < entry.StartID || (known.start == entry.StartID && known.sequence < entry.Sequence))
		mayBeRemembered := m.now.Sub(known.seenAt) < removalMemoryOfModel && m.now.Sub(vm.newEraAt) < withholdTimeOfModel
		if isOld && !entry.Draining && mayBeRemembered {
			m.Fatalf("worker %s is in service with %d/%d, known to leave at %d/%d", entry.ID, entry.StartID, entry.Sequence, known.start, known.sequence)
		}
		if !known.isAfter(entry.StartID, entry.Sequence) {
			vm.known[entry.ID] = knownWorker{start: entry.StartID, sequence: entry.Sequence, leaves: entry.Draining, seenAt: m.now}
		}
	}
	for id, known := range vm.known {
		if !present[id] && !known.leaves {
			known.leaves, known.seenAt = true, m.now
			vm.known[id] = known
		}
	}
}

// Times for which a State remembers removed upstreams and withholds entries.
const (
	removalMemoryOfModel = 30 * time.Second
	withholdTimeOfModel  = 5 * time.Second
)

func (m *model) step() {
	vm := m.vms[rapid.IntRange(0, modelVMs-1).Draw(m.T, "vm")]
	worker := rapid.IntRange(0, modelWorkers-1).Draw(m.T, "worker")
	switch rapid.IntRange(0, 18).Draw(m.T, "action") {
	case 15:
		m.fetch(vm)
	case 0:
		m.writeConfiguration()
	case 1:
		m.writeWorker(worker)
	case 2, 3:
		m.changeWorker(worker)
	case 4:
		m.changeZone(rapid.SampledFrom([]string{"a", "b"}).Draw(m.T, "zone"))
	case 5:
		m.store.copied = m.store.clone()
	case 6:
		m.returnFromCopy()
	case 7:
		m.store.compact()
	case 8:
		m.advance(time.Duration(rapid.IntRange(1, 4000).Draw(m.T, "ms")) * time.Millisecond)
	case 9:
		*vm = *newModelVM(vm.legacy)
	case 10, 11:
		m.read(vm, rapid.Bool().Draw(m.T, "list"))
	case 12:
		m.rewriteConfiguration()
	case 13:
		m.checkStarted(rapid.IntRange(-1, legacyVM-1).Draw(m.T, "first source"))
	case 14:
		if peer := m.vms[rapid.IntRange(0, modelVMs-1).Draw(m.T, "peer")]; peer != vm {
			m.pull(vm, peer)
		}
	default:
		if len(vm.pending) > 0 {
			m.deliver(vm, rapid.IntRange(0, len(vm.pending)-1).Draw(m.T, "answer"))
		}
	}
}

// settle lets all writers write again, brings all VMs up to date and ends what is kept for a time.
func (m *model) settle() {
	m.writeConfiguration()
	for _, zone := range []string{"a", "b"} {
		m.writeZone(zone)
	}
	for i := range m.workers {
		m.writeWorker(i)
	}
	m.advance(silenceTime)
	m.read(m.vms[0], false)
	m.deliverAll(m.vms[0])
	for _, vm := range m.vms[1:legacyVM] {
		for range 2 { // The first answer may be only a part.
			m.pull(vm, m.vms[0])
			m.deliverAll(vm)
		}
		for m.fetch(vm) {
			m.deliverAll(vm)
		}
	}
	m.advance(time.Minute)
}

// TestVMsConvergeAfterDrills lets a store return from copies while VMs read it, pull from each other, restart
// and get late answers. It guards against a VM that goes back to an older position or configuration, gives work
// to an upstream that it knows to leave, or never has what the store has; and against VMs that start and have less
// than the others.
func TestVMsConvergeAfterDrills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
		}
		m.settle()
		for i, vm := range m.vms[:legacyVM] {
			if vm.state.Position() != m.store.at {
				t.Fatalf("VM %d is at %v, the store at %v", i, vm.state.Position(), m.store.at)
			}
			m.compare(i, vm)
		}
	})
}

// compare compares what is in force at a VM with the store.
func (m *model) compare(i int, vm *modelVM) {
	expected := New(decodeTest)
	expected.List(m.now, m.store.list(), m.store.at, m.now)
	if diff := cmp.Diff(describe(expected), describe(vm.state)); diff != "" {
		m.Fatalf("VM %d differs from the store: %s", i, diff)
	}
}

// description is what is in force in a state.
type description struct {
	Version   int64
	Upstreams []catalog.Upstream
	ZonesOut  map[string]bool
	Items     []replica.Item
}

func describe(s *State) description {
	d := description{ZonesOut: s.ZonesOut(), Items: s.ChangesSince(pos(0, 0), false).Items}
	if c := s.Configuration(); c != nil {
		d.Version = c.Version
	}
	for _, entry := range s.Upstreams() {
		d.Upstreams = append(d.Upstreams, entry.Upstream)
	}
	return d
}
