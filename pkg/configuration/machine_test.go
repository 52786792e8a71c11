package configuration

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// testValidation accepts tables with equal contents, and VM lists that do not start with
// "bad".
var testValidation = Validation{
	Tables: func(routes, pools []byte) error {
		if string(routes) != string(pools) {
			return errors.New("tables do not fit")
		}
		return nil
	},
	VMList: func(data []byte) error {
		if strings.HasPrefix(string(data), "bad") {
			return errors.New("invalid list")
		}
		return nil
	},
}

// driver runs one machine and answers its reads from an in-memory platform.
type driver struct {
	machine      *Machine
	now          clock.Instant
	platform     map[Name]Value
	platformDown bool
	reads        int
	fetches      []Fetch
	adopted      []Adopted
	pendingReads []Read
}

func newDriver(members ...string) *driver {
	d := &driver{platform: map[Name]Value{}}
	d.machine = New(0, Options{Self: "vm-1", Zone: "a", Seed: 1, Validation: testValidation})
	d.setMembers(members...)
	return d
}

func (d *driver) setMembers(names ...string) {
	var list []Member
	for _, name := range names {
		list = append(list, Member{Name: name, Zone: "a", Live: true, Reachable: true})
	}
	d.record(d.machine.SetMembers(d.now, list))
}

func (d *driver) publish(name Name, revision uint64, text string) {
	d.platform[name] = NewValue(revision, []byte(text))
}

func (d *driver) publishAll(revision uint64) {
	for _, name := range Names {
		d.publish(name, revision, "x")
	}
}

func (d *driver) record(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Read:
			d.reads++
			d.pendingReads = append(d.pendingReads, action)
		case Fetch:
			d.fetches = append(d.fetches, action)
		case Adopted:
			d.adopted = append(d.adopted, action)
		}
	}
}

func (d *driver) answerReads() {
	var blocked []Read
	pending := d.pendingReads
	d.pendingReads = nil
	for _, read := range pending {
		value := d.platform[read.Name]
		switch {
		case d.platformDown:
			d.record(d.machine.HandleReadResult(d.now, ReadResult{ID: read.ID}))
		case value.Revision > read.After:
			d.record(d.machine.HandleReadResult(d.now, ReadResult{ID: read.ID, Status: ReadValue, Value: value}))
		case read.Wait == 0:
			d.record(d.machine.HandleReadResult(d.now, ReadResult{ID: read.ID, Status: ReadNoNewerValue}))
		default:
			blocked = append(blocked, read)
		}
	}
	d.pendingReads = append(blocked, d.pendingReads...)
}

func (d *driver) run(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); {
		d.now = d.now.Add(100 * time.Millisecond)
		d.record(d.machine.Tick(d.now))
		d.answerReads()
	}
}

func (d *driver) expectInForce(t *testing.T, name Name, revision uint64) {
	t.Helper()
	if got := d.machine.InForce(name).Revision; got != revision {
		t.Fatalf("%s: revision %d is in force, want %d", name, got, revision)
	}
}

// TestRestartIgnoresStalePlatform guards against a restarted process that adopts an old
// revision from a platform that serves stale data while a peer has a newer one.
func TestRestartIgnoresStalePlatform(t *testing.T) {
	d := newDriver("vm-1", "vm-2")
	d.publishAll(3)
	d.run(4 * time.Second)
	d.expectInForce(t, Routes, 0)
	var advertisements []Advertisement
	for _, name := range Names {
		advertisements = append(advertisements, Advertisement{Name: name, InForce: 7, Newest: 7})
	}
	d.record(d.machine.HandleAdvertisements(d.now, Peer{Name: "vm-2", Address: "a"}, advertisements, 0))
	d.expectInForce(t, Routes, 0)
	if len(d.fetches) != len(Names) {
		t.Fatalf("%d fetches, want one for each of %d newer values", len(d.fetches), len(Names))
	}
	for _, fetch := range d.fetches {
		d.record(d.machine.HandleFetchResult(d.now, FetchResult{ID: fetch.ID, Value: NewValue(7, []byte("x"))}))
	}
	d.run(5 * time.Minute)
	d.expectInForce(t, Routes, 7)
	d.expectInForce(t, VMs, 7)
	for _, adopted := range d.adopted {
		if adopted.Revision != 7 {
			t.Errorf("%s: revision %d was adopted", adopted.Name, adopted.Revision)
		}
	}
	if _, confirmed := d.machine.Confirmation(d.now); confirmed {
		t.Error("confirmed although the platform serves an older revision")
	}
}

// TestStartWithoutPeerValues guards against a process that never puts values in force when
// it has no peers, they do not respond, or they have no values either.
func TestStartWithoutPeerValues(t *testing.T) {
	alone := newDriver("vm-1")
	alone.publishAll(3)
	alone.run(2 * time.Second)
	alone.expectInForce(t, Pools, 3)

	silent := newDriver("vm-1", "vm-2")
	silent.publishAll(3)
	silent.run(6 * time.Second)
	silent.expectInForce(t, Pools, 3)
	// If the values stayed unconfirmed until the next poll, orders would be delayed by up
	// to minutes.
	if age, confirmed := silent.machine.Confirmation(silent.now); !confirmed {
		t.Errorf("unconfirmed at age %v although the platform responded", age)
	}

	empty := newDriver("vm-1", "vm-2")
	empty.publishAll(3)
	empty.record(empty.machine.HandleAdvertisements(empty.now, Peer{Name: "vm-2", Address: "a"}, []Advertisement{{Name: Routes}}, 0))
	empty.run(2 * time.Second)
	empty.expectInForce(t, Pools, 3)
}

