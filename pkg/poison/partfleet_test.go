package poison

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// fleetDeadlyFrom is when deadly requests begin to come, and fleetStableWindow the time after the
	// fifth crash by a part within which all VMs must know it.
	fleetDeadlyFrom    = 4 * time.Second
	fleetStableWindow  = 3 * time.Second
	fleetDecisiveCrash = 5
	// fleetDownTime is the time from a crash of an upstream to its restart, and fleetZoneDownTime
	// that of a failed zone.
	fleetDownTime     = 2 * time.Second
	fleetZoneDownTime = 10 * time.Second
	// fleetUnreachableTime is how long a VM without links waits for an answer.
	fleetUnreachableTime = time.Second
	// fleetExchangeInterval is the time between two datagrams of a VM with blocked parts.
	fleetExchangeInterval = 100 * time.Millisecond
)

// fleetOptions describes a fleet and its requests. Times are from the start of the simulation.
type fleetOptions struct {
	vms, upstreams int
	// rate is the number of sound requests per second, and deadlyRate that of the requests with each
	// of the deadlyParts.
	rate, deadlyRate float64
	deadlyParts      int
	// subjects is the number of sound parts of which each request has one. Half of the requests have
	// one of the first tenth.
	subjects int
	// hasRoutePart is set if all requests share their first part.
	hasRoutePart bool
	// firstEvent is the mean time from a send to its answer, and sends the greatest number of sends.
	firstEvent time.Duration
	sends      int
	// soundAfter is how long a sound stream goes on after its first event before that counts as an answer.
	soundAfter time.Duration
	// loss is the share of messages between VMs that are lost, and maxDelay how late they may be.
	loss     float64
	maxDelay time.Duration
	// hasStaleStarts is set if half of the VMs know another start of each upstream.
	hasStaleStarts bool
	// crashInterval is the mean time between two crashes that no request causes; 0 if there are none.
	crashInterval time.Duration
	// zoneFailsAt is when a third of the upstreams fail, one each zoneInterval; 0 if they don't.
	zoneFailsAt, zoneInterval time.Duration
	// From cutFrom to cutUntil the first VM has no links.
	cutFrom, cutUntil time.Duration
	length            time.Duration
}

// fleetRequest is one request. Each send of it has a number.
type fleetRequest struct {
	id, vm int
	parts  []Part
	// deadly is the number of its deadly part, or -1.
	deadly int
	send   int
}

// fleetUpstream is one upstream with the requests that it has not answered.
type fleetUpstream struct {
	start   int
	isDown  bool
	running map[*fleetRequest]bool
}

// partFleet simulates VMs with a PartTable each.
type partFleet struct {
	fleetOptions
	fleetEvents
	random    *rand.Rand
	tables    []*PartTable
	clears    []map[Part]bool
	upstreams []*fleetUpstream
	requests  int
	// sound and refused count the sound requests at VMs with links, and those that were refused.
	sound, refused int
	// crashes counts the crashes by each deadly part, decisiveAt has the time of the fifth, and late
	// counts the sends that reached upstreams longer than fleetStableWindow after it.
	crashes    []int
	decisiveAt []clock.Instant
	late       []int
}

// runPartFleet runs a simulation to its end.
func runPartFleet(o fleetOptions, seed uint64) *partFleet {
	f := &partFleet{
		fleetOptions: o, random: rand.New(rand.NewPCG(seed, 1)),
		crashes: make([]int, o.deadlyParts), decisiveAt: make([]clock.Instant, o.deadlyParts), late: make([]int, o.deadlyParts),
	}
	f.now = start
	for range o.vms {
		f.tables, f.clears = append(f.tables, NewPartTable()), append(f.clears, map[Part]bool{})
	}
	for range o.upstreams {
		f.upstreams = append(f.upstreams, &fleetUpstream{running: map[*fleetRequest]bool{}})
	}
	f.repeat(o.rate, func() { f.arrive(-1) })
	for i := range o.deadlyParts {
		f.after(fleetDeadlyFrom, func() { f.repeat(o.deadlyRate, func() { f.arrive(i) }) })
	}
	if o.crashInterval > 0 {
		f.repeat(float64(time.Second)/float64(o.crashInterval), func() { f.crash(f.random.IntN(o.upstreams), fleetDownTime) })
	}
	for i := range o.upstreams / 3 {
		if o.zoneFailsAt > 0 {
			f.after(o.zoneFailsAt+time.Duration(i)*o.zoneInterval, func() { f.crash(i, fleetZoneDownTime) })
		}
	}
	f.exchange()
	f.runUntil(start.Add(o.length))
	return f
}

// repeat runs f at random times.
func (f *partFleet) repeat(perSecond float64, run func()) {
	f.after(f.randomTime(time.Duration(float64(time.Second)/perSecond)), func() {
		run()
		f.repeat(perSecond, run)
	})
}

