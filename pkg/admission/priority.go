package admission

import "time"

const (
	// MaxPriority is the priority of the attempts with the least slack.
	MaxPriority = 9
	// priorityStep is the maximum slack of the highest priority. The maximum doubles with
	// each lower priority.
	priorityStep = 10 * time.Millisecond
)

// Priority returns the engine priority for the slack, which is the time left until the
// latest start.
func Priority(slack time.Duration) int {
	priority := MaxPriority
	for bound := priorityStep; priority > 0 && slack > bound; bound *= 2 {
		priority--
	}
	return priority
}
