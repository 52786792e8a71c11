// Package check finds entries of a configuration that do not work: entries that no request can
// reach, and limits that contradict each other. It also compares two configurations. It does no I/O,
// and the result depends on its arguments only.
package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

// Options are facts about the platform that a catalog does not contain.
type Options struct {
	// MinHeaderBytes is the size of the smallest request head that callers send.
	MinHeaderBytes int
}

// Catalog returns the findings about one configuration, in the order of routes, pools, workspaces and
// limits.
func Catalog(c *catalog.Catalog, options Options) []Finding {
	k := checker{catalog: c, usedPools: map[string]bool{}}
	k.routes()
	k.pools()
	k.workspaces()
	k.limits(options)
	return k.findings
}

// Version returns a finding if VMs that have the configuration old in force ignore the new one.
func Version(old, new *catalog.Catalog) []Finding {
	if new.Version > old.Version {
		return nil
	}
	return []Finding{{
		Severity: Error, Kind: KindVersion, Location: Location{Section: SectionCatalog, Field: FieldVersion},
		Problem:  fmt.Sprintf("the version is %d, which the VMs ignore while %d is in force", new.Version, old.Version),
		Expected: fmt.Sprintf("more than %d", old.Version),
	}}
}

type checker struct {
	catalog   *catalog.Catalog
	usedPools map[string]bool
	findings  []Finding
}

func (k *checker) add(severity Severity, kind Kind, at Location, problem, expected string) {
	k.findings = append(k.findings, Finding{Severity: severity, Kind: kind, Location: at, Problem: problem, Expected: expected})
}

// at returns the location of another field of the same entry.
func (l Location) at(field Field, item int) Location {
	l.Field, l.Item = field, item
	return l
}

// number is a field that must not be negative.
type number struct {
	field Field
	value float64
	text  string
}

// numberOf converts the value of a field; text is what a finding shows.
func numberOf[T ~int | ~int64 | ~float64](field Field, value T) number {
	return number{field: field, value: float64(value), text: fmt.Sprint(value)}
}

func (k *checker) notNegative(at Location, numbers ...number) {
	for _, n := range numbers {
		if n.value < 0 {
			k.add(Error, KindOutOfRange, at.at(n.field, 0), "found "+n.text, "0 or more")
		}
	}
}

func (k *checker) pools() {
	for _, name := range slices.Sorted(maps.Keys(k.catalog.Pools)) {
		pool := k.catalog.Pools[name]
		at := Location{Section: SectionPools, Name: name}
		if name == "" {
			k.add(Error, KindMissing, at.at(FieldName, 0), "the pool has no name", "a name")
		}
		if !k.usedPools[name] {
			k.add(Warning, KindUnused, at, "no route sends requests or stages to the pool", "a route that uses it")
		}
		k.notNegative(at, numberOf(FieldMaxConnections, pool.MaxConnections), numberOf(FieldColdTime, pool.ColdStartTime),
			numberOf(FieldColdRate, pool.ColdRequestsPerSecond))
		switch {
		case pool.ColdRequestsPerSecond > 0 && pool.ColdStartTime == 0:
			k.add(Warning, KindContradiction, at.at(FieldColdRate, 0),
				fmt.Sprintf("a limit of %v requests/s applies during the cold start, but the cold start takes no time", pool.ColdRequestsPerSecond), "a cold start time")
		case pool.ColdStartTime > 0 && pool.ColdRequestsPerSecond == 0:
			k.add(Warning, KindContradiction, at.at(FieldColdTime, 0),
				fmt.Sprintf("the cold start takes %s, but no rate limit applies during it", pool.ColdStartTime), "a rate above 0")
		}
		k.batch(at, pool.Batch)
		if e := pool.Engine; e != nil {
			k.notNegative(at, numberOf(FieldEngineConcurrency, e.Concurrency), numberOf(FieldEngineTokens, e.CacheTokens),
				numberOf(FieldEngineTokenBytes, e.CacheBytesPerToken), numberOf(FieldEngineLink, e.LinkBytesPerSecond))
		}
	}
}

