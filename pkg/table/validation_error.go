package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ErrorKind classifies a ValidationError.
type ErrorKind string

// Kinds of validation error.
const (
	// ErrorKindTooLarge means that the value exceeds MaxValueBytes, or that its aliases expand
	// to more nodes than the limit.
	ErrorKindTooLarge ErrorKind = "too_large"
	// ErrorKindSyntax means that the value is not exactly one YAML document.
	ErrorKindSyntax ErrorKind = "syntax"
	// ErrorKindUnknownField means that the schema does not define the field.
	ErrorKindUnknownField ErrorKind = "unknown_field"
	// ErrorKindMissing means that a required field or list element is absent.
	ErrorKindMissing ErrorKind = "missing"
	// ErrorKindWrongType means that the value does not have the YAML type of the field.
	ErrorKindWrongType ErrorKind = "wrong_type"
	// ErrorKindBadForm means that the value has the right type but an invalid format.
	ErrorKindBadForm ErrorKind = "bad_form"
	// ErrorKindOutOfRange means that a number or duration is outside its range.
	ErrorKindOutOfRange ErrorKind = "out_of_range"
	// ErrorKindDuplicate means that a field, name or address occurs more than once.
	ErrorKindDuplicate ErrorKind = "duplicate"
	// ErrorKindBadReference means that a referenced name is not defined.
	ErrorKindBadReference ErrorKind = "bad_reference"
	// ErrorKindOmitted marks the last entry of a list that is cut off at MaxValidationErrors.
	ErrorKindOmitted ErrorKind = "omitted"
)

// MaxValidationErrors limits the errors that one call returns, so that an invalid value cannot
// flood the log.
const MaxValidationErrors = 1000

// ValidationError is one reason why a value is invalid.
type ValidationError struct {
	Kind ErrorKind `json:"kind"`
	File string    `json:"file"`
	// Line and Column are 1-based.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the path of the field, such as routes[0].stages[1].timeout. It is empty if the
	// error concerns the whole value.
	Path string `json:"path"`
	// Problem describes what was found.
	Problem string `json:"problem"`
	// Expected describes what the field accepts.
	Expected string `json:"expected"`
}

// String returns the error as one line.
func (e ValidationError) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", e.File, e.Line, e.Column)
	if e.Path != "" {
		fmt.Fprintf(&b, "%s: ", e.Path)
	}
	b.WriteString(e.Problem)
	if e.Expected != "" {
		fmt.Fprintf(&b, "; expected %s", e.Expected)
	}
	return b.String()
}

// ValidationErrors is the error type that all decoders return. It lists the validation errors
// in the order of file, line and column.
type ValidationErrors []ValidationError

// Error returns the errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].String()
	}
	return strings.Join(lines, "\n")
}

// errorCollector keeps up to MaxValidationErrors errors and counts the rest.
type errorCollector struct {
	errors  ValidationErrors
	omitted int
}

func (c *errorCollector) add(e ValidationError) {
	if len(c.errors) >= MaxValidationErrors {
		c.omitted++
		return
	}
	c.errors = append(c.errors, e)
}

// err returns the collected errors sorted by position, or nil if there are none. An error in
// an aliased node is listed once for each use of the alias, under the path of that use.
func (c *errorCollector) err() error {
	if len(c.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(c.errors, func(a, b ValidationError) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
		)
	})
	sorted := c.errors
	if c.omitted > 0 {
		last := sorted[len(sorted)-1]
		last.Kind, last.Path, last.Expected = ErrorKindOmitted, "", ""
		last.Problem = fmt.Sprintf("%d more errors are not listed", c.omitted)
		sorted = append(sorted, last)
	}
	return sorted
}
