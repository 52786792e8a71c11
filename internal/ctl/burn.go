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

// defaultInterval is the default time between two scrapes with --watch.
const defaultInterval = 10 * time.Second

// maxHistoryPoints limits the number of points in time that a plot shows.
const maxHistoryPoints = 240

// burnReport is the output of the burn command.
type burnReport struct {
	At     time.Time          `json:"at"`
	Routes []burn.RouteReport `json:"routes"`
	// Failures lists the errors of the gateways that could not be read.
	Failures []string `json:"failures,omitempty"`
	history  []historyPoint
}

// historyPoint holds the burn rates of all routes at an earlier time.
type historyPoint struct {
	at     time.Time
	routes []burn.RouteReport
}

func (a *App) burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "show how fast routes use up their error budgets",
		Description: "Burn rates are computed from the increase of counters over time. Either run the\n" +
			"command repeatedly with --samples, which appends a sample to the file and reports\n" +
			"on all samples in it, or keep it running with --watch. --samples without --gateway\n" +
			"reports on the file alone.",
		Flags: []cli.Flag{
			addressFlag(flagGateway, "administration `ADDRESS` (IP:port) of a gateway; may be repeated"),
			&cli.StringFlag{Name: "routes", Usage: "routes table `FILE` with the objectives", TakesFile: true},
			&cli.FloatFlag{Name: "objective", Value: 0.99, Usage: "objective of all routes if --routes is not set"},
			&cli.StringFlag{Name: "samples", Usage: "`FILE` to which samples are appended", TakesFile: true},
			&cli.BoolFlag{Name: "watch", Usage: "read the gateways and report until interrupted"},
			&cli.DurationFlag{Name: "interval", Value: defaultInterval, Usage: "time between two readings with --watch"},
			&cli.IntFlag{Name: "count", Usage: "number of readings with --watch; 0 for no limit"},
			&cli.StringFlag{Name: "at", Usage: "report on the samples file as of `TIME` (RFC 3339)"},
			exitCodeFlag("exit with code 6 if any verdict is page, else with 5 if any is ticket"),
			timeoutFlag(),
		},
		Action: a.burn,
	}
}

// burnRun is the state of one run of the burn command.
type burnRun struct {
	app              *App
	command          *cli.Command
	gateways         []string
	objectives       map[string]float64
	defaultObjective float64
	samplesPath      string
	client           *adminClient
	samples          []burn.Sample
}

func (a *App) burn(ctx context.Context, command *cli.Command) error {
	run, at, err := a.newBurnRun(command)
	if err != nil {
		return err
	}
	if err := run.loadSamples(); err != nil {
		return err
	}
	if len(run.gateways) == 0 {
		report := &burnReport{At: at}
		if err := run.print(report); err != nil {
			return err
		}
		return run.finalError(report)
	}
	scrapes := 1
	if command.Bool("watch") {
		scrapes = command.Int("count")
	}
	for n := 1; ; n++ {
		report, err := run.scrape()
		if err != nil {
			return err
		}
		if err := run.print(report); err != nil {
			return err
		}
		if n == scrapes {
			return run.finalError(report)
		}
		if err := a.Sleep(ctx, command.Duration("interval")); err != nil {
			// An interrupt is the usual way to end --watch and not an error.
			return nil
		}
	}
}

