package orders

import "time"

// Options configures a Planner. It limits the rate and the concurrency of orders.
type Options struct {
	// VM is the name of this VM in the published VM list.
	VM string
	// MaxUnavailablePerPool is the maximum number of engines of a pool that orders may make
	// unavailable at the same time while others serve.
	MaxUnavailablePerPool int
	// MaxLoads is the maximum number of concurrent weight loads that this VM starts. It
	// exists because the weight store is rate-limited.
	MaxLoads int
	// MinLoadInterval is the minimum time between the starts of two weight loads by this
	// VM.
	MinLoadInterval time.Duration
	// StateMaxAge is the age above which an engine state counts as unknown. It exceeds the
	// time in which a VM reads the states of two pools of the target size.
	StateMaxAge time.Duration
	// UnfencedDelay is how long a revision must have been in force before orders are sent
	// to engines that ignore fencing tokens. It exceeds the time within which a revision
	// reaches every VM, so that no VM still sends orders of an older revision.
	UnfencedDelay time.Duration
	// RetryBase is the delay after a failed order; it doubles with each further failure, up
	// to RetryMax.
	RetryBase time.Duration
	// RetryMax is the maximum delay after failed orders.
	RetryMax time.Duration
	// LoadTimeout is how long an order may stay pending, that is, not reflected in the
	// engine's state, before it is sent again.
	LoadTimeout time.Duration
}

// DefaultOptions returns the default options for the named VM.
func DefaultOptions(vm string) Options {
	return Options{
		VM:                    vm,
		MaxUnavailablePerPool: 1,
		MaxLoads:              2,
		MinLoadInterval:       time.Second,
		StateMaxAge:           15 * time.Second,
		UnfencedDelay:         20 * time.Second,
		RetryBase:             2 * time.Second,
		RetryMax:              time.Minute,
		LoadTimeout:           5 * time.Minute,
	}
}
