package admission

import "github.com/hornbeamhoist/hornbeamhoist/pkg/clock"

// Item is a waiting attempt. The caller owns it and may reuse it once it has left the queue.
type Item struct {
	// Key identifies the attempt to the caller.
	Key uint64
	// LatestStart is the latest time at which the attempt can start and meet its deadline.
	LatestStart clock.Instant

	flow      *flow
	heapIndex int
	sequence  uint64
}

// Waiting reports whether the item is in a queue.
func (i *Item) Waiting() bool { return i.flow != nil }

// Queue orders waiting attempts: between workspaces by start-time fair queuing with
// weights and a cost of 1 per attempt, within a workspace by latest start.
type Queue struct {
	// SoftLimit is the number of waiting attempts that workspaces share by weight once half
	// of it is in use. It may be exceeded, since each workspace may have one attempt waiting.
	SoftLimit int

	flows        map[string]*flow
	activeFlows  []*flow
	freeFlows    []*flow
	virtualTime  float64
	activeWeight int
	length       int
	lastSequence uint64
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{flows: make(map[string]*flow)} }

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return q.length }

// Accepts reports whether another attempt of the workspace may wait. Once half of SoftLimit
// is in use, each workspace is limited to its fair share, so that a flood from one does not
// block the others. At least one attempt of each workspace may wait.
func (q *Queue) Accepts(workspace string, weight int) bool {
	if q.length < q.SoftLimit/2 {
		return true
	}
	waiting := 0
	weights := q.activeWeight + weight
	if f := q.flows[workspace]; f != nil && f.activeIndex >= 0 {
		waiting = len(f.heap)
		weights = q.activeWeight
	}
	return waiting < max(1, q.SoftLimit*weight/weights)
}

// AttemptsAhead estimates how many waiting attempts are served before a new one of the workspace.
func (q *Queue) AttemptsAhead(workspace string, weight int) int {
	f := q.flows[workspace]
	if f == nil || f.activeIndex < 0 {
		return min(q.length, (q.activeWeight+weight)/weight)
	}
	return min(q.length, (len(f.heap)+1)*q.activeWeight/f.weight)
}

// Push adds an attempt.
func (q *Queue) Push(workspace string, weight int, item *Item) {
	q.lastSequence++
	item.sequence = q.lastSequence
	q.insert(q.flow(workspace, weight), item)
}

// Pop removes the attempt that is served next, or returns nil.
func (q *Queue) Pop() *Item {
	if len(q.activeFlows) == 0 {
		return nil
	}
	f := q.activeFlows[0]
	item := f.heap[0]
	q.virtualTime = max(q.virtualTime, f.finishTag)
	f.finishTag += 1 / float64(f.weight)
	q.detach(item)
	return item
}

// Requeue puts back an attempt from Pop for which there was no upstream and refunds the
// workspace's share.
func (q *Queue) Requeue(item *Item, workspace string, weight int) {
	f := q.flow(workspace, weight)
	f.finishTag -= 1 / float64(f.weight)
	if f.activeIndex >= 0 {
		q.siftUp(f.activeIndex)
	}
	q.insert(f, item)
}

// Remove removes an attempt if it is waiting.
func (q *Queue) Remove(item *Item) {
	if item.flow != nil {
		q.detach(item)
	}
}

// PopOverdue removes and returns an attempt whose latest start has passed, or nil.
func (q *Queue) PopOverdue(now clock.Instant) *Item {
	for _, f := range q.activeFlows {
		if item := f.heap[0]; item.LatestStart < now {
			q.detach(item)
			return item
		}
	}
	return nil
}

// Expire removes workspaces without waiting attempts once their finish tag has passed or the
// whole queue is empty.
func (q *Queue) Expire() {
	for name, f := range q.flows {
		if f.activeIndex < 0 && (q.length == 0 || f.finishTag <= q.virtualTime) {
			delete(q.flows, name)
			q.freeFlows = append(q.freeFlows, f)
		}
	}
	if q.length == 0 {
		q.virtualTime = 0
	}
}

func (q *Queue) flow(name string, weight int) *flow {
	f := q.flows[name]
	if f == nil {
		f = q.allocFlow()
		f.name = name
		f.finishTag = q.virtualTime
		q.flows[name] = f
	}
	if f.activeIndex >= 0 {
		q.activeWeight += weight - f.weight
	}
	f.weight = weight
	return f
}

func (q *Queue) allocFlow() *flow {
	if last := len(q.freeFlows) - 1; last >= 0 {
		f := q.freeFlows[last]
		q.freeFlows = q.freeFlows[:last]
		*f = flow{heap: f.heap[:0], activeIndex: -1}
		return f
	}
	return &flow{activeIndex: -1}
}

func (q *Queue) insert(f *flow, item *Item) {
	item.flow = f
	f.push(item)
	q.length++
	if f.activeIndex >= 0 {
		return
	}
	// A flow that becomes active starts at the current virtual time, so that it gets no
	// credit for the time when it was idle.
	f.finishTag = max(f.finishTag, q.virtualTime)
	f.activeIndex = len(q.activeFlows)
	q.activeFlows = append(q.activeFlows, f)
	q.activeWeight += f.weight
	q.siftUp(f.activeIndex)
}

func (q *Queue) detach(item *Item) {
	f := item.flow
	f.remove(item.heapIndex)
	item.flow = nil
	q.length--
	if len(f.heap) > 0 {
		q.siftDown(f.activeIndex)
		return
	}
	q.deactivate(f)
}

func (q *Queue) deactivate(f *flow) {
	i, last := f.activeIndex, len(q.activeFlows)-1
	q.swap(i, last)
	q.activeFlows[last] = nil
	q.activeFlows = q.activeFlows[:last]
	f.activeIndex = -1
	q.activeWeight -= f.weight
	if i < last {
		q.siftDown(i)
		q.siftUp(i)
	}
}

func (q *Queue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if q.activeFlows[parent].finishTag <= q.activeFlows[i].finishTag {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.activeFlows); child++ {
			if q.activeFlows[child].finishTag < q.activeFlows[least].finishTag {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}

func (q *Queue) swap(i, j int) {
	q.activeFlows[i], q.activeFlows[j] = q.activeFlows[j], q.activeFlows[i]
	q.activeFlows[i].activeIndex, q.activeFlows[j].activeIndex = i, j
}
