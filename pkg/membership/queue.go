package membership

import "slices"

// queue holds the updates to send. Each update is sent a bounded number of times, the
// least-sent first, so that new updates spread before old ones are repeated.
type queue struct {
	entries []queuedUpdate
}

type queuedUpdate struct {
	update    Update
	sendCount int
}

// put adds an update and replaces an older one about the same VM.
func (q *queue) put(update Update) {
	q.remove(update.VM)
	q.entries = append(q.entries, queuedUpdate{update: update})
}

func (q *queue) remove(vm string) {
	q.entries = slices.DeleteFunc(q.entries, func(e queuedUpdate) bool { return e.update.VM == vm })
}

// take returns up to n updates and drops those that have been sent limit times.
func (q *queue) take(n, limit int) []Update {
	slices.SortStableFunc(q.entries, func(a, b queuedUpdate) int { return a.sendCount - b.sendCount })
	n = min(n, len(q.entries))
	updates := make([]Update, 0, n)
	for i := range q.entries[:n] {
		q.entries[i].sendCount++
		updates = append(updates, q.entries[i].update)
	}
	q.entries = slices.DeleteFunc(q.entries, func(e queuedUpdate) bool { return e.sendCount >= limit })
	return updates
}

// hasFreshSuspicion reports whether a suspicion was sent fewer than limit times.
func (q *queue) hasFreshSuspicion(limit int) bool {
	return slices.ContainsFunc(q.entries, func(e queuedUpdate) bool { return e.update.Status == Suspect && e.sendCount < limit })
}
