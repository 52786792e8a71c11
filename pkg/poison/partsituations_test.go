package poison

import (
	"testing"
	"time"
)

// maxLateSends bounds the sends of requests with a deadly part that reach upstreams after all VMs must
// know the part, and maxRefusedShare the share of the sound requests that may be refused.
const (
	maxLateSends    = 3
	maxRefusedShare = 0.5
)

// TestPartsInFleet guards against deadly parts that a fleet does not block in time, and against wrong
// blocks that spread, in situations that mix the evidence of several causes.
func TestPartsInFleet(t *testing.T) {
	usual := fleetOptions{
		vms: 3, upstreams: 12, rate: 20, deadlyRate: 1, deadlyParts: 1, subjects: 40, hasRoutePart: true,
		firstEvent: 300 * time.Millisecond, sends: 2, length: 60 * time.Second,
	}
	for name, change := range map[string]func(*fleetOptions){
		"one deadly part":             func(*fleetOptions) {},
		"four deadly parts":           func(o *fleetOptions) { o.deadlyParts = 4 },
		"crash after the first event": func(o *fleetOptions) { o.soundAfter = time.Second },
		"crash after the first event, large fleet": func(o *fleetOptions) {
			o.soundAfter, o.vms, o.upstreams, o.subjects = time.Second, 80, 100, 400
		},
		"crash after the first event, four deadly parts": func(o *fleetOptions) { o.soundAfter, o.deadlyParts = time.Second, 4 },
		"crash after the first event, crashes all day": func(o *fleetOptions) {
			o.soundAfter, o.crashInterval, o.subjects = time.Second, 500*time.Millisecond, 400
		},
		"slow answers":  func(o *fleetOptions) { o.rate, o.deadlyRate, o.firstEvent = 5, 0.3, 3*time.Second },
		"large fleet":   func(o *fleetOptions) { o.vms, o.upstreams, o.subjects = 80, 100, 400 },
		"many deadly":   func(o *fleetOptions) { o.vms, o.upstreams, o.rate, o.deadlyRate = 20, 60, 40, 10 },
		"lost messages": func(o *fleetOptions) { o.vms, o.upstreams, o.loss = 20, 30, 0.3 },
		"late messages": func(o *fleetOptions) { o.maxDelay = 500 * time.Millisecond },
		"stale starts":  func(o *fleetOptions) { o.hasStaleStarts, o.maxDelay = true, 500*time.Millisecond },
		"zone fails": func(o *fleetOptions) {
			o.zoneFailsAt, o.zoneInterval, o.upstreams, o.subjects = 5*time.Second, 150*time.Millisecond, 60, 2000
		},
		"zone fails, slow": func(o *fleetOptions) {
			o.deadlyParts, o.rate, o.firstEvent, o.zoneFailsAt, o.zoneInterval, o.upstreams = 0, 2, 5*time.Second, 20*time.Second, 110*time.Millisecond, 60
		},
		"crashes all day": func(o *fleetOptions) { o.crashInterval, o.subjects = 500*time.Millisecond, 400 },
		"no popular part": func(o *fleetOptions) {
			o.deadlyParts, o.rate, o.subjects, o.hasRoutePart, o.crashInterval, o.firstEvent = 0, 1, 20, false, 4*time.Second, time.Second
		},
		"VM cut off": func(o *fleetOptions) { o.deadlyParts, o.cutFrom, o.cutUntil = 0, 10*time.Second, 20*time.Second },
		"VM cut off, rarely": func(o *fleetOptions) {
			o.deadlyParts, o.rate, o.cutFrom, o.cutUntil = 0, 1, 10*time.Second, 30*time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			options := usual
			change(&options)
			for seed := range uint64(10) {
				f := runPartFleet(options, seed)
				for part, late := range f.late {
					if late > maxLateSends {
						t.Errorf("seed %d: %d late sends with deadly part %d, which caused %d crashes", seed, late, part, f.crashes[part])
					}
				}
				if share := float64(f.refused) / float64(max(f.sound, 1)); share > maxRefusedShare {
					t.Errorf("seed %d: %.2f of %d sound requests refused", seed, share, f.sound)
				}
			}
		})
	}
}
