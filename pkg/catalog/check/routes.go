package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
)

func (k *checker) routes() {
	type match struct{ host, prefix string }
	matches, names := map[match]int{}, map[string]int{}
	for i := range k.catalog.Routes {
		r := &k.catalog.Routes[i]
		at := Location{Section: SectionRoutes, Index: i, Name: r.Name}
		if r.Name == "" {
			k.add(Warning, KindMissing, at.at(FieldName, 0), "the route has no name", "a name")
		} else if first, ok := names[r.Name]; ok {
			k.add(Warning, KindDuplicate, at.at(FieldName, 0), fmt.Sprintf("the route %d has the same name", first), "a name of its own")
		} else {
			names[r.Name] = i
		}
		k.target(at, r)
		if first, ok := matches[match{r.Host, r.Prefix}]; ok {
			k.add(Error, KindNeverMatches, at.at(FieldPrefix, 0),
				fmt.Sprintf("the route %d (%q) has the same host and prefix and gets all requests", first, k.catalog.Routes[first].Name), "a host and prefix of its own")
		} else {
			matches[match{r.Host, r.Prefix}] = i
		}
		k.split(at, r)
		k.times(at, r)
		k.stages(at, r)
	}
}

// target checks the host and the prefix.
func (k *checker) target(at Location, r *catalog.Route) {
	if !isHostName(r.Host) {
		k.add(Error, KindNeverMatches, at.at(FieldHost, 0), fmt.Sprintf("found %q", r.Host), "a host name without a port")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		k.add(Error, KindNeverMatches, at.at(FieldPrefix, 0), fmt.Sprintf("found %q", r.Prefix), "a prefix that begins and ends with a slash")
	case strings.ContainsFunc(r.Prefix, func(c rune) bool { return c <= ' ' || c == 0x7f || c == '?' }):
		k.add(Error, KindNeverMatches, at.at(FieldPrefix, 0), fmt.Sprintf("no path begins with %q", r.Prefix), "a path without query, spaces and control characters")
	}
}

// isHostName reports whether the Host field of a request can equal the host once its port is cut off.
func isHostName(host string) bool {
	for i := range len(host) {
		c := host[i]
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_') {
			return false
		}
	}
	return host != ""
}

func (k *checker) split(at Location, r *catalog.Route) {
	if len(r.Split) == 0 {
		k.add(Error, KindMissing, at.at(FieldSplit, 0), "the route has no pool", "a pool, or a split over pools")
		return
	}
	total := 0.0
	for i, share := range r.Split {
		if k.catalog.Pools[share.Pool] == nil {
			k.add(Error, KindBadReference, at.at(FieldSplitPool, i), fmt.Sprintf("the pool %q does not exist", share.Pool), "the name of a pool")
		}
		weight := at.at(FieldSplitWeight, i)
		switch {
		case share.Weight < 0:
			k.add(Error, KindOutOfRange, weight, fmt.Sprintf("found %v", share.Weight), "0 or more")
		case share.Weight == 0:
			k.add(Warning, KindUnused, weight, fmt.Sprintf("the pool %q has the weight 0 and gets no requests of the route", share.Pool), "a weight above 0")
		default:
			k.usedPools[share.Pool] = true
			total += share.Weight
		}
	}
	if total == 0 {
		k.add(Error, KindBadReference, at.at(FieldSplit, 0), "no pool of the route has a weight", "a pool with a weight above 0")
	}
}

