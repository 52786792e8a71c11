package evaluate

import (
	"fmt"
	"io"
	"time"
)

const (
	runLength = 60 * time.Second
	// warmUpTime is how long gateways run before the measurement, so that they detect that
	// all upstreams are warm.
	warmUpTime = 20 * time.Second
	enginePool = "engines"
)

var policies = []policy{policyBaseline, policyCore}

// Run runs all scenarios and writes the results as Markdown tables.
func Run(out io.Writer, seed uint64) {
	runLoad(out, seed)
	runColdStart(out, seed)
	runFailingPool(out, seed)
	runZoneOutage(out, seed)
	runAffinity(out, seed)
}

// newWarmCluster returns a cluster after a warm-up at a steady rate, with counters reset.
func newWarmCluster(seed uint64, p policy, rate float64, duration time.Duration) *cluster {
	c := newCluster(seed, p, duration)
	c.warmUpServers()
	c.generateLoad(min(rate, capacityPerSecond/2), warmUpTime, false)
	c.sim.runUntil(c.sim.now.Add(requestDeadline))
	for _, s := range c.servers {
		s.updateLoad()
		s.starts, s.overLimitStarts, s.prefixHits, s.peakConcurrency, s.loadIntegral = 0, 0, 0, 0, 0
	}
	c.stats = newRunStats(len(stageModels), c.sim.now, duration)
	return c
}

func runLoad(out io.Writer, seed uint64) {
	fmt.Fprintf(out, "## Load with bursts\n\nCapacity %d requests/s; bursts of three times the rate for 0.5 s every 5 s (mean 1.2 times the rate).\n\n", capacityPerSecond)
	fmt.Fprintln(out, "| policy | load | offered | on time | on time/s | refused at the door | refused between stages | late | failed | mean answer | wasted work |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, factor := range []float64{0.5, 0.9, 1.2, 2} {
		for _, p := range policies {
			c := newWarmCluster(seed, p, factor*capacityPerSecond, runLength)
			c.generateLoad(factor*capacityPerSecond, runLength, true)
			c.sim.runUntil(c.sim.now.Add(requestDeadline))
			stats := c.stats
			mean := time.Duration(0)
			if stats.results[answered] > 0 {
				mean = stats.totalLatency / time.Duration(stats.results[answered])
			}
			fmt.Fprintf(out, "| %s | %.1f | %d | %.1f%% | %.0f | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %v | %.1f%% |\n",
				p, factor, stats.offered, 100*stats.attainment(), float64(stats.results[answered])/runLength.Seconds(),
				100*ratio(stats.results[refusedAtAdmission], stats.offered), 100*ratio(stats.results[refusedBetweenStages], stats.offered),
				100*ratio(stats.results[late], stats.offered), 100*ratio(stats.results[failed], stats.offered),
				mean.Round(time.Millisecond), 100*stats.wastedShare())
			switch factor {
			case 1.2:
				defer writeWorkTable(out, p, stats)
			case 2:
				defer writeWorkspaceTable(out, p, stats)
			}
		}
	}
}

// writeWorkspaceTable writes the requests offered and answered on time by workspace.
func writeWorkspaceTable(out io.Writer, p policy, stats *runStats) {
	fmt.Fprintf(out, "\n### Workspaces at 2.0 times capacity, %s\n\n| workspace | weight | offered | on time |\n|---|---|---|---|\n", p)
	for i, w := range stats.perWorkspace {
		fmt.Fprintf(out, "| %s | %d | %d | %.1f%% |\n", workspaceName(i), workspaceWeights[i], w.offered, 100*ratio(w.answered, w.offered))
	}
}

