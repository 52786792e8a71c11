package burn

import (
	"cmp"
	"maps"
	"slices"
)

// Cost is the cost of work, split by whether its result was used. The unit is that of the
// operators' prices.
type Cost struct {
	// Used is the cost of work whose result was part of a response.
	Used float64 `json:"used"`
	// Wasted is the cost of work that was cancelled, late or failed.
	Wasted float64 `json:"wasted"`
	// Unsplit is the cost for which the source does not report whether the work was used.
	Unsplit float64 `json:"unsplit,omitempty"`
}

// Total returns the sum of the used, wasted and unsplit cost.
func (c Cost) Total() float64 { return c.Used + c.Wasted + c.Unsplit }

// WastedShare returns wasted cost as a fraction of used and wasted cost, or 0 if both are 0.
func (c Cost) WastedShare() float64 {
	split := c.Used + c.Wasted
	if split == 0 {
		return 0
	}
	return c.Wasted / split
}

func (c Cost) add(other Cost) Cost {
	return Cost{Used: c.Used + other.Used, Wasted: c.Wasted + other.Wasted, Unsplit: c.Unsplit + other.Unsplit}
}

// StageKey identifies the work of one pool for one stage of a route.
type StageKey struct {
	Route string `json:"route"`
	Stage string `json:"stage"`
	Pool  string `json:"pool"`
}

// StageCost is the cost of one pool's work for a stage.
type StageCost struct {
	StageKey
	Cost
}

// RouteCost is the cost of all stages of a route.
type RouteCost struct {
	Route string `json:"route"`
	Cost
}

// WorkspaceKey identifies the requests of a workspace to one route.
type WorkspaceKey struct {
	Workspace string `json:"workspace"`
	Route     string `json:"route"`
}

// WorkspaceCost is the cost of a workspace's requests to a route.
type WorkspaceCost struct {
	WorkspaceKey
	Cost
}

// CostReport lists costs in descending order.
type CostReport struct {
	Total      Cost            `json:"total"`
	Stages     []StageCost     `json:"stages"`
	Routes     []RouteCost     `json:"routes"`
	Workspaces []WorkspaceCost `json:"workspaces"`
}

// CostAggregator sums costs by stage and by workspace.
type CostAggregator struct {
	stages     map[StageKey]Cost
	workspaces map[WorkspaceKey]Cost
}

// NewCostAggregator returns an empty aggregator.
func NewCostAggregator() *CostAggregator {
	return &CostAggregator{stages: map[StageKey]Cost{}, workspaces: map[WorkspaceKey]Cost{}}
}

// AddStage adds the cost of a pool's work for a stage.
func (c *CostAggregator) AddStage(key StageKey, cost Cost) {
	c.stages[key] = c.stages[key].add(cost)
}

// AddWorkspace adds the cost of a workspace's requests to a route.
func (c *CostAggregator) AddWorkspace(key WorkspaceKey, cost Cost) {
	c.workspaces[key] = c.workspaces[key].add(cost)
}

// Report returns the costs by stage, route and workspace. The total is the
// sum over the stages.
func (c *CostAggregator) Report() CostReport {
	var report CostReport
	// Floating-point sums depend on the order of addition, so the order is fixed.
	keys := slices.SortedFunc(maps.Keys(c.stages), func(a, b StageKey) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Pool, b.Pool))
	})
	for _, key := range keys {
		cost := c.stages[key]
		report.Total = report.Total.add(cost)
		report.Stages = append(report.Stages, StageCost{key, cost})
		if n := len(report.Routes); n == 0 || report.Routes[n-1].Route != key.Route {
			report.Routes = append(report.Routes, RouteCost{Route: key.Route})
		}
		route := &report.Routes[len(report.Routes)-1]
		route.Cost = route.add(cost)
	}
	workspaces := slices.SortedFunc(maps.Keys(c.workspaces), func(a, b WorkspaceKey) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Route, b.Route))
	})
	for _, key := range workspaces {
		report.Workspaces = append(report.Workspaces, WorkspaceCost{key, c.workspaces[key]})
	}
	slices.SortStableFunc(report.Stages, func(a, b StageCost) int { return cmp.Compare(b.Total(), a.Total()) })
	slices.SortStableFunc(report.Routes, func(a, b RouteCost) int { return cmp.Compare(b.Total(), a.Total()) })
	slices.SortStableFunc(report.Workspaces, func(a, b WorkspaceCost) int { return cmp.Compare(b.Total(), a.Total()) })
	return report
}

// Merge adds all costs of another aggregator.
func (c *CostAggregator) Merge(other *CostAggregator) {
	for key, cost := range other.stages {
		c.AddStage(key, cost)
	}
	for key, cost := range other.workspaces {
		c.AddWorkspace(key, cost)
	}
}
