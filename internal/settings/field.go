package settings

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

var durationType = reflect.TypeFor[time.Duration]()

// field is a field of a settings struct that is not itself a nested struct.
type field struct {
	// path consists of the YAML names from the root, joined by dots.
	path  string
	value reflect.Value
	tag   reflect.StructTag
}

// fieldsOf returns the fields of the struct to which target points, including those of nested
// structs.
func fieldsOf(target any) []field {
	return appendFields(nil, "", reflect.ValueOf(target).Elem())
}

func appendFields(fields []field, prefix string, value reflect.Value) []field {
	for i := range value.NumField() {
		structField := value.Type().Field(i)
		name, inline := yamlName(structField)
		if name == "-" || !structField.IsExported() {
			continue
		}
		path := prefix
		if !inline {
			path = joinPath(prefix, name)
		}
		if isNested(structField.Type) {
			fields = appendFields(fields, path, value.Field(i))
			continue
		}
		fields = append(fields, field{path: path, value: value.Field(i), tag: structField.Tag})
	}
	return fields
}

// isNested reports whether fields of type t hold nested fields.
func isNested(t reflect.Type) bool { return t.Kind() == reflect.Struct }

func yamlName(structField reflect.StructField) (name string, inline bool) {
	name, options, _ := strings.Cut(structField.Tag.Get("yaml"), ",")
	if name == "" {
		name = strings.ToLower(structField.Name)
	}
	return name, strings.Contains(options, "inline")
}

func joinPath(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// isSecret reports whether the value must be omitted from output and errors.
func (f field) isSecret() bool { return f.tag.Get("secret") == "true" }

func (f field) quoteUnlessSecret(value string) string {
	if f.isSecret() {
		return "hidden"
	}
	return strconv.Quote(value)
}

func (f field) newProblem(origin, found, expected string) Problem {
	return Problem{Field: f.path, Origin: origin, Found: found, Expected: expected}
}

// setFromText sets the field from the value of a flag or environment variable. Values other
// than strings are parsed as YAML; a list is written in flow style, such as [a, b].
func (f field) setFromText(text string) error {
	if f.value.Kind() == reflect.String {
		f.value.SetString(text)
		return nil
	}
	var document yaml.Node
	if err := yaml.Unmarshal([]byte(text), &document); err != nil {
		return err
	}
	if len(document.Content) == 0 {
		return errors.New("the value is empty")
	}
	return f.setFromNode(document.Content[0])
}

// setFromNode sets the field from a YAML node.
func (f field) setFromNode(node *yaml.Node) error {
	if f.value.Type() == durationType {
		// Decode would accept a plain number as nanoseconds.
		parsed, err := time.ParseDuration(node.Value)
		if err != nil {
			return err
		}
		f.value.SetInt(int64(parsed))
		return nil
	}
	return node.Decode(f.value.Addr().Interface())
}

// expectedValue describes the values that the field's type accepts.
func (f field) expectedValue() string {
	if f.value.Type() == durationType {
		return "a duration such as 10s"
	}
	switch f.value.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Map:
		return "a mapping"
	default:
		return "a string"
	}
}
