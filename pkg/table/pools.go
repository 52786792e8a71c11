package table

// Pools is the pools table.
type Pools struct {
	Pools        []Pool       `yaml:"pools"`
	OutOfService OutOfService `yaml:"out_of_service"`
}

// OutOfService lists the zones and upstreams that receive no new requests.
type OutOfService struct {
	Zones     []string `yaml:"zones"`
	Upstreams []string `yaml:"upstreams"`
}

// PoolKind is the kind of upstream in a pool.
type PoolKind string

// Kinds of pool.
const (
	KindEncoder   PoolKind = "encoder"
	KindRetriever PoolKind = "retriever"
	KindReranker  PoolKind = "reranker"
	KindEngine    PoolKind = "engine"
	KindService   PoolKind = "service"
)

// Pool is a set of upstreams that serve the same stage.
type Pool struct {
	Name string   `yaml:"name"`
	Kind PoolKind `yaml:"kind"`
	// Path is the HTTP path of a stage call, "/" if unset.
	Path      string     `yaml:"path"`
	Capacity  Capacity   `yaml:"capacity"`
	Features  Features   `yaml:"features"`
	Cost      Cost       `yaml:"cost"`
	Model     Model      `yaml:"model"`
	Upstreams []Upstream `yaml:"upstreams"`
}

// Capacity is the number of concurrent requests that one upstream can serve.
type Capacity struct {
	Cold int `yaml:"cold"`
	Warm int `yaml:"warm"`
	// WarmAfter is the number of successful calls after which an upstream counts as warm.
	WarmAfter int `yaml:"warm_after"`
}

// Features lists the optional capabilities of the upstreams of a pool.
type Features struct {
	ReportsLoad    bool `yaml:"reports_load"`
	Fencing        bool `yaml:"fencing"`
	Priorities     bool `yaml:"priorities"`
	Cancel         bool `yaml:"cancel"`
	Resume         bool `yaml:"resume"`
	KVExport       bool `yaml:"kv_export"`
	KVImport       bool `yaml:"kv_import"`
	EchoesIdentity bool `yaml:"echoes_identity"`
}

// CostUnit is the unit in which the work of a pool is priced.
type CostUnit string

// Units of cost.
const (
	UnitSecond  CostUnit = "second"
	UnitToken   CostUnit = "token"
	UnitRequest CostUnit = "request"
)

// Cost is the price of work in a pool.
type Cost struct {
	Unit    CostUnit `yaml:"unit"`
	PerUnit float64  `yaml:"per_unit"`
}

// Model is the model that the engines of a pool must load.
type Model struct {
	Name    string `yaml:"name"`
	Adapter string `yaml:"adapter"`
	Version string `yaml:"version"`
}

// Upstream is one backend of a pool.
type Upstream struct {
	Name string `yaml:"name"`
	// Address is IP:port.
	Address string `yaml:"address"`
	// Zone is the availability zone.
	Zone string `yaml:"zone"`
}
