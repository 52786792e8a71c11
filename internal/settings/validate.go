package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// newValidator returns a validator that uses the YAML names of fields and has the additional
// rule ip_port. Host names are not accepted, since the processes address each other by IP
// address only.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(structField reflect.StructField) string {
		name, inline := yamlName(structField)
		if inline {
			return ""
		}
		return name
	})
	isIPPort := func(fieldLevel validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(fieldLevel.Field().String())
		return err == nil
	}
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		panic(err) // The error depends only on the rule's name, which is constant.
	}
	return v
}

// validate checks the constraints in the validate tags.
func validate(target any, fields []field, origins map[string]string) Problems {
	err := newValidator().Struct(target)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return Problems{{Found: err.Error()}}
	}
	var problems Problems
	for _, violation := range violations {
		problems = append(problems, violationProblem(violation, fields, origins))
	}
	return problems
}

func violationProblem(violation validator.FieldError, fields []field, origins map[string]string) Problem {
	_, path, _ := strings.Cut(violation.Namespace(), ".")
	// The path of a list element ends with an index, such as [1].
	fieldPath, _, _ := strings.Cut(path, "[")
	index := slices.IndexFunc(fields, func(f field) bool { return f.path == fieldPath })
	problem := Problem{Field: path, Origin: origins[fieldPath], Expected: expectedByConstraint(violation)}
	switch {
	case violation.Tag() == "required":
		problem.Found = "the value is missing"
	case index >= 0 && fields[index].isSecret():
		problem.Found = "the value is hidden"
	default:
		problem.Found = fmt.Sprintf("the value is %q", fmt.Sprint(violation.Value()))
	}
	return problem
}

// expectedByConstraint describes the values that satisfy the violated rule.
func expectedByConstraint(violation validator.FieldError) string {
	param := violation.Param()
	size := ""
	switch violation.Kind() {
	case reflect.Slice, reflect.Map:
		size = "a length of "
	case reflect.String:
		size = "a length in characters of "
	}
	switch violation.Tag() {
	case "required":
		return "a value"
	case "ip_port":
		return "IP:port, such as 10.0.0.1:8080"
	case "hostname_port":
		return "an address with a port, such as 10.0.0.1:8080"
	case "url", "http_url":
		return "a URL, such as http://10.0.0.1:8080"
	case "min", "gte":
		return size + "at least " + param
	case "max", "lte":
		return size + "at most " + param
	case "gt":
		return size + "more than " + param
	case "lt":
		return size + "less than " + param
	case "oneof":
		return "one of " + strings.Join(strings.Fields(param), ", ")
	case "file":
		return "the path of a file that exists"
	}
	if param == "" {
		return "a value that satisfies the rule " + violation.Tag()
	}
	return "a value that satisfies the rule " + violation.Tag() + "=" + param
}

func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
