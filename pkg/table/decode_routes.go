package table

// Defaults of the routes table.
const (
	// DefaultWeight is the default weight of a workspace.
	DefaultWeight = 1
	// DefaultAnswer is the default answer mode of a route.
	DefaultAnswer = AnswerWhole
	// DefaultInput is the default input of a stage.
	DefaultInput = InputPrevious
	// DefaultAffinity is the default affinity of a stage.
	DefaultAffinity = AffinityNone
)

// Descriptions of accepted values in the routes table.
const (
	expectedRoutes     = "a mapping with workspaces and routes"
	expectedRouteList  = "a list of routes"
	expectedObjective  = "a number between 0 and 1, such as 0.99"
	expectedStageList  = "a list with one stage or more"
	expectedStagePools = "a list with one pool name or more"
)

// routesDecoder decodes one routes table.
type routesDecoder struct {
	*decoder
	table Routes
	// poolReferences are the references to pools in stages.
	poolReferences []reference
}

// decode reports whether the value is a YAML document. It adds validation errors to the
// collector.
func (d *routesDecoder) decode(data []byte) bool {
	root, ok := d.parse(data)
	if !ok {
		return false
	}
	workspaces := newNamespace("workspace name", "a name that is unique in the table")
	routes := newNamespace("route name", "a name that is unique in the table")
	d.mapping(root, expectedRoutes,
		field{name: "workspaces", decode: func(e element) {
			d.list(e, "a list of workspaces", func(_ int, e element) {
				d.table.Workspaces = append(d.table.Workspaces, d.workspace(e, workspaces))
			})
		}},
		field{name: "routes", requiredForm: expectedRouteList, decode: func(e element) {
			d.list(e, expectedRouteList, func(_ int, e element) {
				d.table.Routes = append(d.table.Routes, d.route(e, routes))
			})
		}},
	)
	return true
}

func (d *routesDecoder) workspace(e element, names *namespace) Workspace {
	w := Workspace{Weight: DefaultWeight}
	d.mapping(e, "a mapping with name, weight and max_in_flight",
		field{"name", expectedName, func(e element) { d.defineName(e, &w.Name, names) }},
		field{"weight", "", func(e element) { d.count(e, &w.Weight, 1) }},
		field{"max_in_flight", "", func(e element) { d.count(e, &w.MaxInFlight, 0) }},
	)
	return w
}

func (d *routesDecoder) route(e element, names *namespace) Route {
	r := Route{Answer: DefaultAnswer}
	d.mapping(e, "a mapping that describes a route",
		field{"name", expectedName, func(e element) { d.defineName(e, &r.Name, names) }},
		field{"deadline", expectedDeadline, func(e element) { d.duration(e, &r.Deadline, 1, expectedDeadline) }},
		field{"objective", expectedObjective, func(e element) {
			d.number(e, &r.Objective, expectedObjective, func(x float64) bool { return x > 0 && x < 1 })
		}},
		field{"answer", "", func(e element) { oneOf(d.decoder, e, &r.Answer, AnswerWhole, AnswerStream) }},
		field{"stages", expectedStageList, func(e element) { r.Stages = d.stages(e) }},
	)
	return r
}

func (d *routesDecoder) stages(e element) []Stage {
	var stages []Stage
	names := newNamespace("stage name", "a name that is unique in the route")
	d.nonEmptyList(e, expectedStageList, func(e element) {
		stages = append(stages, d.stage(e, names))
	})
	return stages
}

func (d *routesDecoder) stage(e element, names *namespace) Stage {
	s := Stage{Input: DefaultInput, Affinity: DefaultAffinity}
	d.mapping(e, "a mapping that describes a stage",
		field{"name", expectedName, func(e element) { d.defineName(e, &s.Name, names) }},
		field{"pools", expectedStagePools, func(e element) { s.Pools = d.stagePools(e) }},
		field{"idempotent", "", func(e element) { d.boolean(e, &s.Idempotent) }},
		field{"input", "", func(e element) { oneOf(d.decoder, e, &s.Input, InputPrevious, InputBoth) }},
		field{"timeout", "", func(e element) { d.duration(e, &s.Timeout, 0, expectedTimeout) }},
		field{"affinity", "", func(e element) { oneOf(d.decoder, e, &s.Affinity, AffinityNone, AffinityPrefix) }},
	)
	return s
}

func (d *routesDecoder) stagePools(e element) []string {
	var pools []string
	// The results of a fan-out are joined by pool name, so a pool may occur only once.
	names := newNamespace("pool", "a name that is unique in the stage")
	d.nonEmptyList(e, expectedStagePools, func(e element) {
		var pool string
		e, ok := d.name(e, &pool)
		if !ok {
			return
		}
		names.define(d.decoder, e, pool)
		d.poolReferences = append(d.poolReferences, reference{e, pool})
		pools = append(pools, pool)
	})
	return pools
}

// defineName decodes a name and adds it to its namespace.
func (d *decoder) defineName(e element, dst *string, names *namespace) {
	if e, ok := d.name(e, dst); ok {
		names.define(d, e, *dst)
	}
}

// nonEmptyList decodes a list that must not be empty.
func (d *decoder) nonEmptyList(e element, expected string, item func(element)) {
	errorCount := len(d.collector.errors) + d.collector.omitted
	n := d.list(e, expected, func(_ int, e element) { item(e) })
	if n == 0 && !d.nodeLimitReached && errorCount == len(d.collector.errors)+d.collector.omitted {
		d.addError(ErrorKindMissing, e, "the list is empty", expected)
	}
}
