package poison

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// requestReportDelay is how long a VM collects crashes before it reports them.
	requestReportDelay = 30 * time.Millisecond
	// requestDecisiveCrash is the crash by one request after which, and after fleetStableWindow, at most
	// maxLateSends of it may reach upstreams.
	requestDecisiveCrash = 3
	// requestServedFrom is when sound requests must be served, also if all upstreams crashed before.
	requestServedFrom = 30 * time.Second
)

// requestOptions describes a fleet and its requests. Times are from the start of the simulation.
type requestOptions struct {
	vms, upstreams int
	// identicalRate is the number of sound requests per second of which all are alike, and uniqueRate
	// that of sound requests of which no two are alike.
	identicalRate, uniqueRate float64
	// deadlyRate is the number of sends per second of the request that crashes upstreams; deadlyFrom is
	// when it begins to, and answeredBefore is set if it is sent and answered before.
	deadlyRate     float64
	deadlyFrom     time.Duration
	answeredBefore bool
	// deadlyCopies is the number of VMs that get each deadly request at the same time.
	deadlyCopies int
	// duration is the mean time from a send to the end of its answer, and crashTime that to a crash.
	duration, crashTime time.Duration
	// sends is the greatest number of sends of one request.
	sends int
	// crashInterval is the mean time between two crashes that no request causes; 0 if there are none.
	crashInterval time.Duration
	// From crashFrom to crashUntil, an upstream crashes every crashSpacing, one after the other.
	crashFrom, crashUntil, crashSpacing time.Duration
	// restartAt is when all VMs restart; 0 if they don't.
	restartAt time.Duration
	// falseReports is set if a VM reports crashes during identical requests that did not happen, as
	// one does that is cut off from upstreams.
	falseReports bool
	loss         float64
	maxDelay     time.Duration
	length       time.Duration
}

type requestUpstream struct {
	start   int
	isDown  bool
	running map[*soundOrDeadly]bool
}

// soundOrDeadly is one request.
type soundOrDeadly struct {
	id, vm, send int
	key          Part
	isDeadly     bool
}

// requestFleet simulates VMs with a RequestTable each.
type requestFleet struct {
	requestOptions
	fleetEvents
	random    *rand.Rand
	tables    []*RequestTable
	upstreams []*requestUpstream
	requests  int
	// identical and identicalRefused count the identical requests from requestServedFrom on and those
	// of them that were refused; unique and uniqueRefused all sound requests of which no two are alike.
	identical, identicalRefused, unique, uniqueRefused int
	// crashes counts the crashes by the deadly request, decisiveAt is when the decisive one was, and late
	// counts the sends that reached upstreams longer than fleetStableWindow after it.
	crashes    int
	decisiveAt clock.Instant
	late       int
	// messages counts the messages about answers.
	messages int
}

func requestKey(n int) Part {
	var fp Fingerprint
	binary.BigEndian.PutUint64(fp[:], uint64(n)+1<<32)
	return fp.RequestKey()
}

var (
	identicalKey = requestKey(-1)
	deadlyKey    = requestKey(-2)
)

// runRequestFleet runs a simulation to its end.
func runRequestFleet(o requestOptions, seed uint64) *requestFleet {
	f := &requestFleet{requestOptions: o, random: rand.New(rand.NewPCG(seed, 2))}
	f.now = start
	f.restart()
	for range o.upstreams {
		f.upstreams = append(f.upstreams, &requestUpstream{running: map[*soundOrDeadly]bool{}})
	}
	f.repeat(o.identicalRate, func() { f.arrive(&soundOrDeadly{key: identicalKey}) })
	f.repeat(o.uniqueRate, func() { f.arrive(&soundOrDeadly{key: requestKey(f.requests)}) })
	f.repeat(o.deadlyRate, func() {
		if f.now < start.Add(o.deadlyFrom) && (!o.answeredBefore || f.now > start.Add(o.deadlyFrom-time.Second)) {
			return
		}
		for range max(o.deadlyCopies, 1) {
			f.arrive(&soundOrDeadly{key: deadlyKey, isDeadly: f.now >= start.Add(o.deadlyFrom)})
		}
	})
	if o.crashInterval > 0 {
		f.repeat(float64(time.Second)/float64(o.crashInterval), func() { f.crash(f.random.IntN(o.upstreams)) })
	}
	for i, at := 0, o.crashFrom; at < o.crashUntil; i, at = i+1, at+o.crashSpacing {
		f.after(at, func() { f.crash(i % o.upstreams) })
	}
	if o.restartAt > 0 {
		f.after(o.restartAt, f.restart)
	}
	if o.falseReports {
		f.repeat(20, func() { f.tables[0].RecordCrash(f.now, fmt.Sprint("false ", f.random.IntN(1000)), identicalKey) })
	}
	f.exchange()
	f.runUntil(start.Add(o.length))
	return f
}

