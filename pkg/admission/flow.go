package admission

// flow holds the waiting attempts of one workspace as a heap ordered by latest start.
type flow struct {
	name   string
	weight int
	// finishTag is the virtual finish time of the last served attempt, which is the start tag
	// of the next one.
	finishTag float64
	heap      []*Item
	// activeIndex is the index in Queue.activeFlows, or -1 if no attempt is waiting.
	activeIndex int
}

func (f *flow) push(item *Item) {
	item.heapIndex = len(f.heap)
	f.heap = append(f.heap, item)
	f.siftUp(item.heapIndex)
}

func (f *flow) remove(i int) {
	last := len(f.heap) - 1
	f.swap(i, last)
	f.heap[last] = nil
	f.heap = f.heap[:last]
	if i < last {
		f.siftDown(i)
		f.siftUp(i)
	}
}

func (f *flow) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !f.less(i, parent) {
			return
		}
		f.swap(i, parent)
		i = parent
	}
}

func (f *flow) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(f.heap); child++ {
			if f.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		f.swap(i, least)
		i = least
	}
}

func (f *flow) less(i, j int) bool {
	a, b := f.heap[i], f.heap[j]
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.sequence < b.sequence
}

func (f *flow) swap(i, j int) {
	f.heap[i], f.heap[j] = f.heap[j], f.heap[i]
	f.heap[i].heapIndex, f.heap[j].heapIndex = i, j
}
