package edge

import (
	"context"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// minExpiryInterval is the minimum time between two expiries, each of which builds a view.
const minExpiryInterval = 20 * time.Millisecond

// expireFor ends what was kept or withheld for a time, for the given duration: missing upstreams when they are due,
// all else at the end.
func (f *follower) expireFor(ctx context.Context, d time.Duration) {
	for end := f.now().Add(d); ctx.Err() == nil && f.now().Before(end); {
		sleep(ctx, f.untilExpiry(end))
		f.expire()
	}
}

// untilExpiry returns the time until the next missing upstream is due, or until the end if that is sooner.
func (f *follower) untilExpiry(end clock.Instant) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, isDue := f.state.NextExpiry()
	if !isDue || next.After(end) {
		next = end
	}
	return max(next.Sub(f.now()), minExpiryInterval)
}
