package table

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Diff returns the effects of replacing the old tables by the new ones: changes of routes and
// workspaces first, then of pools and upstreams, then of what is out of service. A nil old or
// new means empty tables.
func Diff(old, new *Tables) []Change {
	empty := NewTables(&Routes{}, &Pools{})
	d := differ{old: old, new: new}
	if d.old == nil {
		d.old = empty
	}
	if d.new == nil {
		d.new = empty
	}
	d.routes()
	d.workspaces()
	d.pools()
	d.upstreams()
	d.zones()
	d.upstreamsInService()
	d.poolsInService()
	return d.changes
}

type differ struct {
	old, new *Tables
	changes  []Change
}

func (d *differ) add(kind ChangeKind, subject, effect string) {
	d.changes = append(d.changes, Change{Kind: kind, Subject: subject, Effect: effect})
}

// compare adds a change if the values differ.
func (d *differ) compare(kind ChangeKind, subject, old, new, effect string) {
	if old != new {
		d.changes = append(d.changes, Change{Kind: kind, Subject: subject, Old: old, New: new, Effect: effect})
	}
}

func (d *differ) routes() {
	for i := range d.old.Routes.Routes {
		route := &d.old.Routes.Routes[i]
		if d.new.Route(route.Name) == nil {
			d.add(RouteRemoved, route.Name, "the route is removed and refuses new requests")
		}
	}
	for i := range d.new.Routes.Routes {
		route := &d.new.Routes.Routes[i]
		previous := d.old.Route(route.Name)
		if previous == nil {
			d.add(RouteAdded, route.Name, fmt.Sprintf("the route is added with %d stages and a deadline of %s", len(route.Stages), route.Deadline))
			continue
		}
		d.route(previous, route)
	}
}

func (d *differ) route(old, new *Route) {
	name := new.Name
	d.compare(RouteDeadlineChanged, name, old.Deadline.String(), new.Deadline.String(), "the deadline changes")
	d.compare(RouteObjectiveChanged, name, formatNumber(old.Objective), formatNumber(new.Objective), "the objective changes")
	d.compare(RouteAnswerChanged, name, string(old.Answer), string(new.Answer), "the answer mode changes")
	d.compare(RouteIdempotencyChanged, name, formatIdempotency(old.Idempotent()), formatIdempotency(new.Idempotent()),
		"the route changes whether its requests may run more than once")
	d.stages(old, new)
}

func (d *differ) stages(old, new *Route) {
	for i := range old.Stages {
		stage := &old.Stages[i]
		if findStage(new, stage.Name) == nil {
			d.add(StageRemoved, new.Name+"/"+stage.Name, "the stage is removed")
		}
	}
	for i := range new.Stages {
		stage := &new.Stages[i]
		subject := new.Name + "/" + stage.Name
		previous := findStage(old, stage.Name)
		if previous == nil {
			d.add(StageAdded, subject, "the stage is added at position "+strconv.Itoa(i+1))
			continue
		}
		d.stage(subject, previous, stage)
	}
	oldOrder, newOrder := commonStageOrder(old, new), commonStageOrder(new, old)
	d.compare(StageOrderChanged, new.Name, oldOrder, newOrder, "the order of the stages changes")
}

func (d *differ) stage(subject string, old, new *Stage) {
	d.compare(StageChanged, subject, strings.Join(old.Pools, ", "), strings.Join(new.Pools, ", "), "the pools of the stage change")
	d.compare(StageChanged, subject, formatIdempotency(old.Idempotent), formatIdempotency(new.Idempotent),
		"the stage changes whether it may be retried and hedged")
	d.compare(StageChanged, subject, string(old.Input), string(new.Input), "the input of the stage changes")
	d.compare(StageChanged, subject, formatTimeout(old), formatTimeout(new), "the timeout of the stage changes")
	d.compare(StageChanged, subject, string(old.Affinity), string(new.Affinity), "the affinity of the stage changes")
}

