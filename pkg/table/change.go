package table

import "fmt"

// ChangeKind classifies a Change.
type ChangeKind string

// Kinds of change.
const (
	RouteAdded              ChangeKind = "route_added"
	RouteRemoved            ChangeKind = "route_removed"
	RouteDeadlineChanged    ChangeKind = "route_deadline_changed"
	RouteObjectiveChanged   ChangeKind = "route_objective_changed"
	RouteAnswerChanged      ChangeKind = "route_answer_changed"
	RouteIdempotencyChanged ChangeKind = "route_idempotency_changed"

	StageAdded        ChangeKind = "stage_added"
	StageRemoved      ChangeKind = "stage_removed"
	StageOrderChanged ChangeKind = "stage_order_changed"
	StageChanged      ChangeKind = "stage_changed"

	WorkspaceAdded         ChangeKind = "workspace_added"
	WorkspaceRemoved       ChangeKind = "workspace_removed"
	WorkspaceWeightChanged ChangeKind = "workspace_weight_changed"
	WorkspaceLimitChanged  ChangeKind = "workspace_limit_changed"

	PoolAdded           ChangeKind = "pool_added"
	PoolRemoved         ChangeKind = "pool_removed"
	PoolChanged         ChangeKind = "pool_changed"
	PoolCapacityChanged ChangeKind = "pool_capacity_changed"
	PoolModelChanged    ChangeKind = "pool_model_changed"
	// PoolOutOfService means that the pool no longer has an upstream in service.
	PoolOutOfService ChangeKind = "pool_out_of_service"
	// PoolInService means that the pool has an upstream in service again.
	PoolInService ChangeKind = "pool_in_service"

	UpstreamAdded    ChangeKind = "upstream_added"
	UpstreamRemoved  ChangeKind = "upstream_removed"
	UpstreamMoved    ChangeKind = "upstream_moved"
	UpstreamTakenOut ChangeKind = "upstream_taken_out"
	UpstreamReturned ChangeKind = "upstream_returned"

	ZoneTakenOut ChangeKind = "zone_taken_out"
	ZoneReturned ChangeKind = "zone_returned"
)

// Change is one effect of replacing the old tables by the new ones.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Subject names what changes: a route, route/stage, workspace, pool, upstream or zone.
	Subject string `json:"subject"`
	// Old and New are the values before and after the change, if it has any.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Effect describes in one sentence what the change does.
	Effect string `json:"effect"`
}

// String returns the change as one line.
func (c Change) String() string {
	if c.Old == "" && c.New == "" {
		return fmt.Sprintf("%s: %s", c.Subject, c.Effect)
	}
	return fmt.Sprintf("%s: %s (%s -> %s)", c.Subject, c.Effect, orNone(c.Old), orNone(c.New))
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
