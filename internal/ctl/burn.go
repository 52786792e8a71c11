package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/burn"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// defaultInterval is the time between two readings of --watch.
const defaultInterval = 10 * time.Second

// maxHistoryPoints bounds the points of a plot.
const maxHistoryPoints = 240

// burnReport is the result of burn.
type burnReport struct {
	At     time.Time          `json:"at"`
	Routes []burn.RouteReport `json:"routes"`
	// Failures name the gateways that could not be read.
	Failures []string `json:"failures,omitempty"`
	history  []historyPoint
}

// historyPoint is the state of all routes at an earlier time.
type historyPoint struct {
	at     time.Time
	routes []burn.RouteReport
}

func (a *App) burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "show how fast routes use up their error budgets",
		Description: "Burn rates come from the increase of counters over time. Either run the command\n" +
			"repeatedly with --samples, which adds a reading to the file and reports on all of\n" +
			"them, or keep it running with --watch. --samples without --gateway reports on the\n" +
			"file alone.",
		Flags: []cli.Flag{
			addressFlag(flagGateway, "administration `ADDRESS` (IP:port) of a gateway; may be repeated"),
			&cli.StringFlag{Name: "routes", Usage: "routes table `FILE` with the objectives", TakesFile: true},
			&cli.FloatFlag{Name: "objective", Value: 0.99, Usage: "objective of routes without a table"},
			&cli.StringFlag{Name: "samples", Usage: "`FILE` to which readings are added", TakesFile: true},
			&cli.BoolFlag{Name: "watch", Usage: "read and report until interrupted"},
			&cli.DurationFlag{Name: "interval", Value: defaultInterval, Usage: "time between two readings of --watch"},
			&cli.IntFlag{Name: "count", Usage: "number of readings of --watch; 0 for no limit"},
			&cli.StringFlag{Name: "at", Usage: "report on the samples file as of `TIME` (RFC 3339)"},
			exitCodeFlag("exit with 6 for a page and 5 for a ticket"),
			timeoutFlag(),
		},
		Action: a.burn,
	}
}

// burnRun is one run of burn.
type burnRun struct {
	app        *App
	command    *cli.Command
	gateways   []string
	objectives map[string]float64
	objective  float64
	path       string
	source     *fetcher
	samples    []burn.Sample
}

func (a *App) burn(ctx context.Context, command *cli.Command) error {
	run, at, err := a.newBurnRun(command)
	if err != nil {
		return err
	}
	if err := run.load(); err != nil {
		return err
	}
	if len(run.gateways) == 0 {
		report := &burnReport{At: at}
		if err := run.print(report); err != nil {
			return err
		}
		return run.result(report)
	}
	readings := 1
	if command.Bool("watch") {
		readings = command.Int("count")
	}
	for n := 1; ; n++ {
		report, err := run.read()
		if err != nil {
			return err
		}
		if err := run.print(report); err != nil {
			return err
		}
		if n == readings {
			return run.result(report)
		}
		if err := a.Wait(ctx, command.Duration("interval")); err != nil {
			// An interrupt is the usual end of --watch.
			return nil
		}
	}
}

func (a *App) newBurnRun(command *cli.Command) (*burnRun, time.Time, error) {
	run := &burnRun{
		app: a, command: command,
		gateways:  command.StringSlice(flagGateway),
		objective: command.Float("objective"),
		path:      command.String("samples"),
		source:    newFetcher(command.Duration("timeout")),
	}
	at, err := run.checkFlags()
	if err != nil {
		return nil, at, err
	}
	if path := command.String("routes"); path != "" {
		data, err := readTable(path)
		if err != nil {
			return nil, at, err
		}
		routes, err := table.DecodeRoutes(path, data)
		if err != nil {
			return nil, at, tableError(err)
		}
		run.objectives = map[string]float64{}
		for _, route := range routes.Routes {
			run.objectives[route.Name] = route.Objective
		}
	}
	return run, at, nil
}

// checkFlags returns the time of a report on the samples file alone.
func (r *burnRun) checkFlags() (time.Time, error) {
	at := r.app.Now()
	if _, err := arguments(r.command); err != nil {
		return at, err
	}
	if _, err := outputFormat(r.command, &burnReport{}); err != nil {
		return at, err
	}
	if err := uniqueAddresses(r.gateways); err != nil {
		return at, err
	}
	watch := r.command.Bool("watch")
	switch {
	case !watch && r.path == "":
		return at, usageError("burn needs --samples or --watch, since one reading has no burn rate")
	case watch && len(r.gateways) == 0:
		return at, usageError("--watch needs --gateway")
	case r.objective <= 0 || r.objective >= 1:
		return at, usageError("--objective is %v; expected a number between 0 and 1", r.objective)
	case r.command.Duration("interval") <= 0:
		return at, usageError("--interval is %s; expected more than 0s", r.command.Duration("interval"))
	case r.command.Int("count") < 0:
		return at, usageError("--count is %d; expected 0 or more", r.command.Int("count"))
	}
	text := r.command.String("at")
	if text == "" {
		return at, nil
	}
	if len(r.gateways) > 0 {
		return at, usageError("--at reports on earlier samples and excludes --gateway")
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, usageError("--at is %q; expected a time such as 2026-11-30T08:00:00Z", text)
	}
	return at, nil
}

// load reads the samples file. A torn last line is removed, so that the next line does not
// become part of it.
func (r *burnRun) load() error {
	if r.path == "" {
		return nil
	}
	if _, err := os.Stat(r.path); len(r.gateways) == 0 && err != nil {
		return err
	}
	samples, torn, err := readSamples(r.path)
	if err != nil {
		return err
	}
	r.samples = samples
	if torn {
		fmt.Fprintf(r.app.Err, "hoistctl: the last line of %s is incomplete and left out\n", r.path)
	}
	if len(r.gateways) == 0 {
		return nil
	}
	if kept := expire(samples, r.app.Now()); torn || 2*len(kept) < len(samples) {
		r.samples = kept
		return rewriteSamples(r.path, kept)
	}
	return nil
}

