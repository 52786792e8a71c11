package settings

import (
	"bytes"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// fileDecoder decodes a settings file. It continues after a problem to collect all of them.
type fileDecoder struct {
	path     string
	fields   map[string]field
	sections map[string]bool
	origins  map[string]string
	problems Problems
}

func decodeFile(path string, data []byte, target any, origins map[string]string) Problems {
	d := &fileDecoder{path: path, fields: map[string]field{}, sections: map[string]bool{}, origins: origins}
	for _, f := range fieldsOf(target) {
		d.fields[f.path] = f
		for section := f.path; strings.Contains(section, "."); {
			section = section[:strings.LastIndex(section, ".")]
			d.sections[section] = true
		}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document, second yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		if err = decoder.Decode(&second); errors.Is(err, io.EOF) {
			d.decodeMapping("", document.Content[0])
			return d.problems
		}
	}
	found := "a second YAML document"
	if err != nil {
		found = err.Error()
	}
	return Problems{{Origin: path, Found: found, Expected: "one YAML mapping of settings"}}
}

func (d *fileDecoder) originOf(node *yaml.Node) string {
	return fmt.Sprintf("%s:%d:%d", d.path, node.Line, node.Column)
}

func (d *fileDecoder) addProblem(node *yaml.Node, field, found, expected string) {
	d.problems = append(d.problems, Problem{Field: field, Origin: d.originOf(node), Found: found, Expected: expected})
}

func (d *fileDecoder) decodeMapping(path string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		d.addProblem(node, path, "the value is not a mapping", "a mapping of settings")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := joinPath(path, key.Value)
		if seen[key.Value] {
			d.addProblem(key, name, "the field is set twice", "one value")
			continue
		}
		seen[key.Value] = true
		d.decodeMember(name, key, value)
	}
}

func (d *fileDecoder) decodeMember(path string, key, value *yaml.Node) {
	f, known := d.fields[path]
	switch {
	case d.sections[path]:
		d.decodeMapping(path, value)
	case !known:
		d.addProblem(key, path, "unknown field", "one of "+d.siblingNames(path))
	default:
		d.origins[path] = d.originOf(value)
		if err := f.setFromNode(value); err != nil || !hasExpectedKind(f, value) {
			d.addProblem(value, path, "the value is "+describeValue(f, value), f.expectedValue())
		}
	}
}

// hasExpectedKind reports whether the YAML type of the node fits the field. It excludes two
// conversions that the YAML package makes silently: a number to a string and null to a zero
// value.
func hasExpectedKind(f field, node *yaml.Node) bool {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	tag := node.ShortTag()
	if f.value.Kind() == reflect.String {
		return tag == "!!str"
	}
	return tag != "!!null"
}

func describeValue(f field, node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		return f.quoteUnlessSecret(node.Value)
	}
}

// siblingNames lists the names of the fields in the same section as path.
func (d *fileDecoder) siblingNames(path string) string {
	prefix := ""
	if i := strings.LastIndex(path, "."); i >= 0 {
		prefix = path[:i+1]
	}
	var names []string
	for name := range d.fields {
		sibling, isSibling := strings.CutPrefix(name, prefix)
		if isSibling {
			sibling, _, _ = strings.Cut(sibling, ".")
			names = append(names, sibling)
		}
	}
	return strings.Join(sortedUnique(names), ", ")
}
