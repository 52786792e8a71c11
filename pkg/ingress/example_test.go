package ingress_test

import (
	"fmt"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/ingress"
)

// A new connection takes the place of one that says nothing, and never of one whose request is running.
func ExampleAccount_Accept() {
	account := ingress.New(ingress.Limits{Connections: 2, Bytes: 1 << 20, HeadBytes: 8 << 10})
	now := clock.Instant(time.Hour)
	busy, _ := account.Accept(now, "busy")
	account.Received(now, busy, 100, 3)
	account.Begin(now, busy)
	account.Admit(now, busy)
	_, _ = account.Accept(now, "silent")
	_, closing := account.Accept(now.Add(time.Second), "new")
	for _, c := range closing {
		fmt.Println(c.Conn.Owner, c.Reason)
	}
	// Output: silent connection_limit
}
