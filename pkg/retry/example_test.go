package retry_test

import (
	"fmt"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/retry"
)

// Ten first attempts pay for one retry.
func ExampleBudget() {
	var budget retry.Budget
	fmt.Println("at the start:", budget.TryWithdraw())
	for range 10 {
		budget.Deposit()
	}
	fmt.Println("after ten attempts:", budget.TryWithdraw(), budget.TryWithdraw())
	// Output:
	// at the start: false
	// after ten attempts: true false
}
