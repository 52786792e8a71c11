package ctl

import (
	"bytes"
	"fmt"
	"math"
	"slices"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/burn"
)

// Gateway metrics that the burn and cost commands read.
const (
	metricRequests      = "hoist_requests_total"
	metricStageCost     = "hoist_stage_cost_total"
	metricWorkspaceCost = "hoist_workspace_cost_total"
)

// Labels of these metrics.
const (
	labelRoute     = "route"
	labelResult    = "result"
	labelStage     = "stage"
	labelPool      = "pool"
	labelUsed      = "used"
	labelWorkspace = "workspace"
)

// scrape holds the metrics of one gateway.
type scrape struct {
	routes map[string]burn.Counts
	costs  *burn.CostAggregator
	// warnings lists the series that are left out, each with the reason.
	warnings []string
}

// parseMetrics parses the Prometheus text format. Costs are added to the aggregator.
func parseMetrics(text []byte, costs *burn.CostAggregator) (*scrape, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("parse metrics: %w", err)
	}
	s := &scrape{routes: map[string]burn.Counts{}, costs: costs}
	s.forEachSeries(families[metricRequests], s.addRequests, labelRoute, labelResult)
	s.forEachSeries(families[metricStageCost], s.addStageCost, labelRoute, labelStage, labelPool, labelUsed)
	s.forEachSeries(families[metricWorkspaceCost], s.addWorkspaceCost, labelWorkspace, labelRoute)
	return s, nil
}

// forEachSeries calls addSeries for each valid series and adds a warning for each of the others.
func (s *scrape) forEachSeries(family *dto.MetricFamily, addSeries func(labels map[string]string, value float64) error, required ...string) {
	for _, metric := range family.GetMetric() {
		labels := map[string]string{}
		for _, pair := range metric.GetLabel() {
			labels[pair.GetName()] = pair.GetValue()
		}
		if err := checkSeries(metric, labels, required); err != nil {
			s.warn(family, labels, err)
			continue
		}
		if err := addSeries(labels, seriesValue(metric)); err != nil {
			s.warn(family, labels, err)
		}
	}
}

func (s *scrape) warn(family *dto.MetricFamily, labels map[string]string, err error) {
	s.warnings = append(s.warnings, fmt.Sprintf("%s%v is left out: %v", family.GetName(), labels, err))
}

func checkSeries(metric *dto.Metric, labels map[string]string, required []string) error {
	for _, name := range required {
		if labels[name] == "" {
			return fmt.Errorf("it has no label %s", name)
		}
	}
	if value := seriesValue(metric); value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Errorf("its value is %v", value)
	}
	return nil
}

// seriesValue returns the value of a counter or of a series without a declared type, and NaN
// for other types.
func seriesValue(metric *dto.Metric) float64 {
	if metric.GetCounter() != nil {
		return metric.GetCounter().GetValue()
	}
	if metric.GetUntyped() != nil {
		return metric.GetUntyped().GetValue()
	}
	return math.NaN()
}

func (s *scrape) addRequests(labels map[string]string, value float64) error {
	counts := s.routes[labels[labelRoute]]
	switch labels[labelResult] {
	case "in_time":
		counts.InTime += value
	case "late":
		counts.Late += value
	case "refused":
		counts.Refused += value
	case "failed":
		counts.Failed += value
	default:
		return fmt.Errorf("the result is %q; expected in_time, late, refused or failed", labels[labelResult])
	}
	s.routes[labels[labelRoute]] = counts
	return nil
}

func (s *scrape) addStageCost(labels map[string]string, value float64) error {
	cost, err := costByUse(labels[labelUsed], value)
	if err != nil {
		return err
	}
	s.costs.AddStage(burn.StageKey{Route: labels[labelRoute], Stage: labels[labelStage], Pool: labels[labelPool]}, cost)
	return nil
}

// addWorkspaceCost adds a cost that is split into used and wasted only if the series has
// the label "used".
func (s *scrape) addWorkspaceCost(labels map[string]string, value float64) error {
	cost, err := costByUse(labels[labelUsed], value)
	if err != nil {
		return err
	}
	s.costs.AddWorkspace(burn.WorkspaceKey{Workspace: labels[labelWorkspace], Route: labels[labelRoute]}, cost)
	return nil
}

func costByUse(used string, value float64) (burn.Cost, error) {
	switch used {
	case "true":
		return burn.Cost{Used: value}, nil
	case "false":
		return burn.Cost{Wasted: value}, nil
	case "":
		return burn.Cost{Unsplit: value}, nil
	default:
		return burn.Cost{}, fmt.Errorf("the label used is %q; expected true or false", used)
	}
}

// scrapeResult is the scrape of one gateway, or the error if it failed.
type scrapeResult struct {
	address string
	scrape  *scrape
	err     error
}

// scrapeGateways reads the metrics of all gateways concurrently. The results include the
// scrapes that failed.
func scrapeGateways(client *adminClient, addresses []string, path string) []scrapeResult {
	bodies := make([][]byte, len(addresses))
	results := make([]scrapeResult, len(addresses))
	forEachAddress(addresses, func(i int, address string) {
		results[i].address = address
		bodies[i], results[i].err = client.get(address, path, nil)
	})
	for i := range results {
		if results[i].err == nil {
			results[i].scrape, results[i].err = parseMetrics(bodies[i], burn.NewCostAggregator())
		}
	}
	return results
}

// checkUniqueAddresses returns a usage error if an address is given twice, since the requests
// of that gateway would be counted twice.
func checkUniqueAddresses(addresses []string) error {
	sorted := slices.Sorted(slices.Values(addresses))
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			return usageError("the address %s is given twice", sorted[i])
		}
	}
	return nil
}