// writeWorkTable writes the work per request on time and the wasted share by stage.
func writeWorkTable(out io.Writer, p policy, stats *runStats) {
	fmt.Fprintf(out, "\n### Work by stage at 1.2 times capacity, %s\n\n| stage | work per request on time | of it wasted |\n|---|---|---|\n", p)
	for i, m := range stageModels {
		fmt.Fprintf(out, "| %s | %v | %.1f%% |\n", m.pool,
			(stats.work[i] / time.Duration(max(stats.results[answered], 1))).Round(100*time.Microsecond),
			100*float64(stats.wasted[i])/float64(max(stats.work[i], 1)))
	}
}

func (s *runStats) wastedShare() float64 {
	work, wasted := time.Duration(0), time.Duration(0)
	for i := range s.work {
		work += s.work[i]
		wasted += s.wasted[i]
	}
	return float64(wasted) / float64(max(work, 1))
}

func runColdStart(out io.Writer, seed uint64) {
	fmt.Fprint(out, "\n## Cold start\n\nAll upstreams cold at the start, 0.5 times capacity; an engine is replaced by a cold process after 30 s without a sign.\n\n")
	fmt.Fprintln(out, "| policy | starts over the cold limit, first 30 s | after the sudden change | on time, first 10 s | 10 to 30 s | 30 to 60 s | failed |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, p := range policies {
		c := newCluster(seed, p, runLength)
		c.generateLoad(0.5*capacityPerSecond, 30*time.Second, false)
		before := c.overLimitStarts()
		c.servers["engines-0"].restart()
		c.generateLoad(0.5*capacityPerSecond, 30*time.Second, false)
		c.sim.runUntil(c.sim.now.Add(requestDeadline))
		stats := c.stats
		fmt.Fprintf(out, "| %s | %d | %d | %.1f%% | %.1f%% | %.1f%% | %.1f%% |\n", p, before, c.overLimitStarts()-before,
			100*stats.attainmentBetween(0, 10), 100*stats.attainmentBetween(10, 30), 100*stats.attainmentBetween(30, 60), 100*ratio(stats.results[failed], stats.offered))
	}
}

func runFailingPool(out io.Writer, seed uint64) {
	fmt.Fprint(out, "\n## Failing pool\n\nEngines fail a share of attempts for 60 s at 0.7 times capacity.\n\n")
	fmt.Fprintln(out, "| policy | failing | engine starts per request that reached the stage | on time | failed | refused |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, rate := range []float64{0.05, 0.5, 1} {
		for _, p := range policies {
			c := newWarmCluster(seed, p, 0.7*capacityPerSecond, runLength)
			for _, s := range c.servers {
				if s.pool.Name == enginePool {
					s.failureRate = rate
				}
			}
			c.generateLoad(0.7*capacityPerSecond, runLength, false)
			c.sim.runUntil(c.sim.now.Add(requestDeadline))
			stats := c.stats
			starts := c.sumServers(enginePool, func(s *server) int { return s.starts })
			fmt.Fprintf(out, "| %s | %.0f%% | %.2f | %.1f%% | %.1f%% | %.1f%% |\n", p, 100*rate,
				float64(starts)/float64(max(stats.reachedStage[len(stageModels)-1], 1)), 100*stats.attainment(),
				100*ratio(stats.results[failed], stats.offered), 100*ratio(stats.results[refusedAtAdmission]+stats.results[refusedBetweenStages], stats.offered))
		}
	}
}

