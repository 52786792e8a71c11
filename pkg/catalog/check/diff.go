package check

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// ChangeKind classifies a Change.
type ChangeKind string

// Kinds of change.
const (
	VersionChanged   ChangeKind = "version_changed"
	RouteAdded       ChangeKind = "route_added"
	RouteRemoved     ChangeKind = "route_removed"
	RouteChanged     ChangeKind = "route_changed"
	PoolAdded        ChangeKind = "pool_added"
	PoolRemoved      ChangeKind = "pool_removed"
	PoolChanged      ChangeKind = "pool_changed"
	WorkspaceAdded   ChangeKind = "workspace_added"
	WorkspaceRemoved ChangeKind = "workspace_removed"
	WorkspaceChanged ChangeKind = "workspace_changed"
	KeysChanged      ChangeKind = "keys_changed"
	LimitsChanged    ChangeKind = "limits_changed"
)

// Change is one difference between two configurations. It never contains a key of a workspace.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Subject is the name of the route, pool or workspace, or "configuration".
	Subject string `json:"subject"`
	Effect  string `json:"effect"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// wholeConfiguration is the subject of changes that concern no single entry.
const wholeConfiguration = "configuration"

// Compare returns the differences in the order of version, routes, pools, workspaces and limits. Of
// entries that share a name, the last one counts.
func Compare(old, new *catalog.Catalog) []Change {
	d := differ{}
	d.compare(VersionChanged, wholeConfiguration, "the version changes", strconv.FormatInt(old.Version, 10), strconv.FormatInt(new.Version, 10))
	d.routes(byName(old.Routes, routeName), byName(new.Routes, routeName))
	d.pools(old.Pools, new.Pools)
	d.compare(WorkspaceChanged, wholeConfiguration, "whether keys are needed changes", strconv.FormatBool(old.KeysRequired), strconv.FormatBool(new.KeysRequired))
	d.workspaces(byName(old.Workspaces, workspaceName), byName(new.Workspaces, workspaceName))
	d.compare(LimitsChanged, wholeConfiguration, "the limit of the bytes of a header changes", fmt.Sprint(old.Limits.HeaderBytes), fmt.Sprint(new.Limits.HeaderBytes))
	d.compare(LimitsChanged, wholeConfiguration, "the limit of the bytes of a body changes", fmt.Sprint(old.Limits.BodyBytes), fmt.Sprint(new.Limits.BodyBytes))
	d.compare(LimitsChanged, wholeConfiguration, "the timeout of a header changes", old.Limits.HeaderTimeout.String(), new.Limits.HeaderTimeout.String())
	d.compare(LimitsChanged, wholeConfiguration, "the timeout of an idle connection changes", old.Limits.IdleTimeout.String(), new.Limits.IdleTimeout.String())
	return d.changes
}

type differ struct{ changes []Change }

func routeName(r *catalog.Route) string         { return r.Name }
func workspaceName(w *catalog.Workspace) string { return w.Name }

func byName[T any](entries []T, name func(*T) string) map[string]*T {
	out := map[string]*T{}
	for i := range entries {
		out[name(&entries[i])] = &entries[i]
	}
	return out
}

func (d *differ) add(kind ChangeKind, subject, effect string) {
	d.changes = append(d.changes, Change{Kind: kind, Subject: subject, Effect: effect})
}

// compare adds a change if the values differ.
func (d *differ) compare(kind ChangeKind, subject, effect, old, new string) {
	if old != new {
		d.changes = append(d.changes, Change{Kind: kind, Subject: subject, Effect: effect, Old: old, New: new})
	}
}

// eachName calls removed, added and both for the names of both maps: removed ones first, then the
// others in order.
func eachName[T any](old, new map[string]*T, removed func(string), added, both func(string, *T, *T)) {
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if new[name] == nil {
			removed(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(new)) {
		if old[name] == nil {
			added(name, nil, new[name])
		} else {
			both(name, old[name], new[name])
		}
	}
}

func (d *differ) routes(old, new map[string]*catalog.Route) {
	eachName(old, new,
		func(name string) { d.add(RouteRemoved, name, "the route is removed") },
		func(name string, _, r *catalog.Route) {
			d.add(RouteAdded, name, fmt.Sprintf("the route is added for %s%s with %d stages", r.Host, r.Prefix, len(r.Stages)))
		},
		d.route)
}

func (d *differ) route(name string, a, b *catalog.Route) {
	kinds := map[catalog.RequestKind]string{catalog.Idempotent: "idempotent", catalog.NonIdempotent: "not idempotent", catalog.Stream: "stream"}
	for _, c := range []struct{ effect, old, new string }{
		{"the host and prefix change", a.Host + a.Prefix, b.Host + b.Prefix},
		{"the kind changes", kinds[a.Kind], kinds[b.Kind]},
		{"the timeout changes", a.Timeout.String(), b.Timeout.String()},
		{"the objective changes", a.Objective.String(), b.Objective.String()},
		{"the objective for pauses changes", a.EventGapObjective.String(), b.EventGapObjective.String()},
		{"the priority changes", strconv.Itoa(a.Priority), strconv.Itoa(b.Priority)},
		{"the number of upstreams that a request may be sent to changes", strconv.Itoa(a.MaxUpstreams), strconv.Itoa(b.MaxUpstreams)},
		{"the pools change", splitText(a.Split), splitText(b.Split)},
		{"the stages change", stagesText(a.Stages), stagesText(b.Stages)},
		{"whether callers need no key changes", strconv.FormatBool(a.Anonymous), strconv.FormatBool(b.Anonymous)},
		{"whether prompts have cached parts changes", strconv.FormatBool(a.HasPromptPrefixes), strconv.FormatBool(b.HasPromptPrefixes)},
		{"whether streams resume changes", strconv.FormatBool(a.Resumable), strconv.FormatBool(b.Resumable)},
	} {
		d.compare(RouteChanged, name, c.effect, c.old, c.new)
	}
}

func splitText(split []catalog.WeightedPool) string {
	parts := make([]string, len(split))
	for i, share := range split {
		parts[i] = fmt.Sprintf("%s:%v", share.Pool, share.Weight)
	}
	return strings.Join(parts, " ")
}

func stagesText(stages []catalog.Stage) string {
	parts := make([]string, len(stages))
	for i, stage := range stages {
		parts[i] = fmt.Sprintf("%s%v:%d", stage.Pool, stage.DependsOn, stage.ResultBytes)
	}
	return strings.Join(parts, " ")
}

func (d *differ) pools(old, new map[string]*catalog.Pool) {
	eachName(old, new,
		func(name string) { d.add(PoolRemoved, name, "the pool is removed") },
		func(name string, _, _ *catalog.Pool) { d.add(PoolAdded, name, "the pool is added") },
		func(name string, a, b *catalog.Pool) {
			d.compare(PoolChanged, name, "the path of health checks changes", a.HealthPath, b.HealthPath)
			d.compare(PoolChanged, name, "the limit of connections changes", fmt.Sprint(a.MaxConnections), fmt.Sprint(b.MaxConnections))
			d.compare(PoolChanged, name, "the time of a cold start changes", a.ColdStartTime.String(), b.ColdStartTime.String())
			d.compare(PoolChanged, name, "the rate during a cold start changes", fmt.Sprint(a.ColdRequestsPerSecond), fmt.Sprint(b.ColdRequestsPerSecond))
			d.compare(PoolChanged, name, "the limits for batches change", batchText(a.Batch), batchText(b.Batch))
			d.compare(PoolChanged, name, "the limits of engines change", engineText(a.Engine), engineText(b.Engine))
		})
}

func batchText(b *catalog.Batch) string {
	if b == nil {
		return "none"
	}
	return fmt.Sprintf("calls %d, queue %d, pieces %d, call %s, piece %s, memory %d, kept %s",
		b.Concurrency, b.QueueLimit, b.MaxPieces, b.CallTime, b.PieceTime, b.ResultMemoryBytes, b.ResultTTL)
}

func engineText(e *catalog.Engine) string {
	if e == nil {
		return "none"
	}
	return fmt.Sprintf("requests %d, tokens %d, bytes/token %v, bytes/s %v", e.Concurrency, e.CacheTokens, e.CacheBytesPerToken, e.LinkBytesPerSecond)
}

func (d *differ) workspaces(old, new map[string]*catalog.Workspace) {
	eachName(old, new,
		func(name string) {
			d.add(WorkspaceRemoved, name, fmt.Sprintf("the workspace is removed with %d keys", len(old[name].Keys)))
		},
		func(name string, _, w *catalog.Workspace) {
			d.add(WorkspaceAdded, name, fmt.Sprintf("the workspace is added with %d keys", len(w.Keys)))
		},
		func(name string, a, b *catalog.Workspace) {
			d.compare(WorkspaceChanged, name, "the priority changes", priorityText(a), priorityText(b))
			added, removed := countMissing(b.Keys, a.Keys), countMissing(a.Keys, b.Keys)
			if added+removed > 0 {
				d.changes = append(d.changes, Change{
					Kind: KeysChanged, Subject: name, Effect: fmt.Sprintf("%d keys are added and %d removed", added, removed),
					Old: fmt.Sprintf("%d keys", len(a.Keys)), New: fmt.Sprintf("%d keys", len(b.Keys)),
				})
			}
		})
}

func priorityText(w *catalog.Workspace) string {
	if !w.HasPriority {
		return "that of the route"
	}
	return strconv.Itoa(w.Priority)
}

// countMissing returns how many distinct keys are not among the others.
func countMissing(keys, others []string) int {
	known, n := map[string]bool{}, 0
	for _, key := range others {
		known[key] = true
	}
	for _, key := range keys {
		if !known[key] {
			known[key] = true
			n++
		}
	}
	return n
}