// exchange lets each VM send its blocks to another one now and then.
func (f *requestFleet) exchange() {
	for from, table := range f.tables {
		to := f.random.IntN(len(f.tables))
		for _, b := range table.Blocks(f.now, maxBlocks) {
			if to != from && f.random.Float64() >= f.loss && f.tables[to].Merge(f.now, b) {
				f.tell(to, func(table *RequestTable) { table.RecordClear(f.now, b.Parts[0]) })
			}
		}
	}
	f.after(fleetExchangeInterval, f.exchange)
}

func (f *requestFleet) restart() {
	f.tables = nil
	for range f.vms {
		f.tables = append(f.tables, NewRequestTable())
	}
}

// repeat runs f at random times.
func (f *requestFleet) repeat(perSecond float64, run func()) {
	if perSecond == 0 {
		return
	}
	f.after(f.randomTime(time.Duration(float64(time.Second)/perSecond)), func() {
		run()
		f.repeat(perSecond, run)
	})
}

func (f *requestFleet) randomTime(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}

// tell lets a VM send a message to all others.
func (f *requestFleet) tell(from int, receive func(table *RequestTable)) {
	for vm := range f.tables {
		if vm != from && f.random.Float64() >= f.loss {
			delay := time.Millisecond + f.randomTime(5*time.Millisecond) + time.Duration(f.random.Float64()*float64(f.maxDelay))
			f.after(delay, func() { receive(f.tables[vm]) })
		}
	}
}

func (f *requestFleet) arrive(r *soundOrDeadly) {
	f.requests++
	r.id, r.vm = f.requests, f.random.IntN(f.vms)
	switch {
	case r.key == identicalKey && f.now >= start.Add(requestServedFrom):
		f.identical++
	case r.key != deadlyKey:
		f.unique++
	}
	f.send(r)
}

