package evaluate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	vmCount   = 6
	zoneCount = 3
	deadline  = 3 * time.Second

	workspaceCount = 5

	burstEvery  = 5 * time.Second
	burstLength = 500 * time.Millisecond
	burstFactor = 3
)

// policy selects the gateway under test.
type policy string

const (
	// policyCore is dispatch.Core.
	policyCore policy = "core"
	// policyNoAffinity is dispatch.Core without prefix affinity.
	policyNoAffinity policy = "core, no affinity"
	// policyBaseline is round robin with fixed limits and three blind retries.
	policyBaseline policy = "round robin"
)

// gateway is one VM.
type gateway interface {
	arrive(r *request)
	// apply takes over the cluster's tables.
	apply()
	// ready is what the load balancer's health check sees.
	ready() bool
}

// cluster is a set of VMs in front of the servers of a pipeline.
type cluster struct {
	sim     *simulation
	random  *rand.Rand
	tables  *table.Tables
	vms     []table.VM
	gates   []gateway
	servers map[string]*server
	names   []string
	tally   *tally
	keeper  *keeper
}

// stageModel is the model of one stage's pool.
type stageModel struct {
	pool            string
	servers         int
	cold, warm      int
	warmAfter       int
	base            time.Duration
	reports, cancel bool
}

// models is a pipeline whose last stage limits the capacity to 9 x 16 / 0.6 s = 240/s.
var models = []stageModel{
	{"encoders", 3, 4, 32, 10, 20 * time.Millisecond, false, false},
	{"rerankers", 3, 2, 16, 10, 40 * time.Millisecond, false, false},
	{"engines", 9, 2, 16, 20, 600 * time.Millisecond, true, true},
}

// weights are the shares of the workspaces, which send equally much.
var weights = [workspaceCount]int{4, 3, 2, 1, 1}

const capacityPerSecond = 240

func workspaceName(i int) string { return fmt.Sprint("w", i) }

func zoneName(i int) string { return fmt.Sprint("z", i%zoneCount) }

// buildTables returns the tables with zones out of service.
func buildTables(out []string) *table.Tables {
	routes := &table.Routes{}
	for i, weight := range weights {
		routes.Workspaces = append(routes.Workspaces, table.Workspace{Name: workspaceName(i), Weight: weight})
	}
	pools := &table.Pools{OutOfService: table.OutOfService{Zones: out}}
	route := table.Route{Name: "r", Deadline: deadline, Objective: 0.99}
	for _, m := range models {
		pool := table.Pool{
			Name: m.pool, Capacity: table.Capacity{Cold: m.cold, Warm: m.warm, WarmAfter: m.warmAfter},
			Features: table.Features{ReportsLoad: m.reports, Cancel: m.cancel},
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

func newCluster(seed uint64, p policy, length time.Duration) *cluster {
	sim := newSimulation()
	c := &cluster{
		sim: sim, random: rand.New(rand.NewPCG(seed, 1)), tables: buildTables(nil),
		servers: map[string]*server{}, tally: newTally(len(models), sim.now, length), keeper: newKeeper(sim),
	}
	for i := range c.tables.Pools.Pools {
		pool := &c.tables.Pools.Pools[i]
		for _, entry := range pool.Upstreams {
			c.names = append(c.names, entry.Name)
			c.servers[entry.Name] = &server{
				sim: sim, random: rand.New(rand.NewPCG(seed, uint64(len(c.names)))), pool: pool, entry: entry,
				base: models[i].base, running: map[*call]bool{}, cold: true, speed: 1, loadSince: int64(sim.now),
			}
		}
	}
	for i := range vmCount {
		c.vms = append(c.vms, table.VM{Name: fmt.Sprint("vm-", i), Zone: zoneName(i), State: table.VMLive})
	}
	for i := range c.vms {
		c.gates = append(c.gates, newGateway(c, p, i, seed))
	}
	if p != policyBaseline {
		c.gossip()
	}
	return c
}

func newGateway(c *cluster, p policy, vm int, seed uint64) gateway {
	if p == policyBaseline {
		return newBaselineGate(c, c.vms[vm].Zone)
	}
	return newCoreGate(c, vm, seed, p == policyCore)
}

// setZones takes zones out of service; each VM learns it within 1 to 3 s.
func (c *cluster) setZones(out []string) {
	c.tables = buildTables(out)
	for _, gate := range c.gates {
		c.sim.after(time.Second+time.Duration(c.random.Int64N(int64(2*time.Second))), gate.apply)
	}
}

// receive sends a request to a VM that the load balancer considers ready.
func (c *cluster) receive() {
	c.tally.offered++
	route := c.tables.Route("r")
	r := &request{
		tally: c.tally, route: route, workspace: c.random.IntN(workspaceCount), arrived: c.sim.now,
		deadline: c.sim.now.Add(deadline), work: make([]time.Duration, len(models)),
		prefix: 1 + uint64(c.random.ExpFloat64()*60),
	}
	c.tally.at(c.sim.now).offered++
	ready := c.readyVMs()
	c.gates[ready[c.random.IntN(len(ready))]].arrive(r)
}

func (c *cluster) readyVMs() []int {
	var ready []int
	for i := range c.gates {
		if c.gates[i].ready() {
			ready = append(ready, i)
		}
	}
	return ready
}

// offerFor produces arrivals at the rate for the length of time; bursts triple it for
// half a second every five.
func (c *cluster) offerFor(rate float64, length time.Duration, bursts bool) {
	start := c.sim.now
	end := start.Add(length)
	var next func()
	next = func() {
		current := rate
		if bursts && c.sim.now.Sub(start)%burstEvery < burstLength {
			current = burstFactor * rate
		}
		gap := time.Duration(c.random.ExpFloat64() / current * float64(time.Second))
		if c.sim.now.Add(gap) >= end {
			return
		}
		c.sim.after(gap, func() {
			c.receive()
			next()
		})
	}
	next()
	c.sim.until(end)
}

// warm makes all servers warm; the gateways have to learn it.
func (c *cluster) warm() {
	for _, s := range c.servers {
		s.cold = false
		s.successes = s.pool.Capacity.WarmAfter
	}
}

// sum adds up a figure over the servers of a pool.
func (c *cluster) sum(pool string, figure func(*server) int) int {
	total := 0
	for _, name := range c.names {
		if s := c.servers[name]; s.pool.Name == pool {
			total += figure(s)
		}
	}
	return total
}