// read takes one sample of each gateway and returns the report.
func (r *burnRun) read() (*burnReport, error) {
	now := r.app.Now()
	report := &burnReport{At: now}
	var fresh []burn.Sample
	for _, result := range readGateways(r.source, r.gateways, adminapi.PathMetrics) {
		if result.err != nil {
			report.Failures = append(report.Failures, result.err.Error())
			continue
		}
		for _, warning := range result.reading.warnings {
			fmt.Fprintf(r.app.Err, "hoistctl: %s: %s\n", result.address, plain(warning))
		}
		fresh = append(fresh, burn.Sample{Source: result.address, At: now, Routes: result.reading.routes})
	}
	r.samples = append(expire(r.samples, now), fresh...)
	if r.path == "" {
		return report, nil
	}
	return report, appendSamples(r.path, fresh)
}

// print fills in and prints a report.
func (r *burnRun) print(report *burnReport) error {
	r.replay(report, format(r.command.String(flagOutput)) == formatHTML)
	return r.app.print(r.command, report)
}

// result returns the error that ends the command after its last report.
func (r *burnRun) result(report *burnReport) error {
	if len(report.Failures) > 0 {
		return fmt.Errorf("%d of %d gateways could not be read", len(report.Failures), len(r.gateways))
	}
	if !r.command.Bool("exit-code") {
		return nil
	}
	return verdictError(report)
}

// verdictError gives the exit code for the most urgent verdict.
func verdictError(report *burnReport) error {
	code := ExitOK
	for _, route := range report.Routes {
		switch route.Verdict {
		case burn.VerdictPage:
			code = ExitPage
		case burn.VerdictTicket:
			code = max(code, ExitTicket)
		}
	}
	if code == ExitOK {
		return nil
	}
	return &exitError{code: code}
}

// replay passes the samples to a tracker in the order of time up to the time of the
// report and records the state of the routes on the way if history is set.
func (r *burnRun) replay(report *burnReport, history bool) {
	samples := slices.DeleteFunc(slices.Clone(r.samples), func(s burn.Sample) bool { return s.At.After(report.At) })
	slices.SortStableFunc(samples, func(a, b burn.Sample) int { return a.At.Compare(b.At) })
	tracker := burn.NewTracker(burn.DefaultRules())
	step := len(samples)/maxHistoryPoints + 1
	for i, sample := range samples {
		if err := tracker.Observe(sample); err != nil {
			fmt.Fprintln(r.app.Err, "hoistctl:", err)
		}
		last := i+1 == len(samples)
		if history && (last || i%step == 0 && samples[i+1].At.After(sample.At)) {
			report.history = append(report.history, historyPoint{sample.At, tracker.Report(sample.At, r.objectivesOf(tracker))})
		}
	}
	report.Routes = tracker.Report(report.At, r.objectivesOf(tracker))
}

// objectivesOf returns the objectives of the routes table, or the one of the command line
// for each route that was counted.
func (r *burnRun) objectivesOf(tracker *burn.Tracker) map[string]float64 {
	if r.objectives != nil {
		return r.objectives
	}
	objectives := map[string]float64{}
	for _, route := range tracker.Routes() {
		objectives[route] = r.objective
	}
	return objectives
}

func (r *burnReport) table(out io.Writer) {
	fmt.Fprintf(out, "burn rates at %s\n", r.At.UTC().Format(time.RFC3339))
	header := []string{"ROUTE", "OBJECTIVE", "VERDICT"}
	if len(r.Routes) > 0 {
		for _, window := range r.Routes[0].Windows {
			header = append(header, windowName(window.Window))
		}
	}
	rows := newRows(out, append(header, "IN TIME", "LATE", "REFUSED", "FAILED")...)
	for _, route := range r.Routes {
		rows.add(burnCells(route)...)
	}
	rows.flush()
	if len(r.Routes) > 0 && partlyCovered(r.Routes[0]) {
		fmt.Fprintln(out, "* the samples cover a part of the window")
	}
	if slices.ContainsFunc(r.Routes, tooFew) {
		fmt.Fprintln(out, tooFewNote)
	}
	for _, failure := range r.Failures {
		fmt.Fprintln(out, plain(failure))
	}
}

// burnCells returns a row: the rates of all windows and the counts of the longest.
func burnCells(route burn.RouteReport) []any {
	cells := []any{route.Route, route.Objective, route.Verdict}
	var counts burn.Counts
	for _, window := range route.Windows {
		cells = append(cells, rateText(window))
		counts = window.Counts
	}
	for _, count := range []float64{counts.InTime, counts.Late, counts.Refused, counts.Failed} {
		cells = append(cells, fmt.Sprintf("%.0f", count))
	}
	return cells
}

func rateText(window burn.WindowReport) string {
	text := fmt.Sprintf("%.2f", window.Rate)
	if window.Covered < window.Window {
		text += "*"
	}
	return text
}

func partlyCovered(route burn.RouteReport) bool {
	return slices.ContainsFunc(route.Windows, func(w burn.WindowReport) bool { return w.Covered < w.Window })
}

// tooFewNote explains the verdict too_few.
var tooFewNote = fmt.Sprintf("%s: a page or ticket needs at least %d requests, %d of them bad, in its long window",
	burn.VerdictTooFew, burn.MinRequests, burn.MinBadRequests)

func tooFew(route burn.RouteReport) bool { return route.Verdict == burn.VerdictTooFew }

// windowName returns a duration in hours or minutes, such as 6h.
func windowName(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
