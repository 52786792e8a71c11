package errkind_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

// An error starts with the default run state of its kind, which can only be raised.
func ExampleError_RaiseRunState() {
	err := errkind.New(errkind.DeadlineExceeded, "in stage book")
	fmt.Println(err, err.Kind.Response().Status, err.RunState)
	err = err.RaiseRunState(errkind.Unknown).RaiseRunState(errkind.NotRun)
	fmt.Println(err.RunState)
	// Output:
	// deadline_exceeded: in stage book 504 not_run
	// unknown
}
