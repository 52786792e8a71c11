package table

import (
	"fmt"

	"go.yaml.in/yaml/v3"
)

// namespace is a set of names or addresses that must be unique.
type namespace struct {
	// noun describes an entry in validation errors, such as "pool name".
	noun string
	// expected describes a valid entry, such as "a name that is unique over all pools".
	expected string
	// defined maps each entry to the node that defines it.
	defined map[string]*yaml.Node
}

func newNamespace(noun, expected string) *namespace {
	return &namespace{noun: noun, expected: expected, defined: map[string]*yaml.Node{}}
}

// define adds a name, or a validation error if the name is already defined. An empty name is
// skipped, since the caller has already added an error for it.
func (n *namespace) define(d *decoder, e element, name string) {
	if name == "" {
		return
	}
	if first := n.defined[name]; first != nil {
		d.addError(ErrorKindDuplicate, e,
			fmt.Sprintf("the %s %q is already used at %s:%d:%d", n.noun, truncate(name), d.file, first.Line, first.Column),
			n.expected)
		return
	}
	n.defined[name] = e.node
}

// reference is the use of a name that must be defined elsewhere.
type reference struct {
	element element
	name    string
}

// checkReferences adds a validation error for each reference to a name that is not defined.
func checkReferences[V any](d *decoder, references []reference, defined map[string]V, noun, expected string) {
	for _, r := range references {
		if _, ok := defined[r.name]; !ok {
			d.addError(ErrorKindBadReference, r.element, fmt.Sprintf("there is no %s %q", noun, truncate(r.name)), expected)
		}
	}
}