func (d *differ) workspaces() {
	for i := range d.old.Routes.Workspaces {
		name := d.old.Routes.Workspaces[i].Name
		if d.new.Workspace(name) == nil {
			d.add(WorkspaceRemoved, name, "the workspace is removed and its requests are refused")
		}
	}
	for i := range d.new.Routes.Workspaces {
		workspace := &d.new.Routes.Workspaces[i]
		previous := d.old.Workspace(workspace.Name)
		if previous == nil {
			d.add(WorkspaceAdded, workspace.Name, fmt.Sprintf("the workspace is added with a weight of %d", workspace.Weight))
			continue
		}
		d.compare(WorkspaceWeightChanged, workspace.Name, strconv.Itoa(previous.Weight), strconv.Itoa(workspace.Weight),
			"the weight under contention changes")
		d.compare(WorkspaceLimitChanged, workspace.Name, formatLimit(previous.MaxInFlight), formatLimit(workspace.MaxInFlight),
			"the limit of concurrent requests per VM changes")
	}
}

func (d *differ) pools() {
	for i := range d.old.Pools.Pools {
		name := d.old.Pools.Pools[i].Name
		if d.new.Pool(name) == nil {
			d.add(PoolRemoved, name, "the pool is removed")
		}
	}
	for i := range d.new.Pools.Pools {
		pool := &d.new.Pools.Pools[i]
		previous := d.old.Pool(pool.Name)
		if previous == nil {
			d.add(PoolAdded, pool.Name, fmt.Sprintf("the pool is added with %d upstreams", len(pool.Upstreams)))
			continue
		}
		d.pool(previous, pool)
	}
}

func (d *differ) pool(old, new *Pool) {
	name := new.Name
	d.compare(PoolChanged, name, string(old.Kind), string(new.Kind), "the kind of the pool changes")
	d.compare(PoolChanged, name, old.Path, new.Path, "the HTTP path of stage calls changes")
	d.compare(PoolCapacityChanged, name, strconv.Itoa(old.Capacity.Cold), strconv.Itoa(new.Capacity.Cold),
		"the cold capacity of each upstream changes")
	d.compare(PoolCapacityChanged, name, strconv.Itoa(old.Capacity.Warm), strconv.Itoa(new.Capacity.Warm),
		"the warm capacity of each upstream changes")
	d.compare(PoolCapacityChanged, name, strconv.Itoa(old.Capacity.WarmAfter), strconv.Itoa(new.Capacity.WarmAfter),
		"the number of successes after which an upstream is warm changes")
	d.compare(PoolChanged, name, formatFeatures(old.Features), formatFeatures(new.Features), "the features of the pool change")
	d.compare(PoolChanged, name, formatCost(old.Cost), formatCost(new.Cost), "the cost of work in the pool changes")
	d.compare(PoolModelChanged, name, formatModel(old.Model), formatModel(new.Model),
		"the engines of the pool are ordered to load another model, one at a time")
}

func (d *differ) upstreams() {
	for i := range d.old.Pools.Pools {
		pool := &d.old.Pools.Pools[i]
		for _, upstream := range pool.Upstreams {
			if current, _ := d.new.Upstream(upstream.Name); current == nil {
				d.add(UpstreamRemoved, upstream.Name, "the upstream leaves the pool "+pool.Name+" and receives no new work")
			}
		}
	}
	for i := range d.new.Pools.Pools {
		pool := &d.new.Pools.Pools[i]
		for _, upstream := range pool.Upstreams {
			oldPool, previous := d.old.Upstream(upstream.Name)
			if previous == nil {
				d.add(UpstreamAdded, upstream.Name, d.describeAddedUpstream(pool, &upstream))
				continue
			}
			d.compare(UpstreamMoved, upstream.Name, oldPool.Name, pool.Name, "the upstream moves to another pool")
			d.compare(UpstreamMoved, upstream.Name, previous.Address, upstream.Address, "the upstream moves to another address")
			d.compare(UpstreamMoved, upstream.Name, previous.Zone, upstream.Zone, "the upstream moves to another zone")
		}
	}
}

func (d *differ) describeAddedUpstream(pool *Pool, upstream *Upstream) string {
	state := "is cold at first"
	if d.new.UpstreamOutOfService(upstream) {
		state = "is out of service"
	}
	return fmt.Sprintf("the upstream joins the pool %s in the zone %s and %s", pool.Name, upstream.Zone, state)
}

func (d *differ) zones() {
	for _, zone := range d.new.Pools.OutOfService.Zones {
		if !d.old.ZoneOutOfService(zone) {
			d.add(ZoneTakenOut, zone, "the zone is taken out of service: "+describeZone(d.new, zone)+" receive no new work")
		}
	}
	for _, zone := range d.old.Pools.OutOfService.Zones {
		if !d.new.ZoneOutOfService(zone) {
			d.add(ZoneReturned, zone, "the zone returns to service: "+describeZone(d.new, zone)+" receive work again as they warm up")
		}
	}
}

