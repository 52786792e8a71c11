package settings

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// redactedText replaces a secret in output.
const redactedText = "(hidden)"

// maxSecretBytes is the maximum size of a secret.
const maxSecretBytes = 4096

// Secret is a value that is redacted in log lines, errors and JSON and YAML documents.
type Secret struct {
	// read returns the bytes. For a Secret in an unexported field, the fmt package cannot call
	// String and prints the fields instead. A function is printed as an address only.
	read func() []byte
}

// ReadSecret reads a secret from a file, without one trailing line break.
func ReadSecret(path string) (Secret, error) {
	data, err := readFile(path)
	if err != nil {
		return Secret{}, errors.Wrap(err, "read secret")
	}
	data = bytes.TrimSuffix(bytes.TrimSuffix(data, []byte("\n")), []byte("\r"))
	if len(data) == 0 || len(data) > maxSecretBytes {
		return Secret{}, errors.Newf("the secret file %s contains %d bytes; expected 1 to %d", path, len(data), maxSecretBytes)
	}
	return Secret{read: func() []byte { return data }}, nil
}

// Bytes returns the secret in plain text, nil for the zero Secret.
func (s Secret) Bytes() []byte {
	if s.read == nil {
		return nil
	}
	return s.read()
}

// String implements fmt.Stringer and redacts the secret.
func (Secret) String() string { return redactedText }

// GoString implements fmt.GoStringer and redacts the secret.
func (Secret) GoString() string { return redactedText }

// MarshalText implements encoding.TextMarshaler and redacts the secret.
func (Secret) MarshalText() ([]byte, error) { return []byte(redactedText), nil }

// MarshalYAML implements yaml.Marshaler and redacts the secret.
func (Secret) MarshalYAML() (any, error) { return redactedText, nil }
