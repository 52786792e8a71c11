package table

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Limits on values in the tables.
const (
	// MaxCount is the maximum of capacities, weights and limits.
	MaxCount = 1_000_000
	// MaxDeadline is the maximum of deadlines and timeouts. A keeper reserves a cold-start slot
	// until the longest deadline after its lease has passed, so an excessive deadline would
	// block cold upstreams.
	MaxDeadline = time.Hour
	// MaxNameBytes is the maximum length of names, which are used as header values, URL path
	// segments and metric labels.
	MaxNameBytes = 128
)

// Descriptions of accepted values, for the Expected text of validation errors.
const (
	expectedName           = "1 to 128 letters, digits, '.', '_' or '-'"
	expectedString         = "a string (put it in quotes)"
	expectedNonEmptyString = "a string that is not empty"
	expectedBool           = "true or false"
	expectedAddress        = "IP:port, such as 10.0.0.1:8080 or [fd00::1]:8080"
	expectedDeadline       = "a duration over 0 and up to 1h, such as 3s"
	expectedTimeout        = "a duration from 0 to 1h, such as 500ms"
	expectedPath           = "an HTTP path that starts with \"/\""
)

// scalar resolves e to a scalar node. For a node of another kind it adds an error and returns
// false.
func (d *decoder) scalar(e element, expected string) (element, bool) {
	e, ok := d.visit(e)
	if !ok {
		return e, false
	}
	if e.node.Kind != yaml.ScalarNode {
		d.addTypeError(e, expected)
		return e, false
	}
	return e, true
}

// stringValue decodes a string. An unquoted number, date or boolean is rejected, since YAML
// parsers do not preserve its spelling: 1.10 is read as 1.1.
func (d *decoder) stringValue(e element, dst *string, expected string) (element, bool) {
	e, ok := d.scalar(e, expected)
	if !ok {
		return e, false
	}
	if e.node.ShortTag() != "!!str" {
		d.addTypeError(e, expectedString)
		return e, false
	}
	*dst = e.node.Value
	return e, true
}

// nonEmptyString decodes a string that must not be empty.
func (d *decoder) nonEmptyString(e element, dst *string) {
	e, ok := d.stringValue(e, dst, expectedNonEmptyString)
	if ok && *dst == "" {
		d.addError(ErrorKindBadForm, e, "the value is empty", expectedNonEmptyString)
	}
}

// name decodes a name. An invalid name is stored too, so that references to it do not cause
// further errors.
func (d *decoder) name(e element, dst *string) (element, bool) {
	e, ok := d.stringValue(e, dst, expectedName)
	if !ok {
		return e, false
	}
	if !isName(*dst) {
		d.addError(ErrorKindBadForm, e, "the name is "+quoteValue(e.node), expectedName)
	}
	return e, true
}

func isName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool { return !isNameRune(r) }) < 0
}

func isNameRune(r rune) bool {
	return 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("._-", r)
}

func (d *decoder) boolean(e element, dst *bool) {
	e, ok := d.scalar(e, expectedBool)
	if !ok {
		return
	}
	if e.node.ShortTag() != "!!bool" || e.node.Decode(dst) != nil {
		d.addTypeError(e, expectedBool)
	}
}

// count decodes an integer from low to MaxCount and reports whether it is valid.
func (d *decoder) count(e element, dst *int, low int) bool {
	expected := "an integer from " + strconv.Itoa(low) + " to " + strconv.Itoa(MaxCount)
	e, ok := d.scalar(e, expected)
	if !ok {
		return false
	}
	if e.node.ShortTag() != "!!int" {
		d.addTypeError(e, expected)
		return false
	}
	var n int64
	if err := e.node.Decode(&n); err != nil || n < int64(low) || n > MaxCount {
		d.addError(ErrorKindOutOfRange, e, "the value is "+quoteValue(e.node), expected)
		return false
	}
	*dst = int(n)
	return true
}

// number decodes a finite number for which valid returns true.
func (d *decoder) number(e element, dst *float64, expected string, valid func(float64) bool) {
	e, ok := d.scalar(e, expected)
	if !ok {
		return
	}
	if tag := e.node.ShortTag(); tag != "!!int" && tag != "!!float" {
		d.addTypeError(e, expected)
		return
	}
	var x float64
	if err := e.node.Decode(&x); err != nil || math.IsNaN(x) || math.IsInf(x, 0) || !valid(x) {
		d.addError(ErrorKindOutOfRange, e, "the value is "+quoteValue(e.node), expected)
		return
	}
	*dst = x
}

// duration decodes a Go duration from low to MaxDeadline.
func (d *decoder) duration(e element, dst *time.Duration, low time.Duration, expected string) {
	e, ok := d.scalar(e, expected)
	if !ok {
		return
	}
	parsed, err := time.ParseDuration(e.node.Value)
	if err != nil {
		d.addTypeError(e, expected)
		return
	}
	if parsed < low || parsed > MaxDeadline {
		d.addError(ErrorKindOutOfRange, e, "the value is "+quoteValue(e.node), expected)
		return
	}
	*dst = parsed
}

// address decodes an IP:port address. It also returns the canonical form, which is the same
// for all spellings of an address.
func (d *decoder) address(e element, dst *string) (element, string) {
	e, ok := d.stringValue(e, dst, expectedAddress)
	if !ok {
		return e, ""
	}
	parsed, err := netip.ParseAddrPort(*dst)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		d.addError(ErrorKindBadForm, e, "the address is "+quoteValue(e.node), expectedAddress)
		return e, ""
	}
	return e, netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
}

// httpPath decodes the path of a stage call.
func (d *decoder) httpPath(e element, dst *string) {
	e, ok := d.stringValue(e, dst, expectedPath)
	if !ok {
		return
	}
	unsafe := func(r rune) bool { return r <= ' ' || r >= 0x7f }
	if !strings.HasPrefix(*dst, "/") || strings.ContainsFunc(*dst, unsafe) {
		d.addError(ErrorKindBadForm, e, "the path is "+quoteValue(e.node), expectedPath)
	}
}

// oneOf decodes a string that is one of the allowed values.
func oneOf[T ~string](d *decoder, e element, dst *T, allowed ...T) {
	expected := expectedOneOf(allowed...)
	e, ok := d.scalar(e, expected)
	if !ok {
		return
	}
	if !slices.Contains(allowed, T(e.node.Value)) {
		d.addError(ErrorKindBadForm, e, "the value is "+quoteValue(e.node), expected)
		return
	}
	*dst = T(e.node.Value)
}

func expectedOneOf[T ~string](allowed ...T) string {
	names := make([]string, len(allowed))
	for i := range allowed {
		names[i] = string(allowed[i])
	}
	return "one of " + strings.Join(names, ", ")
}