// send sends a request to a random upstream unless it is refused.
func (f *requestFleet) send(r *soundOrDeadly) {
	if f.tables[r.vm].Check(f.now, r.key) {
		switch {
		case r.key == identicalKey && f.now >= start.Add(requestServedFrom):
			f.identicalRefused++
		case r.key != deadlyKey && r.key != identicalKey:
			f.uniqueRefused++
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
	f.run(r, up[f.random.IntN(len(up))])
}

// run lets an upstream answer a request, or crash.
func (f *requestFleet) run(r *soundOrDeadly, upstream int) {
	u, send := f.upstreams[upstream], r.send
	u.running[r] = true
	if !r.isDeadly {
		took := f.duration/2 + f.randomTime(f.duration/2)
		if r.key == deadlyKey {
			// No answer arrives after it has begun to crash upstreams.
			took = min(took, time.Second)
		}
		f.after(took, func() {
			if r.send == send && u.running[r] {
				delete(u.running, r)
				f.answer(r)
			}
		})
		return
	}
	if f.crashes >= requestDecisiveCrash && f.now.Sub(f.decisiveAt) > fleetStableWindow {
		f.late++
	}
	f.after(f.crashTime/2+f.randomTime(f.crashTime/2), func() {
		if r.send != send || !u.running[r] {
			return
		}
		f.crashes++
		if f.crashes == requestDecisiveCrash {
			f.decisiveAt = f.now
		}
		f.crash(upstream)
	})
}

// answer records a complete answer, and tells the other VMs of it if it matters.
func (f *requestFleet) answer(r *soundOrDeadly) {
	if !f.tables[r.vm].RecordAnswer(f.now, r.key) {
		return
	}
	f.messages++
	f.after(time.Duration(30+f.random.IntN(90))*time.Millisecond, func() {
		f.tell(r.vm, func(table *RequestTable) { table.RecordClear(f.now, r.key) })
	})
}

// crash takes an upstream down for a time and breaks its requests.
func (f *requestFleet) crash(upstream int) {
	u := f.upstreams[upstream]
	if u.isDown {
		return
	}
	broken := slices.SortedFunc(maps.Keys(u.running), func(a, b *soundOrDeadly) int { return a.id - b.id })
	name := fmt.Sprint("upstream ", upstream, " start ", u.start)
	u.isDown, u.start, u.running = true, u.start+1, map[*soundOrDeadly]bool{}
	f.after(fleetDownTime, func() { u.isDown = false })
	for _, r := range broken {
		f.after(time.Millisecond+f.randomTime(5*time.Millisecond), func() {
			f.tables[r.vm].RecordCrash(f.now, name, r.key)
			f.after(requestReportDelay, func() {
				f.tell(r.vm, func(table *RequestTable) { table.RecordCrash(f.now, name, r.key) })
			})
			f.send(r)
		})
	}
}

// TestRequestsInFleet guards against requests that crash upstreams and that a fleet does not block in
// time, and against sound requests that are refused since upstreams crashed while they ran.
func TestRequestsInFleet(t *testing.T) {
	usual := requestOptions{
		vms: 3, upstreams: 12, identicalRate: 20, uniqueRate: 20, deadlyRate: 1, deadlyFrom: 6 * time.Second,
		duration: 300 * time.Millisecond, crashTime: 50 * time.Millisecond, sends: 2, length: 60 * time.Second,
	}
	for name, change := range map[string]func(*requestOptions){
		"crash after the first event": func(*requestOptions) {},
		"rare":                        func(o *requestOptions) { o.deadlyRate = 0.4 },
		"frequent":                    func(o *requestOptions) { o.deadlyRate = 10 },
		"copies":                      func(o *requestOptions) { o.deadlyCopies, o.deadlyRate, o.upstreams = 3, 0.4, 60 },
		"answered before":             func(o *requestOptions) { o.answeredBefore = true },
		"rare, answered before":       func(o *requestOptions) { o.answeredBefore, o.deadlyRate = true, 0.4 },
		"frequent, answered before":   func(o *requestOptions) { o.answeredBefore, o.deadlyRate = true, 5 },
		"late crash":                  func(o *requestOptions) { o.crashTime = 800 * time.Millisecond },
		"long streams":                func(o *requestOptions) { o.duration, o.upstreams, o.identicalRate = 10*time.Second, 30, 2 },
		"engines full of requests": func(o *requestOptions) {
			o.duration, o.upstreams, o.uniqueRate, o.sends = 5*time.Second, 6, 60, 1
		},
		"large fleet":   func(o *requestOptions) { o.vms, o.upstreams, o.identicalRate = 80, 100, 100 },
		"lost messages": func(o *requestOptions) { o.vms, o.upstreams, o.loss = 20, 30, 0.3 },
		"late messages": func(o *requestOptions) { o.maxDelay = 500 * time.Millisecond },
		"crashes all day": func(o *requestOptions) {
			o.crashInterval, o.upstreams = time.Second, 30
		},
		"sound only": func(o *requestOptions) { o.deadlyRate, o.crashInterval = 0, 3*time.Second },
		"sound, rarely sent": func(o *requestOptions) {
			o.deadlyRate, o.identicalRate, o.uniqueRate, o.crashInterval, o.upstreams = 0, 1, 1, 2*time.Second, 4
		},
		"all upstreams crash after a restart": func(o *requestOptions) {
			o.deadlyRate, o.restartAt = 0, 8*time.Second
			o.crashFrom, o.crashUntil, o.crashSpacing = 9*time.Second, 15*time.Second, 150*time.Millisecond
		},
		"two upstreams crash after a restart": func(o *requestOptions) {
			o.deadlyRate, o.restartAt, o.upstreams = 0, 5*time.Second, 4
			o.crashFrom, o.crashUntil, o.crashSpacing = 8*time.Second, 14*time.Second, 3*time.Second
		},
		"false reports": func(o *requestOptions) { o.deadlyRate, o.falseReports = 0, true },
	} {
		t.Run(name, func(t *testing.T) {
			options := usual
			change(&options)
			for seed := range uint64(10) {
				f := runRequestFleet(options, seed)
				if f.late > maxLateSends {
					t.Errorf("seed %d: %d late sends of the deadly request, which caused %d crashes", seed, f.late, f.crashes)
				}
				if options.deadlyRate > 0 && f.crashes < requestDecisiveCrash {
					t.Errorf("seed %d: the deadly request was blocked after %d crashes", seed, f.crashes)
				}
				if share := float64(f.identicalRefused) / float64(max(f.identical, 1)); share > maxRefusedShare {
					t.Errorf("seed %d: %.2f of %d identical sound requests refused", seed, share, f.identical)
				}
				if share := float64(f.uniqueRefused) / float64(max(f.unique, 1)); share > maxRefusedShare/10 {
					t.Errorf("seed %d: %.3f of %d other sound requests refused", seed, share, f.unique)
				}
			}
		})
	}
}

// TestCalmRequestsSendNothing guards against messages about answers while no upstream crashes.
func TestCalmRequestsSendNothing(t *testing.T) {
	f := runRequestFleet(requestOptions{
		vms: 3, upstreams: 4, identicalRate: 20, uniqueRate: 20, duration: 100 * time.Millisecond, sends: 2, length: 20 * time.Second,
	}, 1)
	if f.messages != 0 {
		t.Errorf("%d messages", f.messages)
	}
}
