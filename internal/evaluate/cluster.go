package evaluate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	vmCount         = 6
	zoneCount       = 3
	requestDeadline = 3 * time.Second

	workspaceCount = 5

	burstInterval = 5 * time.Second
	burstLength   = 500 * time.Millisecond
	burstFactor   = 3
)

// policy selects the gateway under test.
type policy string

const (
	// policyCore uses dispatch.Core.
	policyCore policy = "core"
	// policyNoAffinity uses dispatch.Core without prefix affinity.
	policyNoAffinity policy = "core, no affinity"
	// policyBaseline uses a baselineGateway.
	policyBaseline policy = "round robin"
)

// gateway simulates the gateway of one VM.
type gateway interface {
	handle(r *request)
	// applyTables makes the cluster's current tables effective.
	applyTables()
	// ready is the result of the load balancer's health check.
	ready() bool
}

// cluster simulates VMs with gateways and the upstreams that they call.
type cluster struct {
	sim         *simulation
	random      *rand.Rand
	tables      *table.Tables
	vms         []table.VM
	gateways    []gateway
	servers     map[string]*server
	serverNames []string
	stats       *runStats
	leaseKeeper *leaseKeeper
}

// stageModel describes the pool of one stage.
type stageModel struct {
	pool                        string
	servers                     int
	cold, warm                  int
	warmAfter                   int
	serviceTime                 time.Duration
	reportsLoad, supportsCancel bool
}

// stageModels is a pipeline whose last stage limits the capacity to 9 x 16 / 0.6 s = 240/s,
// which is capacityPerSecond.
var stageModels = []stageModel{
	{"encoders", 3, 4, 32, 10, 20 * time.Millisecond, false, false},
	{"rerankers", 3, 2, 16, 10, 40 * time.Millisecond, false, false},
	{"engines", 9, 2, 16, 20, 600 * time.Millisecond, true, true},
}

// workspaceWeights are the weights of the workspaces, all of which send at the same rate.
var workspaceWeights = [workspaceCount]int{4, 3, 2, 1, 1}

const capacityPerSecond = 240

func workspaceName(i int) string { return fmt.Sprint("w", i) }

func zoneName(i int) string { return fmt.Sprint("z", i%zoneCount) }

// buildTables returns the tables, with the given zones out of service.
func buildTables(outOfService []string) *table.Tables {
	routes := &table.Routes{}
	for i, weight := range workspaceWeights {
		routes.Workspaces = append(routes.Workspaces, table.Workspace{Name: workspaceName(i), Weight: weight})
	}
	pools := &table.Pools{OutOfService: table.OutOfService{Zones: outOfService}}
	route := table.Route{Name: "r", Deadline: requestDeadline, Objective: 0.99}
	for _, m := range stageModels {
		pool := table.Pool{
			Name: m.pool, Capacity: table.Capacity{Cold: m.cold, Warm: m.warm, WarmAfter: m.warmAfter},
			Features: table.Features{ReportsLoad: m.reportsLoad, Cancel: m.supportsCancel},
		}
		for i := range m.servers {
			pool.Upstreams = append(pool.Upstreams, table.Upstream{Name: fmt.Sprint(m.pool, "-", i), Zone: zoneName(i)})
		}
		pools.Pools = append(pools.Pools, pool)
		route.Stages = append(route.Stages, table.Stage{Name: m.pool, Pools: []string{m.pool}, Idempotent: true})
	}
	routes.Routes = []table.Route{route}
	return table.NewTables(routes, pools)
}

func newCluster(seed uint64, p policy, duration time.Duration) *cluster {
	sim := newSimulation()
	c := &cluster{
		sim: sim, random: rand.New(rand.NewPCG(seed, 1)), tables: buildTables(nil),
		servers: map[string]*server{}, stats: newRunStats(len(stageModels), sim.now, duration), leaseKeeper: newLeaseKeeper(sim),
	}
	for i := range c.tables.Pools.Pools {
		pool := &c.tables.Pools.Pools[i]
		for _, entry := range pool.Upstreams {
			c.serverNames = append(c.serverNames, entry.Name)
			c.servers[entry.Name] = &server{
				sim: sim, random: rand.New(rand.NewPCG(seed, uint64(len(c.serverNames)))), pool: pool, entry: entry,
				serviceTime: stageModels[i].serviceTime, running: map[*call]bool{}, cold: true, serviceScale: 1, loadUpdated: int64(sim.now),
			}
		}
	}
	for i := range vmCount {
		c.vms = append(c.vms, table.VM{Name: fmt.Sprint("vm-", i), Zone: zoneName(i), State: table.VMLive})
	}
	for i := range c.vms {
		c.gateways = append(c.gateways, newGateway(c, p, i, seed))
	}
	if p != policyBaseline {
		c.startGossip()
	}
	return c
}

func newGateway(c *cluster, p policy, vm int, seed uint64) gateway {
	if p == policyBaseline {
		return newBaselineGateway(c, c.vms[vm].Zone)
	}
	return newCoreGateway(c, vm, seed, p == policyCore)
}

// setZonesOutOfService replaces the set of zones that are out of service. Each VM receives
// the change after 1 to 3 s.
func (c *cluster) setZonesOutOfService(outOfService []string) {
	c.tables = buildTables(outOfService)
	for _, gw := range c.gateways {
		c.sim.schedule(time.Second+time.Duration(c.random.Int64N(int64(2*time.Second))), gw.applyTables)
	}
}

// sendRequest sends a request to a random VM among those that pass the health check.
func (c *cluster) sendRequest() {
	c.stats.offered++
	route := c.tables.Route("r")
	r := &request{
		stats: c.stats, route: route, workspace: c.random.IntN(workspaceCount), arrived: c.sim.now,
		deadline: c.sim.now.Add(requestDeadline), work: make([]time.Duration, len(stageModels)),
		prefix: 1 + uint64(c.random.ExpFloat64()*60),
	}
	c.stats.countsAt(c.sim.now).offered++
	ready := c.readyVMs()
	c.gateways[ready[c.random.IntN(len(ready))]].handle(r)
}

func (c *cluster) readyVMs() []int {
	var ready []int
	for i := range c.gateways {
		if c.gateways[i].ready() {
			ready = append(ready, i)
		}
	}
	return ready
}

// generateLoad generates Poisson arrivals at a rate for a duration and runs the simulation
// to the end of it. Bursts multiply the rate by burstFactor.
func (c *cluster) generateLoad(rate float64, duration time.Duration, bursts bool) {
	start := c.sim.now
	end := start.Add(duration)
	var scheduleNext func()
	scheduleNext = func() {
		currentRate := rate
		if bursts && c.sim.now.Sub(start)%burstInterval < burstLength {
			currentRate = burstFactor * rate
		}
		gap := time.Duration(c.random.ExpFloat64() / currentRate * float64(time.Second))
		if c.sim.now.Add(gap) >= end {
			return
		}
		c.sim.schedule(gap, func() {
			c.sendRequest()
			scheduleNext()
		})
	}
	scheduleNext()
	c.sim.runUntil(end)
}

// warmUpServers makes all servers warm. The gateways still have to detect it.
func (c *cluster) warmUpServers() {
	for _, s := range c.servers {
		s.cold = false
		s.successes = s.pool.Capacity.WarmAfter
	}
}

// sumServers sums a counter over the servers of a pool.
func (c *cluster) sumServers(pool string, count func(*server) int) int {
	total := 0
	for _, name := range c.serverNames {
		if s := c.servers[name]; s.pool.Name == pool {
			total += count(s)
		}
	}
	return total
}
