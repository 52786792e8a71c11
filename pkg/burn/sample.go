package burn

import "time"

// Sample contains the values of one gateway's counters at one time.
type Sample struct {
	// Source identifies the gateway, for example by its address.
	Source string `json:"source"`
	// At is the time at which the counters were read. All samples must use the same clock.
	At time.Time `json:"at"`
	// Routes holds the counters of each route.
	Routes map[string]Counts `json:"routes"`
}
