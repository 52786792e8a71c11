package settings

import (
	"io"
	"net/url"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// printSettings writes the effective settings as YAML with the origin of each value. It redacts
// fields with the tag secret:"true" and passwords in URLs. The path of a file with a secret is
// not redacted.
func printSettings(out io.Writer, config any, origins map[string]string) error {
	root := &yaml.Node{Kind: yaml.MappingNode}
	sections := map[string]*yaml.Node{"": root}
	for _, f := range fieldsOf(config) {
		node, err := f.redactedNode()
		if err != nil {
			return err
		}
		origin := origins[f.path]
		if origin == "" {
			origin = "default"
		}
		parent, name := parentSection(sections, f.path)
		key := &yaml.Node{Kind: yaml.ScalarNode, Value: name}
		if node.Kind == yaml.ScalarNode {
			node.LineComment = origin
		} else {
			key.HeadComment = origin
		}
		parent.Content = append(parent.Content, key, node)
	}
	encoder := yaml.NewEncoder(out)
	encoder.SetIndent(2)
	if err := encoder.Encode(root); err != nil {
		return err
	}
	return encoder.Close()
}

// parentSection returns the mapping that contains the field, and the field's name in it. It
// creates missing mappings.
func parentSection(sections map[string]*yaml.Node, path string) (*yaml.Node, string) {
	i := strings.LastIndex(path, ".")
	if i < 0 {
		return sections[""], path
	}
	section := path[:i]
	if sections[section] == nil {
		parent, name := parentSection(sections, section)
		sections[section] = &yaml.Node{Kind: yaml.MappingNode}
		parent.Content = append(parent.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name}, sections[section])
	}
	return sections[section], path[i+1:]
}

// redactedNode returns the field's value as a YAML node with secrets redacted.
func (f field) redactedNode() (*yaml.Node, error) {
	var value any = f.value.Interface()
	if f.value.Kind() == reflect.String {
		value = redactPassword(f.value.String())
	}
	if f.isSecret() && !f.value.IsZero() {
		value = redactedText
	}
	var node yaml.Node
	if err := node.Encode(value); err != nil {
		return nil, err
	}
	return &node, nil
}

func redactPassword(text string) string {
	parsed, err := url.Parse(text)
	if err != nil || parsed.User == nil {
		return text
	}
	return parsed.Redacted()
}