// TestUnansweredWatchIsRetried guards against a watch on a connection that has failed
// silently, which would keep a new revision from coming into force within 15 s.
func TestUnansweredWatchIsRetried(t *testing.T) {
	const propagationLimit = 15 * time.Second
	d := newDriver("vm-1")
	d.publishAll(1)
	d.run(10 * time.Second)
	d.pendingReads = nil
	d.publishAll(2)
	d.run(propagationLimit)
	d.expectInForce(t, Pools, 2)
}

// TestInvalidRevisionIsNotAdopted guards against an invalid revision that comes into
// force, blocks a later valid one, or is not reported as rejected.
func TestInvalidRevisionIsNotAdopted(t *testing.T) {
	d := newDriver("vm-1")
	d.publishAll(1)
	d.run(2 * time.Second)
	d.publish(Routes, 2, "y")
	d.run(2 * time.Second)
	d.expectInForce(t, Routes, 1)
	rejections := d.machine.Rejections()
	if len(rejections) != 1 || rejections[0].Revision != 2 || rejections[0].Reason != "tables do not fit" {
		t.Fatalf("rejections %+v, want revision 2 of the routes", rejections)
	}
	if _, confirmed := d.machine.Confirmation(d.now); !confirmed {
		t.Error("unconfirmed although the platform responds")
	}
	d.publish(Pools, 2, "y")
	d.run(2 * time.Second)
	d.expectInForce(t, Routes, 2)
	d.expectInForce(t, Pools, 2)
	if got := d.machine.Rejections(); len(got) != 0 {
		t.Fatalf("rejections after both came into force: %+v", got)
	}
	d.publish(VMs, 2, "bad")
	d.run(2 * time.Second)
	d.expectInForce(t, VMs, 1)
}

// TestConfirmationExpires guards against a process that stays confirmed while the platform
// is down.
func TestConfirmationExpires(t *testing.T) {
	d := newDriver("vm-1")
	d.publishAll(1)
	d.run(10 * time.Second)
	d.platformDown = true
	d.run(DefaultUnconfirmedAfter + time.Minute)
	if age, confirmed := d.machine.Confirmation(d.now); confirmed {
		t.Fatalf("confirmed at age %v during the outage", age)
	}
	d.platformDown = false
	d.run(time.Minute)
	if age, confirmed := d.machine.Confirmation(d.now); !confirmed {
		t.Fatalf("unconfirmed at age %v after the outage", age)
	}
}

// TestUnreachableReadersAreReplaced guards against a zone without reachable readers, and
// against more than readersPerZone readers in a zone.
func TestUnreachableReadersAreReplaced(t *testing.T) {
	names := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	unreachable := map[string]bool{}
	readers := func() []string {
		var chosen []string
		for _, self := range names {
			m := New(0, Options{Self: self, Zone: "a", Validation: testValidation})
			var list []Member
			for _, name := range names {
				list = append(list, Member{Name: name, Zone: "a", Live: true, Reachable: !unreachable[name]})
			}
			m.SetMembers(0, list)
			if m.IsReader() && !unreachable[self] {
				chosen = append(chosen, self)
			}
		}
		return chosen
	}
	first := readers()
	if len(first) != readersPerZone {
		t.Fatalf("wrong number of readers: %v", first)
	}
	for _, name := range first {
		unreachable[name] = true
	}
	if second := readers(); len(second) != readersPerZone {
		t.Fatalf("wrong number of readers after %v became unreachable: %v", first, second)
	}
}

// FuzzAssembler guards against a peer that makes a process accept a value with a wrong
// digest or revision, or above the size limit.
func FuzzAssembler(f *testing.F) {
	f.Add(uint64(1), uint32(3), []byte("abc"), []byte(""))
	f.Add(uint64(2), uint32(1<<31), []byte("abc"), []byte("def"))
	f.Fuzz(func(t *testing.T, revision uint64, total uint32, first, second []byte) {
		want := NewValue(1, append(append([]byte(nil), first...), second...))
		a := Assembler{Revision: 1}
		for _, data := range [][]byte{first, second} {
			if a.Add(Chunk{Revision: revision, Digest: want.Digest, Total: total, Data: data}) != nil {
				return
			}
		}
		value, err := a.Value()
		if err == nil && (value.Digest != want.Digest || revision != 1 || len(value.Data) > MaxValueBytes) {
			t.Fatalf("accepted revision %d with %d bytes", revision, len(value.Data))
		}
	})
}

// TestSplitAndJoin guards against data that is lost or repeated at chunk boundaries.
func TestSplitAndJoin(t *testing.T) {
	for _, size := range []int{0, 1, ChunkBytes - 1, ChunkBytes, ChunkBytes + 1, MaxValueBytes} {
		value := NewValue(4, []byte(strings.Repeat("v", size)))
		a := Assembler{Revision: 4}
		for _, chunk := range Split(value) {
			if err := a.Add(chunk); err != nil {
				t.Fatal(err)
			}
		}
		got, err := a.Value()
		if err != nil || len(got.Data) != size {
			t.Fatalf("size %d: %d bytes, %v", size, len(got.Data), err)
		}
	}
}
