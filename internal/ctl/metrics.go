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

// Metrics of a gateway that burn and cost read.
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

// reading is what one gateway's /metrics says.
type reading struct {
	routes map[string]burn.Counts
	ledger *burn.CostAggregator
	// warnings name series that are left out.
	warnings []string
}

// parseMetrics reads the Prometheus text format and adds costs to the ledger.
func parseMetrics(text []byte, ledger *burn.CostAggregator) (*reading, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("parse metrics: %w", err)
	}
	r := &reading{routes: map[string]burn.Counts{}, ledger: ledger}
	r.each(families[metricRequests], r.addRequests, labelRoute, labelResult)
	r.each(families[metricStageCost], r.addStageCost, labelRoute, labelStage, labelPool, labelUsed)
	r.each(families[metricWorkspaceCost], r.addWorkspaceCost, labelWorkspace, labelRoute)
	return r, nil
}

// each calls add with the labels and the value of each series that has the labels.
func (r *reading) each(family *dto.MetricFamily, add func(labels map[string]string, value float64) error, required ...string) {
	for _, metric := range family.GetMetric() {
		labels := map[string]string{}
		for _, pair := range metric.GetLabel() {
			labels[pair.GetName()] = pair.GetValue()
		}
		if err := check(metric, labels, required); err != nil {
			r.warn(family, labels, err)
			continue
		}
		if err := add(labels, valueOf(metric)); err != nil {
			r.warn(family, labels, err)
		}
	}
}

func (r *reading) warn(family *dto.MetricFamily, labels map[string]string, err error) {
	r.warnings = append(r.warnings, fmt.Sprintf("%s%v is left out: %v", family.GetName(), labels, err))
}

func check(metric *dto.Metric, labels map[string]string, required []string) error {
	for _, name := range required {
		if labels[name] == "" {
			return fmt.Errorf("it has no label %s", name)
		}
	}
	if value := valueOf(metric); value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return fmt.Errorf("its value is %v", value)
	}
	return nil
}

// valueOf returns the value of a counter, or of a series without a declared type.
func valueOf(metric *dto.Metric) float64 {
	if metric.GetCounter() != nil {
		return metric.GetCounter().GetValue()
	}
	if metric.GetUntyped() != nil {
		return metric.GetUntyped().GetValue()
	}
	return math.NaN()
}

func (r *reading) addRequests(labels map[string]string, value float64) error {
	counts := r.routes[labels[labelRoute]]
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
	r.routes[labels[labelRoute]] = counts
	return nil
}

func (r *reading) addStageCost(labels map[string]string, value float64) error {
	amount, err := amountOf(labels[labelUsed], value)
	if err != nil {
		return err
	}
	r.ledger.AddStage(burn.StageKey{Route: labels[labelRoute], Stage: labels[labelStage], Pool: labels[labelPool]}, amount)
	return nil
}

// addWorkspaceCost takes a label used if there is one; without it the cost is not split.
func (r *reading) addWorkspaceCost(labels map[string]string, value float64) error {
	amount, err := amountOf(labels[labelUsed], value)
	if err != nil {
		return err
	}
	r.ledger.AddWorkspace(burn.WorkspaceKey{Workspace: labels[labelWorkspace], Route: labels[labelRoute]}, amount)
	return nil
}

func amountOf(used string, value float64) (burn.Cost, error) {
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

// gatewayReading is the reading of one gateway or the reason why there is none.
type gatewayReading struct {
	address string
	reading *reading
	err     error
}

// readGateways reads the metrics of all gateways at once. Readings that failed are among
// the results.
func readGateways(source *fetcher, addresses []string, path string) []gatewayReading {
	bodies := make([][]byte, len(addresses))
	results := make([]gatewayReading, len(addresses))
	each(addresses, func(i int, address string) {
		results[i].address = address
		bodies[i], results[i].err = source.get(address, path, nil)
	})
	for i := range results {
		if results[i].err == nil {
			results[i].reading, results[i].err = parseMetrics(bodies[i], burn.NewCostAggregator())
		}
	}
	return results
}

// uniqueAddresses refuses an address that is given twice, which would count it twice.
func uniqueAddresses(addresses []string) error {
	sorted := slices.Sorted(slices.Values(addresses))
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			return usageError("the address %s is given twice", sorted[i])
		}
	}
	return nil
}
