package admission

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/list"
)

const (
	// maxWorkspaces is the maximum number of workspaces with state.
	maxWorkspaces = 4096
	// idleTimeout is how long the state of an idle workspace is kept.
	idleTimeout = 60 * time.Second
	// laterArrivalsRatio is the assumed ratio of requests of other workspaces that arrive
	// during a wait to those in flight.
	laterArrivalsRatio = 1
)

// Usage counts the requests in flight per workspace.
type Usage struct {
	entries map[string]*WorkspaceUsage
	// order holds the entries, most recently used first, and free those for new workspaces.
	order, free  list.List[WorkspaceUsage]
	activeWeight int
}

// WorkspaceUsage is the state of one workspace.
type WorkspaceUsage struct {
	// InFlight counts admitted requests.
	InFlight int

	name     string
	weight   int
	lastUsed clock.Instant
	node     list.Node[WorkspaceUsage]
}

// NewUsage returns an empty Usage.
func NewUsage() *Usage { return &Usage{entries: make(map[string]*WorkspaceUsage)} }

// Get returns the state of a workspace, or nil if the table is full of workspaces with
// requests in flight.
func (u *Usage) Get(now clock.Instant, name string, weight int) *WorkspaceUsage {
	w := u.entries[name]
	if w == nil {
		w = u.add(name)
	}
	if w == nil {
		return nil
	}
	if w.InFlight > 0 {
		u.activeWeight += weight - w.weight
	}
	w.weight = weight
	w.lastUsed = now
	u.order.PushFront(w, &w.node)
	return w
}

// RequestStarted records an admitted request.
func (u *Usage) RequestStarted(w *WorkspaceUsage) {
	if w.InFlight == 0 {
		u.activeWeight += w.weight
	}
	w.InFlight++
}

// RequestEnded records the end of an admitted request.
func (u *Usage) RequestEnded(now clock.Instant, w *WorkspaceUsage) {
	w.InFlight--
	w.lastUsed = now
	if w.InFlight == 0 {
		u.activeWeight -= w.weight
	}
}

// RequestsAhead estimates how many requests are served under fair shares before a new request
// of the workspace. It counts the total requests in flight and those that arrive meanwhile.
func (u *Usage) RequestsAhead(w *WorkspaceUsage, total int) int {
	weights := u.activeWeight
	if w.InFlight == 0 {
		weights += w.weight
	}
	own := min(w.InFlight, total)
	// In a steady state about as many requests of other workspaces arrive during the wait
	// as are in flight now. Those within their fair shares are served first.
	others := (1 + laterArrivalsRatio) * (total - own)
	return own + min(others, (own+1)*(weights-w.weight)/max(w.weight, 1))
}

// Expire removes idle workspaces.
func (u *Usage) Expire(now clock.Instant) {
	for w := u.order.Back(); w != nil && now.Sub(w.lastUsed) >= idleTimeout; {
		previous := w.node.Previous()
		if w.InFlight == 0 {
			u.remove(w)
		}
		w = previous
	}
}

// Len returns the number of workspaces with state.
func (u *Usage) Len() int { return len(u.entries) }

func (u *Usage) add(name string) *WorkspaceUsage {
	if len(u.entries) >= maxWorkspaces && !u.evict() {
		return nil
	}
	w := u.free.Front()
	if w == nil {
		w = &WorkspaceUsage{}
	}
	w.node.Remove()
	*w = WorkspaceUsage{name: name}
	u.entries[name] = w
	u.order.PushFront(w, &w.node)
	return w
}

func (u *Usage) evict() bool {
	for w := u.order.Back(); w != nil; w = w.node.Previous() {
		if w.InFlight == 0 {
			u.remove(w)
			return true
		}
	}
	return false
}

func (u *Usage) remove(w *WorkspaceUsage) {
	delete(u.entries, w.name)
	u.free.PushFront(w, &w.node)
}