func (f *partFleet) randomTime(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

func (f *partFleet) messageDelay() time.Duration {
	return time.Millisecond + f.randomTime(5*time.Millisecond) + time.Duration(f.random.Float64()*float64(f.maxDelay))
}

func (f *partFleet) isCut(vm int) bool {
	return vm == 0 && f.now > start.Add(f.cutFrom) && f.now < start.Add(f.cutUntil)
}

// tell lets a VM send a message to all others.
func (f *partFleet) tell(from int, receive func(vm int)) {
	for vm := range f.tables {
		if vm != from && !f.isCut(from) && !f.isCut(vm) && f.random.Float64() >= f.loss {
			f.after(f.messageDelay(), func() { receive(vm) })
		}
	}
}

// exchange lets each VM send its blocked parts to another one now and then.
func (f *partFleet) exchange() {
	for from, table := range f.tables {
		to := f.random.IntN(len(f.tables))
		for _, b := range table.Blocks(f.now, maxBlocks) {
			if to == from || f.isCut(from) || f.isCut(to) || f.random.Float64() < f.loss {
				continue
			}
			for _, part := range f.tables[to].Merge(f.now, b) {
				f.addClear(to, part)
			}
		}
	}
	f.after(fleetExchangeInterval, f.exchange)
}

// arrive begins a request with the deadly part, or a sound one if it is -1.
func (f *partFleet) arrive(deadly int) {
	f.requests++
	r := &fleetRequest{id: f.requests, vm: f.random.IntN(f.vms), deadly: deadly}
	subject := f.random.IntN(f.subjects)
	if f.random.IntN(2) == 0 {
		subject = f.random.IntN(max(1, f.subjects/10))
	}
	if f.hasRoutePart {
		r.parts = append(r.parts, shared)
	}
	if deadly >= 0 {
		r.parts = append(r.parts, PartOf(fmt.Sprint("deadly part ", deadly)))
	} else if !f.isCut(r.vm) {
		f.sound++
	}
	r.parts = append(r.parts, PartOf(fmt.Sprint("subject ", subject)))
	f.send(r)
}

// send sends a request to a random upstream unless it is refused.
func (f *partFleet) send(r *fleetRequest) {
	if f.tables[r.vm].Check(f.now, r.parts) != nil {
		if r.deadly < 0 && !f.isCut(r.vm) {
			f.refused++
		}
		return
	}
	var up []int
	for i, u := range f.upstreams {
		if !u.isDown {
			up = append(up, i)
		}
	}
	if r.send == f.sends || len(up) == 0 {
		return
	}
	r.send++
	upstream := up[f.random.IntN(len(up))]
	if f.isCut(r.vm) {
		f.after(fleetUnreachableTime, func() { f.noticeCrash(r, upstream, f.upstreams[upstream].start) })
		return
	}
	f.run(r, upstream)
}

// run lets an upstream answer a request, or crash.
func (f *partFleet) run(r *fleetRequest, upstream int) {
	u, send := f.upstreams[upstream], r.send
	u.running[r] = true
	if r.deadly >= 0 && f.crashes[r.deadly] >= fleetDecisiveCrash && f.now.Sub(f.decisiveAt[r.deadly]) > fleetStableWindow {
		f.late[r.deadly]++
	}
	delay := f.firstEvent/2 + f.randomTime(f.firstEvent/2)
	if r.deadly < 0 {
		delay += f.soundAfter
	}
	f.after(delay, func() {
		switch {
		case r.send != send || !u.running[r]:
		case r.deadly < 0:
			delete(u.running, r)
			for _, part := range f.tables[r.vm].RecordAnswer(f.now, r.parts) {
				f.addClear(r.vm, part)
			}
		default:
			f.crashes[r.deadly]++
			if f.crashes[r.deadly] == fleetDecisiveCrash {
				f.decisiveAt[r.deadly] = f.now
			}
			f.crash(upstream, fleetDownTime)
		}
	})
}

// addClear makes the other VMs learn soon that a part was answered.
func (f *partFleet) addClear(vm int, part Part) {
	if len(f.clears[vm]) == 0 {
		f.after(time.Duration(30+f.random.IntN(90))*time.Millisecond, func() { f.flushClears(vm) })
	}
	f.clears[vm][part] = true
}

func (f *partFleet) flushClears(vm int) {
	parts := slices.Sorted(maps.Keys(f.clears[vm]))
	clear(f.clears[vm])
	f.tell(vm, func(other int) {
		f.tables[other].RecordAnswer(f.now, parts)
		for _, part := range parts {
			delete(f.clears[other], part)
		}
	})
}

// crash takes an upstream down for a time and breaks its requests.
func (f *partFleet) crash(upstream int, down time.Duration) {
	u := f.upstreams[upstream]
	if u.isDown {
		return
	}
	broken := slices.SortedFunc(maps.Keys(u.running), func(a, b *fleetRequest) int { return a.id - b.id })
	crashed := u.start
	u.isDown, u.start, u.running = true, u.start+1, map[*fleetRequest]bool{}
	f.after(down, func() { u.isDown = false })
	for _, r := range broken {
		f.after(f.messageDelay(), func() { f.noticeCrash(r, upstream, crashed) })
	}
}

// noticeCrash records the crash of a start of an upstream during a request, and sends the request again.
func (f *partFleet) noticeCrash(r *fleetRequest, upstream, crashed int) {
	name := fmt.Sprint("upstream ", upstream, " start ", crashed)
	if f.hasStaleStarts && r.vm%2 == 1 {
		name += " stale"
	}
	f.tables[r.vm].RecordCrash(f.now, name, r.parts)
	f.tell(r.vm, func(vm int) { f.tables[vm].RecordCrash(f.now, name, r.parts) })
	f.send(r)
}
