package table

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxNodes limits the YAML nodes that one decoding visits. A value of MaxValueBytes cannot
// contain that many nodes, since each takes at least two bytes; only the expansion of
// aliases can exceed the limit.
const maxNodes = MaxValueBytes / 2

// maxQuotedBytes limits how much of a value is quoted in a validation error.
const maxQuotedBytes = 64

// decoder walks the node tree of one value and collects validation errors with their
// positions.
type decoder struct {
	// file is the file name in validation errors.
	file      string
	collector *errorCollector
	// nodes is the number of visited nodes.
	nodes int
	// nodeLimitReached is set when more than maxNodes nodes are visited; the rest of the value
	// is skipped.
	nodeLimitReached bool
}

// element is a YAML node and its path from the root of the value.
type element struct {
	node *yaml.Node
	path string
}

// field is the schema of one field of a mapping.
type field struct {
	name string
	// requiredForm describes what a required field accepts, for the error if it is missing. It
	// is empty for an optional field.
	requiredForm string
	decode       func(element)
}

// parse returns the root of the value. If there is none it adds an error and returns false.
func (d *decoder) parse(data []byte) (element, bool) {
	if len(data) > MaxValueBytes {
		d.collector.add(ValidationError{
			Kind: ErrorKindTooLarge, File: d.file, Line: 1, Column: 1,
			Problem:  fmt.Sprintf("the value has %d bytes", len(data)),
			Expected: fmt.Sprintf("at most %d bytes", MaxValueBytes),
		})
		return element{}, false
	}
	documents := yaml.NewDecoder(bytes.NewReader(data))
	var document yaml.Node
	if err := documents.Decode(&document); err != nil {
		d.addSyntaxError(data, err)
		return element{}, false
	}
	var second yaml.Node
	if err := documents.Decode(&second); !errors.Is(err, io.EOF) {
		if err != nil {
			d.addSyntaxError(data, err)
			return element{}, false
		}
		d.addError(ErrorKindSyntax, element{node: &second}, "a second YAML document", "one document")
	}
	return element{node: document.Content[0]}, true
}

func (d *decoder) addError(kind ErrorKind, e element, problem, expected string) {
	d.collector.add(ValidationError{
		Kind: kind, File: d.file, Line: max(e.node.Line, 1), Column: max(e.node.Column, 1),
		Path: e.path, Problem: problem, Expected: expected,
	})
}

// visit counts the node and resolves an alias. It returns false if the node limit is exceeded.
func (d *decoder) visit(e element) (element, bool) {
	if d.nodeLimitReached {
		return e, false
	}
	d.nodes++
	if d.nodes > maxNodes {
		d.nodeLimitReached = true
		d.addError(ErrorKindTooLarge, e, "aliases expand the value too far",
			fmt.Sprintf("at most %d nodes after the expansion of aliases", maxNodes))
		return e, false
	}
	if e.node.Kind == yaml.AliasNode {
		e.node = e.node.Alias
	}
	return e, true
}

// mapping decodes a mapping with the given fields. A field with a null value counts as
// missing.
func (d *decoder) mapping(e element, expected string, fields ...field) {
	e, ok := d.visit(e)
	if !ok {
		return
	}
	if e.node.Kind != yaml.MappingNode {
		d.addTypeError(e, expected)
		return
	}
	seen := make([]*yaml.Node, len(fields))
	for i := 0; i+1 < len(e.node.Content); i += 2 {
		key, value := e.node.Content[i], e.node.Content[i+1]
		keyElement := element{node: key, path: joinPath(e.path, key.Value)}
		index := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Value })
		switch {
		case key.Kind != yaml.ScalarNode || index < 0:
			keyElement.path = e.path
			d.addError(ErrorKindUnknownField, keyElement, "unknown field "+quoteValue(key), "one of "+fieldNames(fields))
		case seen[index] != nil:
			d.addError(ErrorKindDuplicate, keyElement, fmt.Sprintf("the field is already set at line %d", seen[index].Line), "one value")
		default:
			seen[index] = key
			if !isNull(value) {
				fields[index].decode(element{node: value, path: keyElement.path})
			} else if fields[index].requiredForm != "" {
				d.addError(ErrorKindMissing, keyElement, "the field has no value", fields[index].requiredForm)
			}
		}
	}
	for i := range fields {
		if seen[i] == nil && fields[i].requiredForm != "" {
			d.addError(ErrorKindMissing, e, "the field "+fields[i].name+" is missing", fields[i].requiredForm)
		}
	}
}

// list calls item for each element of a sequence and returns the length of the sequence.
func (d *decoder) list(e element, expected string, item func(index int, e element)) int {
	e, ok := d.visit(e)
	if !ok {
		return 0
	}
	if e.node.Kind != yaml.SequenceNode {
		d.addTypeError(e, expected)
		return 0
	}
	for i, node := range e.node.Content {
		if d.nodeLimitReached {
			break
		}
		item(i, element{node: node, path: e.path + "[" + strconv.Itoa(i) + "]"})
	}
	return len(e.node.Content)
}

func (d *decoder) addTypeError(e element, expected string) {
	d.addError(ErrorKindWrongType, e, "the value is "+describeType(e.node), expected)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i := range fields {
		names[i] = fields[i].name
	}
	return strings.Join(names, ", ")
}

func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null"
}

func describeType(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	switch node.ShortTag() {
	case "!!str":
		return "the string " + quoteValue(node)
	case "!!int":
		return "the integer " + quoteValue(node)
	case "!!float":
		return "the number " + quoteValue(node)
	case "!!bool":
		return "the boolean " + quoteValue(node)
	case "!!timestamp":
		return "the date " + quoteValue(node)
	case "!!null":
		return "null"
	default:
		return "of the type " + strconv.Quote(truncate(node.Tag))
	}
}

func quoteValue(node *yaml.Node) string { return strconv.Quote(truncate(node.Value)) }

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
