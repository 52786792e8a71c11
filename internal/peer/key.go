package peer

import (
	"bytes"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// minKeyBytes is the shortest accepted key: 128 bits.
const minKeyBytes = 16

// Key is the secret that all processes of one system share. Formatting a Key never
// reveals the secret. A nil Key means that messages are not authenticated.
type Key struct{ secret []byte }

// LoadKey reads the key from a file and ignores leading and trailing white space. It
// returns nil if path is empty, and an error if the file cannot be read or the key is
// shorter than 16 bytes.
func LoadKey(path string) (*Key, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	return NewKey(data)
}

// NewKey returns the key in data without leading and trailing white space. It returns an
// error if the key is shorter than 16 bytes.
func NewKey(data []byte) (*Key, error) {
	secret := bytes.TrimSpace(data)
	if len(secret) < minKeyBytes {
		return nil, errors.Newf("key has %d bytes; at least %d are required", len(secret), minKeyBytes)
	}
	return &Key{secret: bytes.Clone(secret)}, nil
}

// Format implements fmt.Formatter. Every verb hides the secret.
func (k *Key) Format(state fmt.State, _ rune) { _, _ = state.Write([]byte("[key]")) }

// MarshalText hides the secret in JSON and structured logs.
func (k *Key) MarshalText() ([]byte, error) { return []byte("[key]"), nil }
