// Package list implements a doubly linked list whose links are part of its elements. Unlike
// container/list, it allocates nothing when an element is added or moved.
package list

// Node links an element into at most one list. It is a field of the element. The zero value is in no
// list.
type Node[T any] struct {
	element        *T
	previous, next *Node[T]
	list           *List[T]
}

// Next returns the element after this one, or nil.
func (n *Node[T]) Next() *T { return elementOf(n.next) }

// Previous returns the element before this one, or nil.
func (n *Node[T]) Previous() *T { return elementOf(n.previous) }

// Remove removes the element from its list, if it is in one.
func (n *Node[T]) Remove() {
	l := n.list
	if l == nil {
		return
	}
	if n.previous == nil {
		l.front = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		l.back = n.previous
	} else {
		n.next.previous = n.previous
	}
	l.length--
	*n = Node[T]{}
}

func elementOf[T any](n *Node[T]) *T {
	if n == nil {
		return nil
	}
	return n.element
}

// List is a list of elements. The zero value is empty. It must not be copied after its first use.
type List[T any] struct {
	front, back *Node[T]
	length      int
}

// Len returns the number of elements.
func (l *List[T]) Len() int { return l.length }

// Front returns the first element, or nil.
func (l *List[T]) Front() *T { return elementOf(l.front) }

// Back returns the last element, or nil.
func (l *List[T]) Back() *T { return elementOf(l.back) }

// PushFront adds an element, whose node is n, before all others. It leaves the list that it is in.
func (l *List[T]) PushFront(element *T, n *Node[T]) {
	n.Remove()
	*n = Node[T]{element: element, next: l.front, list: l}
	if l.front == nil {
		l.back = n
	} else {
		l.front.previous = n
	}
	l.front = n
	l.length++
}

// PushBack adds an element, whose node is n, after all others. It leaves the list that it is in.
func (l *List[T]) PushBack(element *T, n *Node[T]) {
	n.Remove()
	*n = Node[T]{element: element, previous: l.back, list: l}
	if l.back == nil {
		l.front = n
	} else {
		l.back.next = n
	}
	l.back = n
	l.length++
}