// times checks the limits of a request that do not depend on its stages.
func (k *checker) times(at Location, r *catalog.Route) {
	k.notNegative(at, numberOf(FieldTimeout, r.Timeout), numberOf(FieldObjective, r.Objective), numberOf(FieldEventGap, r.EventGapObjective),
		numberOf(FieldPriority, r.Priority))
	if r.Timeout == 0 {
		k.add(Warning, KindOutOfRange, at.at(FieldTimeout, 0), "the timeout is 0, which means that the route sets none", "a timeout above 0")
	}
	if r.Timeout > 0 && r.Objective > r.Timeout {
		k.add(Warning, KindContradiction, at.at(FieldObjective, 0), fmt.Sprintf("the objective of %s is above the timeout of %s", r.Objective, r.Timeout), "at most the timeout")
	}
	if r.Objective > 0 && r.EventGapObjective > r.Objective {
		k.add(Warning, KindContradiction, at.at(FieldEventGap, 0),
			fmt.Sprintf("the objective for pauses of %s is above that of %s for the first event", r.EventGapObjective, r.Objective), "at most the objective for the first event")
	}
}

// stages checks each stage of a route, and whether the stages can end in time.
func (k *checker) stages(at Location, r *catalog.Route) {
	ends, longest := make([]float64, len(r.Stages)), 0.0
	for i, stage := range r.Stages {
		pool := k.catalog.Pools[stage.Pool]
		k.usedPools[stage.Pool] = true
		switch {
		case pool == nil:
			k.add(Error, KindBadReference, at.at(FieldStagePool, i), fmt.Sprintf("the pool %q does not exist", stage.Pool), "the name of a pool")
		case pool.Batch == nil:
			k.add(Error, KindBadReference, at.at(FieldStagePool, i), fmt.Sprintf("the pool %q does not run stages", stage.Pool), "a pool with limits for batches")
		default:
			k.stageMemory(at.at(FieldStageBytes, i), stage, pool.Batch)
			ends[i] = float64(max(pool.Batch.CallTime, 0)) + float64(max(pool.Batch.PieceTime, 0))
		}
		if stage.ResultBytes < 0 {
			k.add(Error, KindOutOfRange, at.at(FieldStageBytes, i), fmt.Sprintf("found %d", stage.ResultBytes), "0 or more")
		}
		inputs := 0.0
		for _, dependency := range stage.DependsOn {
			if dependency < 0 || dependency >= i {
				k.add(Error, KindNeverMatches, at.at(FieldStageDependsOn, i),
					fmt.Sprintf("stage %d depends on stage %d, so that no request may reach it", i, dependency), "indexes of earlier stages")
				continue
			}
			inputs = max(inputs, ends[dependency])
		}
		ends[i] += inputs
		longest = max(longest, ends[i])
	}
	took := time.Duration(longest)
	switch {
	case r.Timeout > 0 && longest > float64(r.Timeout):
		k.add(Error, KindContradiction, at.at(FieldTimeout, 0), fmt.Sprintf("the stages take %s or more, the timeout is %s", took, r.Timeout), "more than the time of the stages")
	case r.Objective > 0 && longest > float64(r.Objective):
		k.add(Warning, KindContradiction, at.at(FieldObjective, 0), fmt.Sprintf("the stages take %s or more, the objective is %s", took, r.Objective), "more than the time of the stages")
	}
}

// stageMemory checks the results of a batch against the memory for results.
func (k *checker) stageMemory(at Location, stage catalog.Stage, batch *catalog.Batch) {
	if batch.ResultMemoryBytes <= 0 || stage.ResultBytes <= 0 {
		return
	}
	full := float64(stage.ResultBytes) * float64(max(batch.MaxPieces, 1))
	switch {
	case stage.ResultBytes > batch.ResultMemoryBytes:
		k.add(Error, KindContradiction, at, fmt.Sprintf("a result has %d bytes, upstreams of the pool %q hold %d", stage.ResultBytes, stage.Pool, batch.ResultMemoryBytes),
			"at most the memory for results")
	case full > float64(batch.ResultMemoryBytes):
		k.add(Warning, KindContradiction, at, fmt.Sprintf("the results of a batch of %d pieces have %.0f bytes, upstreams of the pool %q hold %d",
			batch.MaxPieces, full, stage.Pool, batch.ResultMemoryBytes), "at most the memory for results")
	}
}
