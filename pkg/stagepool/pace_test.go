package stagepool

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// paceStep is the mean time between two changes of the pace of an upstream.
const paceStep = 150 * time.Millisecond

// changingPaces returns the pace of upstreams over time: each has its own usual pace between 0.6 and 1.6, and
// changes it several times per second by up to a factor of two.
func changingPaces(seed uint64, length time.Duration, ids []string) func(id string, at clock.Instant) float64 {
	type change struct {
		at   clock.Instant
		pace float64
	}
	changes := map[string][]change{}
	for i, id := range ids {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		usual := 0.6 + r.Float64()
		for at := clock.Instant(0); at < clock.Instant(2*length); at = at.Add(time.Duration(r.ExpFloat64() * float64(paceStep))) {
			changes[id] = append(changes[id], change{at, usual * math.Exp2(2*r.Float64()-1)})
		}
	}
	return func(id string, at clock.Instant) float64 {
		list := changes[id]
		i, found := slices.BinarySearchFunc(list, at, func(c change, at clock.Instant) int { return int(c.at - at) })
		if !found {
			i--
		}
		return list[min(max(i, 0), len(list)-1)].pace
	}
}

// replayChangingPace replays a load of two-piece jobs on upstreams of uneven and changing pace, and returns the
// fraction of jobs on time and their mean time.
func replayChangingPace(t *testing.T, seed uint64, upstreams int, stated bool) (onTime float64, mean time.Duration) {
	const length = 30 * time.Second
	batch := catalog.Batch{Concurrency: 1, MaxPieces: 4, CallTime: 60 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultTTL: time.Minute}
	s := newSimulation(t, batch, make([]string, upstreams)...)
	var ids []string
	for id := range s.zones {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s.pace, s.statesPace = changingPaces(seed, length, ids), stated
	s.pool.TakeOver(0, nil)
	const objective = 160 * time.Millisecond
	began := map[JobID]clock.Instant{}
	jobs := 0
	job := Job{Pieces: 2, Due: clock.Instant(objective), Deadline: clock.Instant(5 * time.Second)}
	s.submitLoad(seed, length, func(time.Duration) float64 { return 0.6 * float64(upstreams) * 4 / 2 / 0.154 }, func(*rand.Rand) Job { return job }, func(_ Job, id JobID, ok bool) {
		jobs++
		if ok {
			began[id] = s.now
		}
	})
	s.run(2 * length)
	sum, intime := time.Duration(0), 0
	for id, end := range s.endTimes {
		took := end.Sub(began[id])
		sum += took
		if took <= objective {
			intime++
		}
	}
	if len(s.endTimes) == 0 {
		t.Fatal("no job has ended")
	}
	return float64(intime) / float64(jobs), sum / time.Duration(len(s.endTimes))
}

// TestStatedPace replays uneven and changing paces with and without statements of them. It guards against a
// stated pace that makes the pool follow noise: more jobs must be on time with it, and none slower on average.
func TestStatedPace(t *testing.T) {
	const seeds = 4
	for _, upstreams := range []int{7, 20} {
		var without, with float64
		var meanWithout, meanWith time.Duration
		for seed := range uint64(seeds) {
			onTime, mean := replayChangingPace(t, seed+1, upstreams, false)
			without, meanWithout = without+onTime/seeds, meanWithout+mean/seeds
			onTime, mean = replayChangingPace(t, seed+1, upstreams, true)
			with, meanWith = with+onTime/seeds, meanWith+mean/seeds
		}
		t.Logf("%d upstreams: %.4f on time and %v without statements, %.4f and %v with them", upstreams, without, meanWithout, with, meanWith)
		if with < without || meanWith > meanWithout {
			t.Errorf("%d upstreams: %.4f on time and %v with the pace, %.4f and %v without", upstreams, with, meanWith, without, meanWithout)
		}
	}
}

// TestStatedPaceIsForOneCall guards against a pace that outlives the moment that it describes, and against one
// figure that rules out an upstream.
func TestStatedPaceIsForOneCall(t *testing.T) {
	s := newSimulation(t, testBatch, zoneNames(1)...)
	s.pool.TakeOver(0, nil)
	u := s.pool.upstreams["u0"]
	u.recordPace(s.now, &CallLoad{Pace: 1e6})
	if got, highest := u.nextSlowness(s.now), 1+paceWeight*(maxStatedPace-1); got <= 1 || got > highest {
		t.Errorf("slowness %v after a huge pace, expected at most %v", got, highest)
	}
	if got := u.nextSlowness(s.now.Add(time.Second)); got > 1.01 {
		t.Errorf("slowness %v a second after the statement", got)
	}
	u.recordPace(s.now, nil)
	if got := u.nextSlowness(s.now); got != 1 {
		t.Errorf("slowness %v after a response without a pace", got)
	}
	u.recordPace(s.now, &CallLoad{Pace: 2})
	if _, ok := s.submit(Job{Pieces: 1, Due: clock.Instant(time.Second), Deadline: clock.Instant(time.Second)}); !ok {
		t.Fatal("the job was refused")
	}
	if len(u.calls) != 1 || u.nextSlowness(s.now) != 1 {
		t.Errorf("%d calls run and the slowness is %v, expected a call that used the pace up", len(u.calls), u.nextSlowness(s.now))
	}
}
