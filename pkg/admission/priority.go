package admission

import "time"

const (
	// MaxPriority is the priority of the attempts with the least slack.
	MaxPriority = 9
	// topPriorityMaxSlack is the maximum slack at MaxPriority. The maximum doubles with
	// each lower priority.
	topPriorityMaxSlack = 10 * time.Millisecond
)

// Priority returns the engine priority for the slack, which is the time left until the
// latest start.
func Priority(slack time.Duration) int {
	priority := MaxPriority
	for bound := topPriorityMaxSlack; priority > 0 && slack > bound; bound *= 2 {
		priority--
	}
	return priority
}