func (a *App) newBurnRun(command *cli.Command) (*burnRun, time.Time, error) {
	run := &burnRun{
		app: a, command: command,
		gateways:         command.StringSlice(flagGateway),
		defaultObjective: command.Float("objective"),
		samplesPath:      command.String("samples"),
		client:           newAdminClient(command.Duration("timeout")),
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

// checkFlags validates the flags and returns the time to report on: --at, or else the
// current time.
func (r *burnRun) checkFlags() (time.Time, error) {
	at := r.app.Now()
	if _, err := arguments(r.command); err != nil {
		return at, err
	}
	if _, err := outputFormat(r.command, &burnReport{}); err != nil {
		return at, err
	}
	if err := checkUniqueAddresses(r.gateways); err != nil {
		return at, err
	}
	watch := r.command.Bool("watch")
	switch {
	case !watch && r.samplesPath == "":
		return at, usageError("burn needs --samples or --watch, since one reading has no burn rate")
	case watch && len(r.gateways) == 0:
		return at, usageError("--watch needs --gateway")
	case r.defaultObjective <= 0 || r.defaultObjective >= 1:
		return at, usageError("--objective is %v; expected a number between 0 and 1", r.defaultObjective)
	case r.command.Duration("interval") <= 0:
		return at, usageError("--interval is %s; expected more than 0s", r.command.Duration("interval"))
	case r.command.Int("count") < 0:
		return at, usageError("--count is %d; expected 0 or more", r.command.Int("count"))
	}
	value := r.command.String("at")
	if value == "" {
		return at, nil
	}
	if len(r.gateways) > 0 {
		return at, usageError("--at reports on earlier samples and excludes --gateway")
	}
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return at, usageError("--at is %q; expected a time such as 2026-11-30T08:00:00Z", value)
	}
	return at, nil
}

// loadSamples reads the samples file. It rewrites the file without an incomplete last line,
// so that the next sample starts on a line of its own, and without expired samples if they
// are more than half.
func (r *burnRun) loadSamples() error {
	if r.samplesPath == "" {
		return nil
	}
	if _, err := os.Stat(r.samplesPath); len(r.gateways) == 0 && err != nil {
		return err
	}
	samples, incomplete, err := readSamples(r.samplesPath)
	if err != nil {
		return err
	}
	r.samples = samples
	if incomplete {
		fmt.Fprintf(r.app.Err, "hoistctl: the last line of %s is incomplete and left out\n", r.samplesPath)
	}
	if len(r.gateways) == 0 {
		return nil
	}
	if recent := dropExpired(samples, r.app.Now()); incomplete || 2*len(recent) < len(samples) {
		r.samples = recent
		return rewriteSamples(r.samplesPath, recent)
	}
	return nil
}

// scrape takes one sample from each gateway and returns a report with the failures; print
// fills in the routes.
func (r *burnRun) scrape() (*burnReport, error) {
	now := r.app.Now()
	report := &burnReport{At: now}
	var added []burn.Sample
	for _, result := range scrapeGateways(r.client, r.gateways, adminapi.PathMetrics) {
		if result.err != nil {
			report.Failures = append(report.Failures, result.err.Error())
			continue
		}
		for _, warning := range result.scrape.warnings {
			fmt.Fprintf(r.app.Err, "hoistctl: %s: %s\n", result.address, sanitize(warning))
		}
		added = append(added, burn.Sample{Source: result.address, At: now, Routes: result.scrape.routes})
	}
	r.samples = append(dropExpired(r.samples, now), added...)
	if r.samplesPath == "" {
		return report, nil
	}
	return report, appendSamples(r.samplesPath, added)
}

// print computes the burn rates of a report and prints it.
func (r *burnRun) print(report *burnReport) error {
	r.replay(report, format(r.command.String(flagOutput)) == formatHTML)
	return r.app.print(r.command, report)
}

// finalError returns the error with which the command ends after its last report.
func (r *burnRun) finalError(report *burnReport) error {
	if len(report.Failures) > 0 {
		return fmt.Errorf("%d of %d gateways could not be read", len(report.Failures), len(r.gateways))
	}
	if !r.command.Bool("exit-code") {
		return nil
	}
	return verdictError(report)
}

// verdictError returns an error with the exit code of the most urgent verdict, or nil if
// there is neither a page nor a ticket.
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

// replay passes the samples up to the time of the report to a tracker in chronological
// order. With withHistory it also records earlier burn rates for the plots.
func (r *burnRun) replay(report *burnReport, withHistory bool) {
	samples := slices.DeleteFunc(slices.Clone(r.samples), func(s burn.Sample) bool { return s.At.After(report.At) })
	slices.SortStableFunc(samples, func(a, b burn.Sample) int { return a.At.Compare(b.At) })
	tracker := burn.NewTracker(burn.DefaultRules())
	step := len(samples)/maxHistoryPoints + 1
	for i, sample := range samples {
		if err := tracker.Observe(sample); err != nil {
			fmt.Fprintln(r.app.Err, "hoistctl:", err)
		}
		last := i+1 == len(samples)
		if withHistory && (last || i%step == 0 && samples[i+1].At.After(sample.At)) {
			report.history = append(report.history, historyPoint{sample.At, tracker.Report(sample.At, r.routeObjectives(tracker))})
		}
	}
	report.Routes = tracker.Report(report.At, r.routeObjectives(tracker))
}

// routeObjectives returns the objectives of the routes table. Without a table it returns
// the --objective for each route in the samples.
func (r *burnRun) routeObjectives(tracker *burn.Tracker) map[string]float64 {
	if r.objectives != nil {
		return r.objectives
	}
	objectives := map[string]float64{}
	for _, route := range tracker.Routes() {
		objectives[route] = r.defaultObjective
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
	rows := newTableWriter(out, append(header, "IN TIME", "LATE", "REFUSED", "FAILED")...)
	for _, route := range r.Routes {
		rows.addRow(burnCells(route)...)
	}
	rows.flush()
	if len(r.Routes) > 0 && partiallyCovered(r.Routes[0]) {
		fmt.Fprintln(out, "* the samples cover a part of the window")
	}
	if slices.ContainsFunc(r.Routes, hasTooFewRequests) {
		fmt.Fprintln(out, tooFewRequestsNote)
	}
	for _, failure := range r.Failures {
		fmt.Fprintln(out, sanitize(failure))
	}
}

// burnCells returns the table row of a route: the burn rates of all windows and the request
// counts of the longest.
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

func partiallyCovered(route burn.RouteReport) bool {
	return slices.ContainsFunc(route.Windows, func(w burn.WindowReport) bool { return w.Covered < w.Window })
}

// tooFewRequestsNote explains the verdict too_few.
var tooFewRequestsNote = fmt.Sprintf("%s: a page or ticket needs at least %d requests, %d of them bad, in its long window",
	burn.VerdictTooFew, burn.MinRequests, burn.MinBadRequests)

func hasTooFewRequests(route burn.RouteReport) bool { return route.Verdict == burn.VerdictTooFew }

// windowName formats a duration in whole hours or minutes, such as 6h.
func windowName(d time.Duration) string {
	if d%time.Hour == 0 {
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}
