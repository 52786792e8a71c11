package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// clockTicksPerSecond is the unit of CPU times in /proc. It is 100 on all Linux architectures
// that Go supports.
const clockTicksPerSecond = 100

// OverheadBenchmark measures the latency that a gateway adds to direct calls to the same
// upstream. Batches of direct calls and of gateway requests alternate, so that both run
// under the same machine load.
type OverheadBenchmark struct {
	Gateway string
	Direct  string
	// PID is the gateway's process ID; its CPU time and memory are measured.
	PID int
	// Workers is the number of concurrent workers; each sends its requests sequentially.
	Workers int
	// Requests is the number of requests to each route.
	Requests  int
	BodyBytes int
	Workspace string
}

// OverheadRoute is a route to measure. A request to it is compared with as many direct
// calls as it has stages.
type OverheadRoute struct {
	Name   string
	Stages int
}

// OverheadResult is the result of one route. Latencies and CPU times are in microseconds.
type OverheadResult struct {
	Route     string `json:"route"`
	Stages    int    `json:"stages"`
	Workers   int    `json:"workers"`
	Requests  int    `json:"requests"`
	Errors    int64  `json:"errors"`
	DirectP50 int64  `json:"direct_p50_us"`
	DirectP99 int64  `json:"direct_p99_us"`
	RouteP50  int64  `json:"route_p50_us"`
	RouteP99  int64  `json:"route_p99_us"`
	// AddedPerStageP50 and AddedPerStageP99 are the route's latency divided by its stages,
	// minus the latency of a direct call.
	AddedPerStageP50 float64 `json:"added_per_stage_p50_us"`
	AddedPerStageP99 float64 `json:"added_per_stage_p99_us"`
	// StageCallsPerSecond is measured during the route's batches.
	StageCallsPerSecond  float64 `json:"stage_calls_per_second"`
	DirectCallsPerSecond float64 `json:"direct_calls_per_second"`
	// GatewayCPUPerStage is the gateway's CPU time per stage call.
	GatewayCPUPerStage float64 `json:"gateway_cpu_per_stage_us"`
	// Resident memory of the gateway before and after the run, in MiB.
	GatewayMemoryBefore float64 `json:"gateway_memory_before_mib"`
	GatewayMemoryAfter  float64 `json:"gateway_memory_after_mib"`
}

// batchCount is the number of batches of direct calls and of gateway requests.
const batchCount = 20

// Run measures one route.
func (b *OverheadBenchmark) Run(ctx context.Context, route OverheadRoute) (*OverheadResult, error) {
	client := &fasthttp.Client{MaxConnsPerHost: 1 << 14, NoDefaultUserAgentHeader: true}
	result := &OverheadResult{Route: route.Name, Stages: route.Stages, Workers: b.Workers, Requests: b.Requests}
	result.GatewayMemoryBefore = residentMiB(b.PID)
	direct, viaGateway := newHistogram(), newHistogram()
	var directTime, routeTime time.Duration
	var cpu float64
	for range batchCount {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		directTime += b.runBatch(client, "http://"+b.Direct+"/", direct, &result.Errors)
		before := cpuSeconds(b.PID)
		routeTime += b.runBatch(client, "http://"+b.Gateway+"/v1/routes/"+route.Name, viaGateway, &result.Errors)
		cpu += cpuSeconds(b.PID) - before
	}
	completed := float64(viaGateway.TotalCount())
	if completed == 0 {
		return nil, errors.Newf("no request to route %s succeeded", route.Name)
	}
	stages := float64(route.Stages)
	result.GatewayMemoryAfter = residentMiB(b.PID)
	result.DirectP50, result.DirectP99 = direct.ValueAtQuantile(50), direct.ValueAtQuantile(99)
	result.RouteP50, result.RouteP99 = viaGateway.ValueAtQuantile(50), viaGateway.ValueAtQuantile(99)
	result.AddedPerStageP50 = float64(result.RouteP50)/stages - float64(result.DirectP50)
	result.AddedPerStageP99 = float64(result.RouteP99)/stages - float64(result.DirectP99)
	result.StageCallsPerSecond = completed * stages / routeTime.Seconds()
	result.DirectCallsPerSecond = float64(direct.TotalCount()) / directTime.Seconds()
	result.GatewayCPUPerStage = cpu / (completed * stages) * 1e6
	return result, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// runBatch sends requests with all workers and returns the elapsed time.
func (b *OverheadBenchmark) runBatch(client *fasthttp.Client, url string, merged *hdrhistogram.Histogram, failures *int64) time.Duration {
	count := b.Requests / batchCount / b.Workers
	var mu sync.Mutex
	var workers sync.WaitGroup
	start := time.Now()
	for worker := range b.Workers {
		workers.Go(func() {
			histogram := newHistogram()
			failed := b.runWorker(client, url, count, worker, histogram)
			atomic.AddInt64(failures, failed)
			mu.Lock()
			merged.Merge(histogram)
			mu.Unlock()
		})
	}
	workers.Wait()
	return time.Since(start)
}

func (b *OverheadBenchmark) runWorker(client *fasthttp.Client, url string, count, worker int, histogram *hdrhistogram.Histogram) int64 {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set("Workspace", b.Workspace)
	id := fmt.Sprintf(`"id":"overhead-%d"`, worker)
	request.SetBodyString("{" + id + `,"padding":"` + string(bytes.Repeat([]byte{'x'}, b.BodyBytes)) + `"}`)
	var failed int64
	for range count {
		start := time.Now()
		err := client.Do(request, response)
		elapsed := time.Since(start)
		if err != nil || response.StatusCode() != fasthttp.StatusOK || !bytes.Contains(response.Body(), []byte(id)) {
			failed++
			continue
		}
		_ = histogram.RecordValue(max(1, elapsed.Microseconds()))
	}
	return failed
}

// cpuSeconds returns the CPU time of a process in seconds.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// Skip the program name, which is in parentheses and may contain spaces.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	user, _ := strconv.Atoi(string(fields[11]))
	system, _ := strconv.Atoi(string(fields[12]))
	return float64(user+system) / clockTicksPerSecond
}

// residentMiB returns the resident memory of a process in MiB.
func residentMiB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(string(bytes.Fields(data)[1]))
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "compare requests through a gateway with direct calls to an upstream",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Required: true, Usage: "address of the gateway"},
			&cli.StringFlag{Name: "direct", Required: true, Usage: "address of an upstream"},
			&cli.IntFlag{Name: "pid", Required: true, Usage: "process ID of the gateway"},
			&cli.StringFlag{Name: "route", Required: true},
			&cli.IntFlag{Name: "stages", Required: true, Usage: "number of stages of the route"},
			&cli.IntFlag{Name: "workers", Value: 1},
			&cli.IntFlag{Name: "requests", Value: 20000},
			&cli.IntFlag{Name: "body-bytes", Value: 200},
			&cli.StringFlag{Name: "workspace", Value: "alpha"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			b := &OverheadBenchmark{
				Gateway: command.String("gateway"), Direct: command.String("direct"), PID: command.Int("pid"),
				Workers: command.Int("workers"), Requests: command.Int("requests"),
				BodyBytes: command.Int("body-bytes"), Workspace: command.String("workspace"),
			}
			result, err := b.Run(ctx, OverheadRoute{command.String("route"), command.Int("stages")})
			if err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(result)
		},
	}
}
