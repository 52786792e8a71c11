package table

// Defaults of the pools table.
const (
	// DefaultPath is the default HTTP path of a stage call.
	DefaultPath = "/"
	// DefaultWarmAfter is the default number of successful calls after which an upstream is
	// warm.
	DefaultWarmAfter = 10
)

// Descriptions of accepted values in the pools table.
const (
	expectedPools        = "a mapping with pools and out_of_service"
	expectedPoolList     = "a list of pools"
	expectedCapacity     = "a mapping with cold, warm and warm_after"
	expectedCount        = "an integer from 1 to 1000000"
	expectedUpstreamList = "a list with one upstream or more"
	expectedPerUnit      = "a number of 0 or more"
)

// poolsDecoder decodes one pools table.
type poolsDecoder struct {
	*decoder
	table     Pools
	names     *namespace
	upstreams *namespace
	addresses *namespace
	// zones holds the zones of all upstreams.
	zones map[string]bool
	// zoneReferences and upstreamReferences are the references in out_of_service.
	zoneReferences     []reference
	upstreamReferences []reference
}

func newPoolsDecoder(d *decoder) *poolsDecoder {
	return &poolsDecoder{
		decoder:   d,
		names:     newNamespace("pool name", "a name that is unique in the table"),
		upstreams: newNamespace("upstream name", "a name that is unique over all pools"),
		addresses: newNamespace("address", "an address that is unique over all upstreams"),
		zones:     map[string]bool{},
	}
}

// decode reports whether the value is a YAML document. It adds validation errors to the
// collector.
func (d *poolsDecoder) decode(data []byte) bool {
	root, ok := d.parse(data)
	if !ok {
		return false
	}
	d.mapping(root, expectedPools,
		field{"pools", expectedPoolList, func(e element) {
			d.list(e, expectedPoolList, func(_ int, e element) {
				d.table.Pools = append(d.table.Pools, d.pool(e))
			})
		}},
		field{"out_of_service", "", d.outOfService},
	)
	if d.nodeLimitReached {
		return true
	}
	checkReferences(d.decoder, d.zoneReferences, d.zones, "upstream in the zone", "the zone of an upstream")
	checkReferences(d.decoder, d.upstreamReferences, d.upstreams.defined, "upstream", "the name of an upstream")
	return true
}

func (d *poolsDecoder) pool(e element) Pool {
	p := Pool{Path: DefaultPath, Capacity: Capacity{WarmAfter: DefaultWarmAfter}}
	kinds := []PoolKind{KindEncoder, KindRetriever, KindReranker, KindEngine, KindService}
	d.mapping(e, "a mapping that describes a pool",
		field{"name", expectedName, func(e element) { d.defineName(e, &p.Name, d.names) }},
		field{"kind", expectedOneOf(kinds...), func(e element) { oneOf(d.decoder, e, &p.Kind, kinds...) }},
		field{"path", "", func(e element) { d.httpPath(e, &p.Path) }},
		field{"capacity", expectedCapacity, func(e element) { d.capacity(e, &p.Capacity) }},
		field{"features", "", func(e element) { d.features(e, &p.Features) }},
		field{"cost", "", func(e element) { d.cost(e, &p.Cost) }},
		field{"model", "", func(e element) { d.model(e, &p.Model) }},
		field{"upstreams", expectedUpstreamList, func(e element) {
			d.nonEmptyList(e, expectedUpstreamList, func(e element) { p.Upstreams = append(p.Upstreams, d.upstream(e)) })
		}},
	)
	return p
}

func (d *poolsDecoder) capacity(e element, dst *Capacity) {
	var cold element
	var coldValid, warmValid bool
	d.mapping(e, expectedCapacity,
		field{"cold", expectedCount, func(e element) { cold, coldValid = e, d.count(e, &dst.Cold, 1) }},
		field{"warm", expectedCount, func(e element) { warmValid = d.count(e, &dst.Warm, 1) }},
		field{"warm_after", "", func(e element) { d.count(e, &dst.WarmAfter, 1) }},
	)
	if coldValid && warmValid && dst.Cold > dst.Warm {
		d.addError(ErrorKindOutOfRange, cold, "the cold capacity exceeds the warm capacity",
			"cold to be at most warm")
	}
}

func (d *poolsDecoder) features(e element, dst *Features) {
	flag := func(name string, dst *bool) field {
		return field{name, "", func(e element) { d.boolean(e, dst) }}
	}
	d.mapping(e, "a mapping of features to true or false",
		flag("reports_load", &dst.ReportsLoad),
		flag("fencing", &dst.Fencing),
		flag("priorities", &dst.Priorities),
		flag("cancel", &dst.Cancel),
		flag("resume", &dst.Resume),
		flag("kv_export", &dst.KVExport),
		flag("kv_import", &dst.KVImport),
		flag("echoes_identity", &dst.EchoesIdentity),
	)
}

func (d *poolsDecoder) cost(e element, dst *Cost) {
	units := []CostUnit{UnitSecond, UnitToken, UnitRequest}
	d.mapping(e, "a mapping with unit and per_unit",
		field{"unit", expectedOneOf(units...), func(e element) { oneOf(d.decoder, e, &dst.Unit, units...) }},
		field{"per_unit", expectedPerUnit, func(e element) {
			d.number(e, &dst.PerUnit, expectedPerUnit, func(x float64) bool { return x >= 0 })
		}},
	)
}

func (d *poolsDecoder) model(e element, dst *Model) {
	d.mapping(e, "a mapping with name, adapter and version",
		field{"name", expectedNonEmptyString, func(e element) { d.nonEmptyString(e, &dst.Name) }},
		field{"adapter", "", func(e element) { d.stringValue(e, &dst.Adapter, expectedString) }},
		field{"version", "", func(e element) { d.stringValue(e, &dst.Version, expectedString) }},
	)
}

func (d *poolsDecoder) upstream(e element) Upstream {
	var u Upstream
	d.mapping(e, "a mapping with name, address and zone",
		field{"name", expectedName, func(e element) { d.defineName(e, &u.Name, d.upstreams) }},
		field{"address", expectedAddress, func(e element) {
			resolved, canonical := d.address(e, &u.Address)
			d.addresses.define(d.decoder, resolved, canonical)
		}},
		field{"zone", expectedName, func(e element) {
			if _, ok := d.name(e, &u.Zone); ok {
				d.zones[u.Zone] = true
			}
		}},
	)
	return u
}

func (d *poolsDecoder) outOfService(e element) {
	outOfService := &d.table.OutOfService
	d.mapping(e, "a mapping with zones and upstreams",
		field{"zones", "", func(e element) { outOfService.Zones, d.zoneReferences = d.references(e, "zone") }},
		field{"upstreams", "", func(e element) { outOfService.Upstreams, d.upstreamReferences = d.references(e, "upstream") }},
	)
}

// references decodes a list of names that must be defined in the table.
func (d *poolsDecoder) references(e element, noun string) (names []string, references []reference) {
	unique := newNamespace(noun, "a name that is unique in the list")
	d.list(e, "a list of "+noun+" names", func(_ int, e element) {
		var name string
		e, ok := d.name(e, &name)
		if !ok {
			return
		}
		unique.define(d.decoder, e, name)
		names = append(names, name)
		references = append(references, reference{e, name})
	})
	return names, references
}
