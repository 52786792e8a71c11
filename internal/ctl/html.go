package ctl

import (
	_ "embed" // embeds the page template
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// pageData is the input of pageTemplate. The page contains no scripts and loads no external
// resources.
type pageData struct {
	Title    string
	Note     string
	Failures []string
	Sections []pageSection
}

type pageSection struct {
	Title  string
	Header []string
	Rows   []pageRow
	Plot   template.HTML
}

type pageRow struct {
	// Class is the CSS class of the row: a verdict or empty. Only page and ticket have a style.
	Class string
	Cells []any
}

func (r *burnReport) html(out io.Writer) error {
	summary := pageSection{Title: "Routes", Header: []string{"Route", "Objective", "Verdict"}}
	if len(r.Routes) > 0 {
		for _, window := range r.Routes[0].Windows {
			summary.Header = append(summary.Header, windowName(window.Window))
		}
	}
	summary.Header = append(summary.Header, "In time", "Late", "Refused", "Failed")
	data := pageData{
		Title:    "Burn rates",
		Note:     "As of " + r.At.UTC().Format(time.RFC3339) + ". An asterisk marks a window that the samples cover in part. The verdict " + tooFewRequestsNote + ".",
		Failures: r.Failures,
	}
	var plots []pageSection
	for _, route := range r.Routes {
		summary.Rows = append(summary.Rows, pageRow{Class: string(route.Verdict), Cells: burnCells(route)})
		rendered, err := burnPlot(r.history, route.Route)
		if err != nil {
			return fmt.Errorf("plot of route %s: %w", route.Route, err)
		}
		plots = append(plots, pageSection{Title: route.Route, Plot: rendered})
	}
	data.Sections = append([]pageSection{summary}, plots...)
	return pageTemplate.Execute(out, data)
}

func (r *costReport) html(out io.Writer) error {
	stages := pageSection{Title: "Stages", Header: []string{"Route / stage / pool", "Used", "Wasted", "Wasted share"}}
	var stageBars, workspaceBars []costBar
	for _, c := range r.Stages {
		name := c.Route + " / " + c.Stage + " / " + c.Pool
		stageBars = append(stageBars, costBar{name, c.Cost})
		stages.Rows = append(stages.Rows, pageRow{Cells: []any{name, costText(c.Used), costText(c.Wasted), shareText(c.Cost)}})
	}
	routes := pageSection{Title: "Routes", Header: []string{"Route", "Used", "Wasted", "Wasted share"}}
	for _, c := range r.Routes {
		routes.Rows = append(routes.Rows, pageRow{Cells: []any{c.Route, costText(c.Used), costText(c.Wasted), shareText(c.Cost)}})
	}
	workspaces := pageSection{Title: "Workspaces", Header: []string{"Workspace / route", "Cost", "Wasted", "Wasted share"}}
	for _, c := range r.Workspaces {
		name := c.Workspace + " / " + c.Route
		workspaceBars = append(workspaceBars, costBar{name, c.Cost})
		workspaces.Rows = append(workspaces.Rows, pageRow{Cells: []any{name, costText(c.Total()), wastedText(c.Cost), shareText(c.Cost)}})
	}
	for _, chart := range []struct {
		section *pageSection
		bars    []costBar
	}{{&stages, stageBars}, {&workspaces, workspaceBars}} {
		if len(chart.bars) == 0 {
			continue
		}
		rendered, err := costPlot(chart.bars)
		if err != nil {
			return fmt.Errorf("plot of %s: %w", chart.section.Title, err)
		}
		chart.section.Plot = rendered
	}
	return pageTemplate.Execute(out, pageData{
		Title:    "Cost",
		Note:     "Totals since the start of each gateway. Wasted is the cost of work that was cancelled, late or failed.",
		Failures: r.Failures,
		Sections: []pageSection{stages, routes, workspaces},
	})
}
