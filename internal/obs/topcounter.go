package obs

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// addsPerRebalance is the number of additions between two calls of rebalance, which sorts
	// all values.
	addsPerRebalance = 4096
	// replacementFactor is the factor by which the weight of a value must exceed that of a value
	// with series to replace it. This hysteresis prevents values of similar weight from
	// replacing each other repeatedly.
	replacementFactor = 2
	// maxTrackedValues is the maximum number of values whose weight is tracked. It exceeds the
	// 3,000 workspaces of the target size.
	maxTrackedValues = 8192
	// maxLabelCombinations is the maximum number of combinations of the other labels' values.
	maxLabelCombinations = 1024
)

// TopCounterOptions configures a TopCounter.
type TopCounterOptions struct {
	Name string
	Help string
	// TopLabel is the label with many values, such as "workspace", whose series are limited.
	TopLabel string
	// OtherLabels are the remaining labels, which have few values.
	OtherLabels []string
	// MaxValues is the maximum number of values of TopLabel with series of their own.
	MaxValues int
}

// TopCounter is a counter vector with series for the values of one label that have the largest
// recent additions, and LabelOther for the rest, so that 3,000 workspaces do not create 3,000
// series. It is safe for concurrent use.
//
// Invariant: the sum over all series never decreases. When the series of a value are removed,
// their counts are added to LabelOther in the same step.
type TopCounter struct {
	options      TopCounterOptions
	desc         *prometheus.Desc
	combinations *LabelLimiter

	mu sync.Mutex
	// series holds the series by value of TopLabel and by joined values of the other labels.
	series map[string]map[string]*topSeries
	// weights holds the decayed sum of additions by value of TopLabel.
	weights            map[string]float64
	addsSinceRebalance int
}

type topSeries struct {
	labels []string
	count  float64
}

// NewTopCounter returns an unregistered counter.
func NewTopCounter(options TopCounterOptions) *TopCounter {
	names := append([]string{options.TopLabel}, options.OtherLabels...)
	return &TopCounter{
		options:      options,
		desc:         prometheus.NewDesc(options.Name, options.Help, names, nil),
		combinations: NewLabelLimiter(maxLabelCombinations),
		series:       map[string]map[string]*topSeries{},
		weights:      map[string]float64{},
	}
}

// Add increases the count of a value of TopLabel and of the values of OtherLabels, in their
// order. A negative or NaN delta is ignored, since a counter must not decrease, and so is a
// wrong number of labels.
func (c *TopCounter) Add(delta float64, topValue string, labels ...string) {
	if !(delta >= 0) || len(labels) != len(c.options.OtherLabels) {
		return
	}
	topValue, labels = toValidUTF8(topValue, labels)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addWeight(topValue, delta)
	c.findOrCreate(c.seriesValue(topValue), labels).count += delta
	c.addsSinceRebalance++
	if c.addsSinceRebalance >= addsPerRebalance {
		c.addsSinceRebalance = 0
		c.rebalance()
	}
}

// toValidUTF8 replaces invalid UTF-8, which Prometheus rejects in label values.
func toValidUTF8(topValue string, labels []string) (string, []string) {
	topValue = strings.ToValidUTF8(topValue, "?")
	for i, label := range labels {
		if !utf8.ValidString(label) {
			labels = slices.Clone(labels)
			labels[i] = strings.ToValidUTF8(label, "?")
		}
	}
	return topValue, labels
}

// addWeight increases the weight of a value. A new value is ignored if too many are tracked.
func (c *TopCounter) addWeight(value string, delta float64) {
	if _, known := c.weights[value]; known || len(c.weights) < maxTrackedValues {
		c.weights[value] += delta
	}
}

// seriesValue returns the value itself if it has series or may get them, else LabelOther.
func (c *TopCounter) seriesValue(value string) string {
	if c.series[value] != nil || c.ownSeriesCount() < c.options.MaxValues {
		return value
	}
	return LabelOther
}

// ownSeriesCount returns the number of values, other than LabelOther, with series.
func (c *TopCounter) ownSeriesCount() int {
	if c.series[LabelOther] != nil {
		return len(c.series) - 1
	}
	return len(c.series)
}

func (c *TopCounter) findOrCreate(value string, labels []string) *topSeries {
	group := c.series[value]
	if group == nil {
		group = map[string]*topSeries{}
		c.series[value] = group
	}
	key := joinLabels(labels)
	if s := group[key]; s != nil {
		return s
	}
	if c.combinations.Value(key) == LabelOther {
		labels = slices.Repeat([]string{LabelOther}, len(labels))
		key = joinLabels(labels)
	}
	s := group[key]
	if s == nil {
		s = &topSeries{labels: slices.Clone(labels)}
		group[key] = s
	}
	return s
}

func joinLabels(labels []string) string {
	if len(labels) == 1 {
		return labels[0]
	}
	key := ""
	for _, label := range labels {
		// Labels from the tables contain no NUL byte, so keys are unique.
		key += label + "\x00"
	}
	return key
}

// rebalance assigns the series to the values with the largest weights and halves all weights,
// so that recent additions count most.
func (c *TopCounter) rebalance() {
	var withSeries, withoutSeries []string
	for value := range c.weights {
		if value != LabelOther && c.series[value] != nil {
			withSeries = append(withSeries, value)
		} else if value != LabelOther {
			withoutSeries = append(withoutSeries, value)
		}
	}
	// Ties are broken by name, so that the result is deterministic.
	byWeight := func(a, b string) int {
		return cmp.Or(cmp.Compare(c.weights[a], c.weights[b]), cmp.Compare(a, b))
	}
	slices.SortFunc(withSeries, byWeight)
	slices.SortFunc(withoutSeries, func(a, b string) int { return byWeight(b, a) })
	for i := range min(len(withSeries), len(withoutSeries)) {
		if c.weights[withoutSeries[i]] <= replacementFactor*c.weights[withSeries[i]] {
			break
		}
		c.mergeIntoOther(withSeries[i])
		c.series[withoutSeries[i]] = map[string]*topSeries{}
	}
	c.decayWeights()
}

// mergeIntoOther adds the counts of a value to LabelOther and removes its series.
func (c *TopCounter) mergeIntoOther(value string) {
	for _, s := range c.series[value] {
		c.findOrCreate(LabelOther, s.labels).count += s.count
	}
	delete(c.series, value)
}

func (c *TopCounter) decayWeights() {
	for value, weight := range c.weights {
		c.weights[value] = weight / 2
		// Stop tracking a value without series that has not been used for a long time.
		if c.series[value] == nil && weight < 1e-9 {
			delete(c.weights, value)
		}
	}
}

// Describe implements prometheus.Collector.
func (c *TopCounter) Describe(descs chan<- *prometheus.Desc) { descs <- c.desc }

// Collect implements prometheus.Collector.
func (c *TopCounter) Collect(metrics chan<- prometheus.Metric) {
	for _, metric := range c.metrics() {
		metrics <- metric
	}
}

// metrics returns a copy of the series, so that a slow scrape does not block Add.
func (c *TopCounter) metrics() []prometheus.Metric {
	c.mu.Lock()
	defer c.mu.Unlock()
	var metrics []prometheus.Metric
	for _, value := range slices.Sorted(maps.Keys(c.series)) {
		for _, s := range c.series[value] {
			labels := append([]string{value}, s.labels...)
			metrics = append(metrics, prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, s.count, labels...))
		}
	}
	return metrics
}