// upstreamsInService adds a change for each upstream whose own name is added to or removed
// from the out_of_service list. Changes through a zone are covered by zones.
func (d *differ) upstreamsInService() {
	for i := range d.new.Pools.Pools {
		for j := range d.new.Pools.Pools[i].Upstreams {
			upstream := &d.new.Pools.Pools[i].Upstreams[j]
			wasOut, isOut := d.old.upstreamsOutOfService[upstream.Name], d.new.upstreamsOutOfService[upstream.Name]
			switch {
			case isOut && !wasOut:
				d.add(UpstreamTakenOut, upstream.Name, "the upstream is taken out of service and receives no new work")
			case wasOut && !isOut && d.new.zonesOutOfService[upstream.Zone]:
				d.add(UpstreamReturned, upstream.Name, "the upstream is no longer listed, but its zone "+upstream.Zone+" is out of service")
			case wasOut && !isOut:
				d.add(UpstreamReturned, upstream.Name, "the upstream returns to service and receives work again as it warms up")
			}
		}
	}
}

// poolsInService adds a change for each pool that loses its last upstream in service or gets
// one back.
func (d *differ) poolsInService() {
	for i := range d.new.Pools.Pools {
		pool := &d.new.Pools.Pools[i]
		previous := d.old.Pool(pool.Name)
		wasInService := previous == nil || d.old.countInService(previous) > 0
		isInService := d.new.countInService(pool) > 0
		if wasInService && !isInService {
			d.add(PoolOutOfService, pool.Name, "no upstream of the pool is in service, so that its stages refuse all work")
		}
		if isInService && !wasInService {
			d.add(PoolInService, pool.Name, "the pool has an upstream in service again")
		}
	}
}

// countInService returns the number of upstreams of the pool that are in service.
func (t *Tables) countInService(pool *Pool) int {
	n := 0
	for i := range pool.Upstreams {
		if !t.UpstreamOutOfService(&pool.Upstreams[i]) {
			n++
		}
	}
	return n
}

func describeZone(t *Tables, zone string) string {
	upstreams, pools := 0, 0
	for i := range t.Pools.Pools {
		before := upstreams
		for _, upstream := range t.Pools.Pools[i].Upstreams {
			if upstream.Zone == zone {
				upstreams++
			}
		}
		if upstreams > before {
			pools++
		}
	}
	return fmt.Sprintf("its %d upstreams in %d pools", upstreams, pools)
}

func findStage(route *Route, name string) *Stage {
	i := slices.IndexFunc(route.Stages, func(s Stage) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &route.Stages[i]
}

// commonStageOrder lists the stages of route that are also in other, in the order of route.
func commonStageOrder(route, other *Route) string {
	var names []string
	for i := range route.Stages {
		if findStage(other, route.Stages[i].Name) != nil {
			names = append(names, route.Stages[i].Name)
		}
	}
	return strings.Join(names, ", ")
}

func formatIdempotency(idempotent bool) string {
	if idempotent {
		return "idempotent"
	}
	return "not idempotent"
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func formatTimeout(stage *Stage) string {
	if stage.Timeout == 0 {
		return "remaining deadline"
	}
	return stage.Timeout.String()
}

func formatLimit(limit int) string {
	if limit == 0 {
		return "no limit"
	}
	return strconv.Itoa(limit)
}

func formatCost(cost Cost) string {
	if cost.Unit == "" {
		return ""
	}
	return formatNumber(cost.PerUnit) + " per " + string(cost.Unit)
}

func formatModel(model Model) string {
	name := model.Name
	if model.Adapter != "" {
		name += "+" + model.Adapter
	}
	if model.Version != "" {
		name += "@" + model.Version
	}
	return name
}

func formatFeatures(features Features) string {
	var names []string
	for _, feature := range []struct {
		name string
		set  bool
	}{
		{"reports_load", features.ReportsLoad},
		{"fencing", features.Fencing},
		{"priorities", features.Priorities},
		{"cancel", features.Cancel},
		{"resume", features.Resume},
		{"kv_export", features.KVExport},
		{"kv_import", features.KVImport},
		{"echoes_identity", features.EchoesIdentity},
	} {
		if feature.set {
			names = append(names, feature.name)
		}
	}
	return strings.Join(names, ", ")
}
