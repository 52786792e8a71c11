package replica_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
)

// A copy tracks the position and the time up to which it is complete. A listing of a higher era is newer
// although its revision is lower.
func ExampleReplica() {
	r := replica.New()
	r.Replace([]replica.Item{{Key: "a", Value: []byte("1"), Revision: 3}}, replica.Position{Era: 1, Revision: 5}, 100)
	changed := r.Apply([]replica.Item{{Key: "a", Value: []byte("2"), Revision: 6}}, replica.Position{Era: 1, Revision: 6}, 200)
	fmt.Println(len(changed), r.Position(), r.FreshAt())
	r.Replace([]replica.Item{{Key: "b", Value: []byte("3"), Revision: 2}}, replica.Position{Era: 2, Revision: 3}, 300)
	fmt.Println(r.Position(), len(r.Items()))
	// Output:
	// 1 {1 6} 200
	// {2 3} 1
}