func runZoneOutage(out io.Writer, seed uint64) {
	fmt.Fprint(out, "\n## A zone leaves and returns\n\n0.6 times capacity. Zone z2 is taken out of service at 10 s, its upstreams stop at 20 s and return as cold processes at 30 s, in service again from 35 s.\n\n")
	const duration = 80 * time.Second
	stats := make([]*runStats, len(policies))
	for i, p := range policies {
		c := newWarmCluster(seed, p, 0.6*capacityPerSecond, duration)
		stats[i] = c.stats
		c.scheduleZoneOutage()
		c.sim.scheduleEvery(time.Second, func() { stats[i].countsAt(c.sim.now - 1).readyVMs = len(c.readyVMs()) })
		c.generateLoad(0.6*capacityPerSecond, duration, false)
		c.sim.runUntil(c.sim.now.Add(requestDeadline))
		fmt.Fprintf(out, "%s: %.2f%% on time, %d errors, %d starts over the cold limit.\n\n", p,
			100*c.stats.attainment(), c.stats.offered-c.stats.results[answered], c.overLimitStarts())
	}
	fmt.Fprint(out, "| second |")
	for _, p := range policies {
		fmt.Fprintf(out, " %s: on time | errors | VMs ready |", p)
	}
	fmt.Fprint(out, "\n|---|---|---|---|---|---|---|\n")
	for s := 9; s < 75; s++ {
		fmt.Fprintf(out, "| %d |", s)
		for i := range policies {
			counts := stats[i].perSecond[s]
			fmt.Fprintf(out, " %.0f%% | %d | %d |", 100*ratio(counts.answered, counts.offered), counts.errors, counts.readyVMs)
		}
		fmt.Fprintln(out)
	}
}

func (c *cluster) scheduleZoneOutage() {
	forOutageZone := func(change func(*server)) func() {
		return func() {
			for _, name := range c.serverNames {
				if s := c.servers[name]; s.entry.Zone == "z2" {
					change(s)
				}
			}
		}
	}
	c.sim.schedule(10*time.Second, func() { c.setZonesOutOfService([]string{"z2"}) })
	c.sim.schedule(20*time.Second, forOutageZone((*server).crash))
	c.sim.schedule(30*time.Second, forOutageZone(func(s *server) { s.down = false }))
	c.sim.schedule(35*time.Second, func() { c.setZonesOutOfService(nil) })
}

func runAffinity(out io.Writer, seed uint64) {
	fmt.Fprint(out, "\n## Affinity against load\n\nEngines keep 40 prefixes; a cached prefix shortens service to 0.6. Prefixes are exponentially distributed with mean 60.\n\n")
	fmt.Fprintln(out, "| policy | load | cached | busiest engine over mean load | on time | mean answer |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, factor := range []float64{0.5, 0.9, 1.2} {
		for _, p := range []policy{policyBaseline, policyNoAffinity, policyCore} {
			c := newWarmCluster(seed, p, factor*capacityPerSecond, runLength)
			c.generateLoad(factor*capacityPerSecond, runLength, false)
			c.sim.runUntil(c.sim.now.Add(requestDeadline))
			starts := c.sumServers(enginePool, func(s *server) int { return s.starts })
			hits := c.sumServers(enginePool, func(s *server) int { return s.prefixHits })
			busiest, total := c.engineLoads()
			mean := c.stats.totalLatency / time.Duration(max(c.stats.results[answered], 1))
			fmt.Fprintf(out, "| %s | %.1f | %.1f%% | %.2f | %.1f%% | %v |\n", p, factor, 100*ratio(hits, starts),
				busiest*9/total, 100*c.stats.attainment(), mean.Round(time.Millisecond))
		}
	}
}

// engineLoads returns the highest load integral of an engine and the total of all engines.
func (c *cluster) engineLoads() (busiest, total float64) {
	for _, name := range c.serverNames {
		if s := c.servers[name]; s.pool.Name == enginePool {
			s.updateLoad()
			busiest = max(busiest, s.loadIntegral)
			total += s.loadIntegral
		}
	}
	return busiest, total
}

func (c *cluster) overLimitStarts() int {
	total := 0
	for _, s := range c.servers {
		total += s.overLimitStarts
	}
	return total
}

// attainmentBetween returns the share of requests answered on time among those that arrived
// in seconds [from, to).
func (s *runStats) attainmentBetween(from, to int) float64 {
	offered, onTime := 0, 0
	for _, counts := range s.perSecond[from:min(to, len(s.perSecond))] {
		offered += counts.offered
		onTime += counts.answered
	}
	return ratio(onTime, offered)
}
