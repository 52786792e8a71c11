package list

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	value int
	node  Node[item]
}

// TestListsAgainstSlices guards against elements that get lost, change their order or stay in a list
// that they have left, by comparing two lists that share their elements with slices.
func TestListsAgainstSlices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := make([]item, 8)
		for i := range items {
			items[i].value = i
		}
		var lists [2]List[item]
		var expected [2][]int
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i, l := rapid.IntRange(0, len(items)-1).Draw(t, "item"), rapid.IntRange(0, 1).Draw(t, "list")
			for k := range expected {
				expected[k] = slices.DeleteFunc(expected[k], func(v int) bool { return v == i })
			}
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				lists[l].PushFront(&items[i], &items[i].node)
				expected[l] = slices.Insert(expected[l], 0, i)
			case 1:
				lists[l].PushBack(&items[i], &items[i].node)
				expected[l] = append(expected[l], i)
			case 2:
				items[i].node.Remove()
			}
			for k := range lists {
				compare(t, &lists[k], expected[k])
			}
		}
	})
}

func compare(t *rapid.T, l *List[item], expected []int) {
	var forward, backward []int
	for e := l.Front(); e != nil; e = e.node.Next() {
		forward = append(forward, e.value)
	}
	for e := l.Back(); e != nil; e = e.node.Previous() {
		backward = append(backward, e.value)
	}
	slices.Reverse(backward)
	if !slices.Equal(forward, expected) || !slices.Equal(backward, expected) || l.Len() != len(expected) {
		t.Fatalf("forward %v, backward %v, length %d; expected %v", forward, backward, l.Len(), expected)
	}
}

// TestMovesAllocateNothing guards against garbage on the paths that move an element for each request.
func TestMovesAllocateNothing(t *testing.T) {
	var l List[item]
	items := make([]item, 4)
	if n := testing.AllocsPerRun(100, func() {
		for i := range items {
			l.PushFront(&items[i], &items[i].node)
		}
		items[0].node.Remove()
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
