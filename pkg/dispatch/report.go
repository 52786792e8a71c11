package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// warmReportInterval is how often a warm upstream is reported again. Other VMs forget its
// warmth after 30 s, so they tolerate the loss of a report.
const warmReportInterval = 10 * time.Second

// Report returns the observations made since the last call.
func (c *Core) Report(now clock.Instant) Report {
	report := Report{Suspects: c.suspects.TakeNewlyConfirmed(now)}
	if c.snapshot.Tables == nil {
		return report
	}
	for i := range c.snapshot.Tables.Pools.Pools {
		p := c.pools[c.snapshot.Tables.Pools.Pools[i].Name]
		for _, u := range p.upstreams {
			entry := WarmthReport{Upstream: u.Name, Reporter: c.options.VM}
			if !u.limiter.Warmth.TakeReport(now, warmReportInterval, &entry) {
				continue
			}
			c.sequence++
			entry.Sequence = c.sequence
			report.Warmth = append(report.Warmth, entry)
		}
	}
	return report
}
