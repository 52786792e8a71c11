package obs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"
)

// fixedClock always returns the same time, so that all lines are in one sampling interval.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1_800_000_000, 0) }

func (fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// TestLogger guards against lines without the program, VM and zone, against lines below the
// minimum level, and against unsampled repeated lines, such as one per request of a failing
// upstream.
func TestLogger(t *testing.T) {
	var out bytes.Buffer
	dropped := NewDropCounter(prometheus.NewRegistry())
	logger, err := NewLogger("hoist-test", "vm-1", WithOutput(&out), WithZone("a"), WithLevel("warn"), WithDropCounter(dropped), WithClock(fixedClock{}))
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("below the level")
	const lines = 1000
	for range lines {
		logger.Warn("upstream failed")
	}
	written := strings.Count(out.String(), "\n")
	if want := sampleFirst + (lines-sampleFirst)/sampleThereafter; written != want {
		t.Errorf("%d of %d lines were written, want %d", written, lines, want)
	}
	if got := int(testutil.ToFloat64(dropped)); got != lines-written {
		t.Errorf("%d lines were counted as dropped, want %d", got, lines-written)
	}
	first, _, _ := strings.Cut(out.String(), "\n")
	var line map[string]any
	if err := json.Unmarshal([]byte(first), &line); err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"level": "warn", "program": "hoist-test", "vm": "vm-1", "zone": "a", "msg": "upstream failed"} {
		if line[key] != want {
			t.Errorf("%s: got %v, want %s", key, line[key], want)
		}
	}
	if _, err := NewLogger("hoist-test", "vm-1", WithLevel("loud")); err == nil {
		t.Error("an unknown level was accepted")
	}
}

// TestLabelLimiter guards against an unlimited number of label values.
func TestLabelLimiter(t *testing.T) {
	limiter := NewLabelLimiter(2)
	var got []string
	for _, value := range []string{"a", "b", "c", "a", "d", "b"} {
		got = append(got, limiter.Value(value))
	}
	if want := "[a b other a other b]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

func newWorkspaceCounter(top int) *TopCounter {
	return NewTopCounter(TopCounterOptions{
		Name: "hoist_workspace_cost_total", Help: "Cost by workspace.",
		TopLabel: "workspace", OtherLabels: []string{"route"}, MaxValues: top,
	})
}

// TestTopCounterBound guards against one series for each of 3,000 workspaces, against lost
// counts, and against workspaces with small counts that keep the series from those with large
// counts.
func TestTopCounterBound(t *testing.T) {
	const top, workspaces, rounds = 10, 3000, 40
	c := newWorkspaceCounter(top)
	total := 0.0
	for range rounds {
		for i := range workspaces {
			// The last ten workspaces have the largest weight and are added last.
			weight := 1.0
			if i >= workspaces-top {
				weight = 100
			}
			c.Add(weight, fmt.Sprintf("w%04d", i), "ask")
			total += weight
		}
	}
	if n := testutil.CollectAndCount(c); n != top+1 {
		t.Errorf("got %d series, want %d and the one for other values", n, top)
	}
	sum := 0.0
	for _, group := range c.series {
		for _, s := range group {
			sum += s.count
		}
	}
	if sum != total {
		t.Errorf("the sum of all series is %v, want %v", sum, total)
	}
	for i := workspaces - top; i < workspaces; i++ {
		if c.series[fmt.Sprintf("w%04d", i)] == nil {
			t.Errorf("workspace w%04d with a large count has no series", i)
		}
	}
}

// TestTopCounterHysteresis guards against workspaces of similar weight that repeatedly replace
// each other, which would move their counts to "other" every time.
func TestTopCounterHysteresis(t *testing.T) {
	c := newWorkspaceCounter(1)
	for i := range 10 * addsPerRebalance {
		c.Add(1, "first", "ask")
		c.Add(1.5, "second", "ask")
		if i%1000 == 0 && c.series["first"] == nil {
			t.Fatalf("the series was replaced after %d rounds", i)
		}
	}
}

// TestTopCounterInput guards against additions that would make collection fail: negative
// values, wrong numbers of labels, invalid UTF-8, and too many label values.
func TestTopCounterInput(t *testing.T) {
	c := newWorkspaceCounter(2)
	c.Add(-1, "a", "ask")
	c.Add(1, "a")
	if n := testutil.CollectAndCount(c); n != 0 {
		t.Errorf("got %d series from invalid additions", n)
	}
	c.Add(1, "b\xff", "r\xff")
	c.Add(2, LabelOther, "ask")
	for i := range 2 * maxLabelCombinations {
		c.Add(1, "a", fmt.Sprint("route-", i))
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(c)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if n := len(families[0].GetMetric()); n > 3*(maxLabelCombinations+1) {
		t.Errorf("got too many series: %d", n)
	}
}

// TestFastHTTPMetricsHandler guards against a response that is not in the Prometheus text format.
func TestFastHTTPMetricsHandler(t *testing.T) {
	registry := NewRegistry()
	c := newWorkspaceCounter(1)
	registry.MustRegister(c)
	c.Add(1.5, "north", "ask")
	var ctx fasthttp.RequestCtx
	FastHTTPMetricsHandler(registry)(&ctx)
	body := string(ctx.Response.Body())
	if !strings.Contains(body, "hoist_workspace_cost_total{route=\"ask\",workspace=\"north\"} 1.5\n") || !strings.Contains(body, "go_goroutines ") {
		t.Errorf("response body lacks expected metrics:\n%s", body)
	}
	if got := string(ctx.Response.Header.ContentType()); !strings.HasPrefix(got, "text/plain; version=0.0.4") {
		t.Errorf("content type: got %s", got)
	}
}
