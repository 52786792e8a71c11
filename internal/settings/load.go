// Package settings loads and validates the settings of a process.
//
// Settings are structs. Each field has a yaml tag for its name, a validate tag for its
// constraints and a usage tag for its help text. A value is taken from, in order of
// precedence, a flag, an environment variable, the settings file or the defaults.
package settings

import (
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Load decodes the YAML file at path target target, which holds the defaults, and validates the
// result. The error is of type Problems unless the file cannot be read.
func Load(path string, target any) error {
	_, err := loader{path: path}.load(target)
	return err
}

// override is a value that takes precedence over the settings file.
type override struct {
	value string
	// origin is the origin of the value that errors show, such as "flag --listen".
	origin string
}

// loader combines the defaults, the settings file and the overrides.
type loader struct {
	// path is the path of the settings file, empty if there is none.
	path string
	// overrides holds the values of flags and environment variables by field path.
	overrides map[string]override
}

// load sets the fields of target and returns the origin of each one that is not a default.
func (l loader) load(target any) (origins map[string]string, err error) {
	fields := fieldsOf(target)
	origins = map[string]string{}
	var problems Problems
	if l.path != "" {
		data, err := readFile(l.path)
		if err != nil {
			return nil, errors.Wrap(err, "read settings")
		}
		problems = decodeFile(l.path, data, target, origins)
	}
	for _, f := range fields {
		o, ok := l.overrides[f.path]
		if !ok {
			continue
		}
		origins[f.path] = o.origin
		if err := f.setFromText(o.value); err != nil {
			problems = append(problems, f.newProblem(o.origin, "the value is "+f.quoteUnlessSecret(o.value), f.expectedValue()))
		}
	}
	if len(problems) == 0 {
		problems = validate(target, fields, origins)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return origins, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, errors.Newf("%s is larger than %d bytes", path, maxFileBytes)
	}
	return data, nil
}

// Problem describes an invalid setting.
type Problem struct {
	// Field is the path of the field, such as read_timeout.
	Field string
	// Origin is where the value was set: file, line and column, environment variable or flag.
	Origin string
	// Found describes what is wrong.
	Found string
	// Expected describes what the field accepts.
	Expected string
}

// String returns the problem in one line.
func (p Problem) String() string {
	var parts []string
	for _, part := range []string{p.Origin, p.Field, p.Found} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	text := strings.Join(parts, ": ")
	if p.Expected != "" {
		text += "; expected " + p.Expected
	}
	return text
}

// Problems is the error for invalid settings. It lists all problems.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}
