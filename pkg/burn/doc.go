// Package burn computes the error budget burn rates of routes, and the cost of their work,
// from counters that are scraped from gateways.
//
// At a burn rate of 1 the error budget is used up exactly at the end of the objective's
// period. A rule compares the burn rates over a short and a long window: the long window
// shows that the failures are significant, the short window that they are still occurring.
//
// The package does not read the clock: samples carry a timestamp, and the current time is
// passed to reports.
package burn
