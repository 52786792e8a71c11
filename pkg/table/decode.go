package table

// MaxValueBytes is the maximum size of a value in the configuration service. A value is a
// routes table, a pools table or a VM list.
const MaxValueBytes = 1 << 20

// vmListFile is the file name of the VM list in validation errors.
const vmListFile = "vms"

// Load decodes a routes table and a pools table and checks the references between them. The
// file names are used in errors only. The error is of type ValidationErrors and lists the
// errors of both tables.
func Load(routesFile string, routesData []byte, poolsFile string, poolsData []byte) (*Tables, error) {
	var collector errorCollector
	routes := routesDecoder{decoder: &decoder{file: routesFile, collector: &collector}}
	routesParsed := routes.decode(routesData)
	pools := newPoolsDecoder(&decoder{file: poolsFile, collector: &collector})
	poolsParsed := pools.decode(poolsData)
	if routesParsed && poolsParsed && !pools.nodeLimitReached {
		checkReferences(routes.decoder, routes.poolReferences, pools.names.defined, "pool", "the name of a pool in "+poolsFile)
	}
	if err := collector.err(); err != nil {
		return nil, err
	}
	return NewTables(&routes.table, &pools.table), nil
}

// DecodeRoutes decodes a routes table strictly, without checking its references to pools.
// The error is of type ValidationErrors.
func DecodeRoutes(file string, data []byte) (*Routes, error) {
	var collector errorCollector
	routes := routesDecoder{decoder: &decoder{file: file, collector: &collector}}
	routes.decode(data)
	if err := collector.err(); err != nil {
		return nil, err
	}
	return &routes.table, nil
}

// DecodePools decodes a pools table strictly. The error is of type ValidationErrors.
func DecodePools(file string, data []byte) (*Pools, error) {
	var collector errorCollector
	pools := newPoolsDecoder(&decoder{file: file, collector: &collector})
	pools.decode(data)
	if err := collector.err(); err != nil {
		return nil, err
	}
	return &pools.table, nil
}

// DecodeVMList decodes the published VM list strictly. The error is of type
// ValidationErrors.
func DecodeVMList(data []byte) (*VMList, error) { return LoadVMList(vmListFile, data) }

// LoadVMList is like DecodeVMList but uses the file name in errors.
func LoadVMList(file string, data []byte) (*VMList, error) {
	var collector errorCollector
	d := newVMListDecoder(&decoder{file: file, collector: &collector})
	d.decode(data)
	if err := collector.err(); err != nil {
		return nil, err
	}
	return &d.vmList, nil
}
