package list_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/list"
)

type session struct {
	name string
	node list.Node[session]
}

// A list in the order of use, from which the session that was not used for longest is dropped.
func Example() {
	var used list.List[session]
	a, b, c := &session{name: "a"}, &session{name: "b"}, &session{name: "c"}
	for _, s := range []*session{a, b, c, a} {
		used.PushFront(s, &s.node)
	}
	used.Back().node.Remove()
	for s := used.Front(); s != nil; s = s.node.Next() {
		fmt.Println(s.name)
	}
	// Output:
	// a
	// c
}
