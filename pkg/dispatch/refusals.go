package dispatch

import "github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"

// Refusals are shared values, so that refusing allocates nothing under overload.
var (
	errNotConfigured       = errkind.New(errkind.NotConfigured, "no snapshot yet")
	errUnknownWorkspace    = errkind.New(errkind.UnknownWorkspace, "the workspace is not in the routes table")
	errWorkspaceLimit      = errkind.New(errkind.WorkspaceLimit, "the workspace has reached max_in_flight")
	errTooManyWorkspaces   = errkind.New(errkind.Overloaded, "too many workspaces have requests in flight")
	errDeadlineUnreachable = errkind.New(errkind.DeadlineUnreachable, "the remaining stages need more time than is left")
	errWaitTooLong         = errkind.New(errkind.Overloaded, "the wait would exceed the deadline")
	errQueueFull           = errkind.New(errkind.Overloaded, "the queue of the pool is full")
	errWaitExpired         = errkind.New(errkind.DeadlineUnreachable, "no upstream became free in time")
	errNoUpstream          = errkind.New(errkind.NoUpstream, "no upstream of the pool may take the attempt")
	errUnknownPool         = errkind.New(errkind.NoUpstream, "the pool is not in the pools table")
	errRetryBudgetSpent    = errkind.New(errkind.Overloaded, "the retry budget of the pool is spent")
	errNoFreeUpstream      = errkind.New(errkind.Overloaded, "no upstream is free for a retry or hedge")
	errPoisonRequest       = errkind.New(errkind.PoisonRequest, "several upstreams died while running the request")
)
