package placement

import (
	"math"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// coldTurn is the length of a turn in which a VM may send one request.
const coldTurn = coldRateWindow

// ColdRate is the part of a VM of the rate at which all VMs together may send requests to an
// upstream in a cold start. The zero value allows none.
type ColdRate struct {
	// PerSecond is the number of requests in any second.
	PerSecond int
	// Every, if positive, allows requests only in a turn of coldTurn at that interval, for parts
	// that are less than one request per second.
	Every time.Duration
	// Phase moves the turns of the VMs apart from each other.
	Phase time.Duration
}

// UnlimitedColdRate is the rate of an upstream without a limit.
var UnlimitedColdRate = ColdRate{PerSecond: math.MaxInt}

// allows reports whether another request may be sent after a number of requests in the last second.
func (r ColdRate) allows(now clock.Instant, recent int) bool {
	if recent >= r.PerSecond {
		return false
	}
	return r.Every <= 0 || (time.Duration(now)+r.Phase)%r.Every < coldTurn
}

// ColdFleet describes the VMs that divide the rate of an upstream in a cold start.
type ColdFleet struct {
	// Size is the number of VMs that may exist, and Known the number of those that are known,
	// including this one.
	Size  int
	Known int
	// Rank is the number of known VMs before this one in the ranking of the upstream, and Hash
	// a value that is different for each VM and upstream.
	Rank int
	Hash rendezvous.Hash
}

// DivideColdRate returns the part of a VM of a rate for all VMs, in requests per second. If there
// is less than one request per second for each VM, the first VMs in the ranking of the upstream may
// send one each. Ranks mean nothing if this VM knows too few others. It then has a turn from time
// to time: any second overlaps two of its turns in Every, hence the factor of 2.
func DivideColdRate(total float64, f ColdFleet) ColdRate {
	if !(total > 0) {
		return ColdRate{}
	}
	size := float64(max(f.Size, f.Known, 1))
	if share := math.Floor(total / size); share >= 1 {
		return ColdRate{PerSecond: int(min(share, math.MaxInt32))}
	}
	if places := int(total * float64(f.Known) / size); places >= 1 {
		if f.Rank < places {
			return ColdRate{PerSecond: 1}
		}
		return ColdRate{}
	}
	every := time.Duration(min(2*size/total, maxColdInterval.Seconds()) * float64(time.Second))
	return ColdRate{PerSecond: 1, Every: max(every, coldTurn), Phase: time.Duration(uint64(f.Hash) % uint64(max(every, coldTurn)))}
}

// maxColdInterval bounds the time between two turns; it exceeds any cold start.
const maxColdInterval = time.Hour
