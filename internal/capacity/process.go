package capacity

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// clockTicksPerSecond is the unit of CPU times in /proc. It is 100 on all Linux architectures
// that Go supports.
const clockTicksPerSecond = 100

// process is a hoist-agent process.
type process struct {
	command      *exec.Cmd
	adminAddress string
}

func startAgent(program, directory string, index int, settings string, adminAddress string) (*process, error) {
	settingsFile := filepath.Join(directory, vmName(index)+".yaml")
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(directory, vmName(index)+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(program, "--settings", settingsFile)
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "start agent")
	}
	return &process{command: command, adminAddress: adminAddress}, nil
}

func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	_ = p.command.Wait()
}

// sample holds the CPU time, memory and counters of one agent process at one time.
type sample struct {
	cpuTime      time.Duration
	rssBytes     float64
	peakRSSBytes float64
	// counters maps a metric name and its label values, joined by "/", to the value.
	counters map[string]float64
}

func (p *process) sample() (sample, error) {
	s := sample{counters: map[string]float64{}}
	pid := p.command.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, err
	}
	// The process name in parentheses may contain spaces; after it comes field 3.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	userTicks, _ := strconv.Atoi(fields[11])
	systemTicks, _ := strconv.Atoi(fields[12])
	s.cpuTime = time.Duration(userTicks+systemTicks) * time.Second / clockTicksPerSecond
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return s, err
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kilobytes); n == 1 {
			s.rssBytes = kilobytes * 1024
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kilobytes); n == 1 {
			s.peakRSSBytes = kilobytes * 1024
		}
	}
	return s, p.scrapeMetrics(&s)
}

// scrapeMetrics reads the hoist_ counters of the agent into the sample.
func (p *process) scrapeMetrics(s *sample) error {
	response, err := http.Get("http://" + p.adminAddress + "/metrics")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return err
	}
	for name, family := range families {
		if !strings.HasPrefix(name, "hoist_") {
			continue
		}
		for _, metric := range family.GetMetric() {
			key := name
			for _, label := range metric.GetLabel() {
				key += "/" + label.GetValue()
			}
			s.counters[key] = metric.GetCounter().GetValue()
		}
	}
	return nil
}