func (k *checker) batch(at Location, b *catalog.Batch) {
	if b == nil {
		return
	}
	k.notNegative(at, numberOf(FieldBatchConcurrency, b.Concurrency), numberOf(FieldBatchQueue, b.QueueLimit), numberOf(FieldBatchPieces, b.MaxPieces),
		numberOf(FieldBatchCallTime, b.CallTime), numberOf(FieldBatchPieceTime, b.PieceTime),
		numberOf(FieldBatchMemory, b.ResultMemoryBytes), numberOf(FieldBatchTTL, b.ResultTTL))
	for _, n := range []number{numberOf(FieldBatchConcurrency, b.Concurrency), numberOf(FieldBatchPieces, b.MaxPieces)} {
		if n.value == 0 {
			k.add(Warning, KindOutOfRange, at.at(n.field, 0), "found 0, in place of which the VMs use 1", "1 or more")
		}
	}
}

func (k *checker) workspaces() {
	type owner struct{ workspace, key int }
	owners, names, keyCount := map[string]owner{}, map[string]int{}, 0
	for i, w := range k.catalog.Workspaces {
		at := Location{Section: SectionWorkspaces, Index: i, Name: w.Name}
		if w.Name == "" {
			k.add(Warning, KindMissing, at.at(FieldName, 0), "the workspace has no name", "a name")
		} else if first, ok := names[w.Name]; ok {
			k.add(Warning, KindDuplicate, at.at(FieldName, 0), fmt.Sprintf("the workspace %d has the same name", first), "a name of its own")
		} else {
			names[w.Name] = i
		}
		if w.HasPriority {
			k.notNegative(at, numberOf(FieldPriority, w.Priority))
		}
		if len(w.Keys) == 0 {
			k.add(Warning, KindNeverMatches, at.at(FieldKeys, 0), "the workspace has no keys, so that no request belongs to it", "one key or more")
		}
		for j, key := range w.Keys {
			if !canBeSent(key) {
				k.add(Error, KindNeverMatches, at.at(FieldKey, j), "no request can carry the key: it is empty, has control characters or is enclosed in spaces", "printable characters")
				continue
			}
			keyCount++
			first, shared := owners[key]
			switch {
			case !shared:
				owners[key] = owner{i, j}
			case first.workspace == i:
				k.add(Warning, KindDuplicate, at.at(FieldKey, j), fmt.Sprintf("the key repeats key %d of the workspace", first.key), "each key once")
			default:
				k.add(Error, KindDuplicate, at.at(FieldKey, j),
					fmt.Sprintf("the key is also key %d of the workspace %q, which loses it", first.key, k.catalog.Workspaces[first.workspace].Name), "a key of one workspace only")
			}
		}
	}
	closed := slices.IndexFunc(k.catalog.Routes, func(r catalog.Route) bool { return k.catalog.NeedsKey(&r) })
	if keyCount == 0 && closed >= 0 {
		k.add(Warning, KindNeverMatches, Location{Section: SectionWorkspaces, Index: -1}, "no workspace has a key, so that only anonymous routes are open", "a workspace with a key")
	}
}

// canBeSent reports whether a request can carry the key in a header field, whose value is trimmed.
func canBeSent(key string) bool {
	for i := range len(key) {
		if key[i] < ' ' && key[i] != '\t' || key[i] == 0x7f {
			return false
		}
	}
	return key != "" && strings.TrimSpace(key) == key
}

func (k *checker) limits(options Options) {
	l, at := k.catalog.Limits, Location{Section: SectionLimits}
	k.notNegative(at, numberOf(FieldHeaderBytes, l.HeaderBytes), numberOf(FieldBodyBytes, l.BodyBytes),
		numberOf(FieldHeaderTimeout, l.HeaderTimeout), numberOf(FieldIdleTimeout, l.IdleTimeout))
	if l.HeaderBytes > 0 && l.HeaderBytes < options.MinHeaderBytes {
		k.add(Error, KindContradiction, at.at(FieldHeaderBytes, 0), fmt.Sprintf("found %d, but the headers of the platform need %d", l.HeaderBytes, options.MinHeaderBytes),
			fmt.Sprintf("%d or more", options.MinHeaderBytes))
	}
}
