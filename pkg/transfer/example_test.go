package transfer_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/transfer"
)

// A VM sends the difference to the value that the receiver has.
func ExampleValues() {
	var values transfer.Values
	first, second := []byte("routes: a, b, c"), []byte("routes: a, b, c, d")
	values.Add(first)
	values.Add(second)
	wanted := replica.ReferenceTo(second)
	encoded, ok, err := values.Encoded(wanted.Hash, replica.ReferenceTo(first).Hash)
	fmt.Println(ok, encoded.IsDelta, err)
	value, err := transfer.Decode(encoded, first, wanted)
	fmt.Println(string(value), err)
	// Output:
	// true true <nil>
	// routes: a, b, c, d <nil>
}
