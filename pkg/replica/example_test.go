package replica_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// A copy tracks the revision and the time up to which it is complete.
func ExampleReplica() {
	r := replica.New()
	r.Replace([]replica.Item{{Key: "a", Value: []byte("1"), Revision: 3}}, 5, 100)
	changed := r.Apply([]replica.Item{{Key: "a", Value: []byte("2"), Revision: 6}}, 6, 200)
	fmt.Println(len(changed), r.Revision(), r.FreshAt())
	// Output: 1 6 200
}
