package table

import (
	"path/filepath"
	"testing"

	"go.yaml.in/yaml/v3"
	"golang.org/x/tools/txtar"
)

// addSeeds adds the files with the given name in the archives of testdata/faults to the seed
// corpus.
func addSeeds(f *testing.F, name string) {
	names, _ := filepath.Glob(filepath.Join("testdata", "faults", "*.txtar"))
	for _, archive := range names {
		parsed, err := txtar.ParseFile(archive)
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range parsed.Files {
			if file.Name == name {
				f.Add(file.Data)
			}
		}
	}
}

// checkDecoded fails the test unless err is a non-empty ValidationErrors, or err is nil and
// the value decodes again after encoding.
func checkDecoded(t *testing.T, err error, value any, decode func([]byte) error) {
	if err != nil {
		validationErrors, ok := err.(ValidationErrors)
		if !ok || len(validationErrors) == 0 || len(validationErrors) > MaxValidationErrors+1 {
			t.Fatalf("got an error of type %T with %d entries", err, len(validationErrors))
		}
		return
	}
	encoded, err := yaml.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) > MaxValueBytes {
		return
	}
	if err := decode(encoded); err != nil {
		t.Fatalf("decoding the re-encoded value: %v\n%s", err, encoded)
	}
}

// FuzzRoutes guards against panics and against values that do not decode again after encoding.
func FuzzRoutes(f *testing.F) {
	f.Add(readFile(f, "routes.yaml"))
	addSeeds(f, "routes.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		decode := func(data []byte) error { _, err := DecodeRoutes("routes", data); return err }
		routes, err := DecodeRoutes("routes", data)
		checkDecoded(t, err, routes, decode)
	})
}

// FuzzPools guards against panics and against values that do not decode again after encoding.
func FuzzPools(f *testing.F) {
	f.Add(readFile(f, "pools.yaml"))
	addSeeds(f, "pools.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		decode := func(data []byte) error { _, err := DecodePools("pools", data); return err }
		pools, err := DecodePools("pools", data)
		// A missing cost or model is encoded with empty fields, which do not decode.
		if err == nil {
			for i := range pools.Pools {
				pools.Pools[i].Cost = Cost{Unit: UnitSecond}
				pools.Pools[i].Model = Model{Name: "m"}
			}
		}
		checkDecoded(t, err, pools, decode)
	})
}

// FuzzVMList guards against panics and against values that do not decode again after encoding.
func FuzzVMList(f *testing.F) {
	f.Add([]byte(`{"vms": [{"name": "vm-1", "zone": "a", "agent_address": "10.0.0.1:1", "gateway_address": "10.0.0.1:2", "state": "live"}]}`))
	addSeeds(f, "vms.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		decode := func(data []byte) error { _, err := DecodeVMList(data); return err }
		list, err := DecodeVMList(data)
		checkDecoded(t, err, list, decode)
	})
}

// FuzzLoad guards against panics when valid tables are indexed and compared, and against
// undefined references in them.
func FuzzLoad(f *testing.F) {
	f.Add(readFile(f, "routes.yaml"), readFile(f, "pools.yaml"))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		tables, err := Load("routes", routes, "pools", pools)
		if err != nil {
			return
		}
		for _, route := range tables.Routes.Routes {
			for _, stage := range route.Stages {
				for _, pool := range stage.Pools {
					if tables.Pool(pool) == nil {
						t.Fatalf("route %s refers to undefined pool %s", route.Name, pool)
					}
				}
			}
		}
		if changes := Diff(tables, tables); len(changes) != 0 {
			t.Fatalf("unexpected differences between identical tables: %v", changes)
		}
	})
}
