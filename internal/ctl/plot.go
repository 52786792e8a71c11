package ctl

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/burn"
)

// Plot dimensions.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barHeight  = 0.7 * vg.Centimeter
	barWidth   = 0.4 * vg.Centimeter
	// maxBars limits the number of bars in a cost plot; the table next to it has all rows.
	maxBars = 30
	// maxTicks limits the number of labels on the time axis.
	maxTicks = 12
	// legendWidth is reserved beside the plot, so that the legend covers no line.
	legendWidth = 2.5 * vg.Centimeter
	// legendGap separates the legend from the plot, so that no line appears to run into it.
	legendGap = 0.4 * vg.Centimeter
	// legendPadding separates the rows of the legend, since browsers draw its text taller
	// than the plot library assumes.
	legendPadding = 0.1 * vg.Centimeter
	// yAxisHeadroom scales the upper end of the y axis to leave space above the highest value.
	yAxisHeadroom = 1.05
)

// verdictColors are the colors of the threshold lines.
var verdictColors = map[burn.Verdict]color.Color{
	burn.VerdictPage:   color.RGBA{R: 0xc0, A: 0xff},
	burn.VerdictTicket: color.RGBA{R: 0xc0, G: 0x80, A: 0xff},
}

// Colors of the segments of a bar.
var (
	colorUsed    = color.RGBA{R: 0x5b, G: 0x9b, B: 0xd5, A: 0xff}
	colorWasted  = color.RGBA{R: 0xd6, G: 0x4b, B: 0x4b, A: 0xff}
	colorUnsplit = color.RGBA{R: 0xa0, G: 0xa0, B: 0xa0, A: 0xff}
)

// plotFont has the same glyph widths as the usual sans-serif font of browsers. With its
// default serif font the plot library reserves too little space, and labels overlap bars.
var plotFont = font.Font{Typeface: "Liberation", Variant: "Sans"}

// newPlot returns a plot and a legend that use plotFont.
func newPlot() (*plot.Plot, *plot.Legend) {
	p, legend := plot.New(), plot.NewLegend()
	for _, style := range []*font.Font{
		&p.Title.TextStyle.Font, &p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font,
		&p.X.Tick.Label.Font, &p.Y.Tick.Label.Font, &legend.TextStyle.Font,
	} {
		style.Typeface, style.Variant = plotFont.Typeface, plotFont.Variant
	}
	legend.Top = true
	legend.Padding = legendPadding
	return p, &legend
}

// renderSVG renders a plot as an SVG element for an HTML page. If legend is not nil, it is
// drawn beside the plot.
func renderSVG(p *plot.Plot, legend *plot.Legend, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, height)
	area := draw.New(canvas)
	if legend == nil {
		p.Draw(area)
	} else {
		p.Draw(draw.Crop(area, 0, -legendWidth, 0, 0))
		legend.Draw(draw.Crop(area, plotWidth-legendWidth+legendGap, 0, 0, 0))
	}
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The XML declaration and document type are not allowed inside an HTML page.
	_, element, found := bytes.Cut(out.Bytes(), []byte("<svg"))
	if !found {
		return "", fmt.Errorf("the plot has no svg element")
	}
	// The plot library escapes all text in the element.
	return template.HTML("<svg" + string(element)), nil
}

// burnPlot draws the burn rates of a route over time and the thresholds of the rules.
func burnPlot(history []historyPoint, route string) (template.HTML, error) {
	p, legend := newPlot()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Label.Text = "time (UTC)"
	p.X.Tick.Marker = plot.TickerFunc(clockTicks)
	legend.Left = true
	p.Add(plotter.NewGrid())
	lines := map[time.Duration]plotter.XYs{}
	var windows []time.Duration
	for _, point := range history {
		for _, r := range point.routes {
			if r.Route != route {
				continue
			}
			for _, w := range r.Windows {
				if lines[w.Window] == nil {
					windows = append(windows, w.Window)
				}
				lines[w.Window] = append(lines[w.Window], plotter.XY{X: float64(point.at.Unix()), Y: w.Rate})
			}
		}
	}
	for i, window := range windows {
		if err := addLine(p, legend, lines[window], i, windowName(window)); err != nil {
			return "", err
		}
	}
	if err := addThresholds(p, legend, history); err != nil {
		return "", err
	}
	p.Y.Max *= yAxisHeadroom
	return renderSVG(p, legend, plotHeight)
}

// clockTicks returns at most maxTicks+1 ticks at multiples of 1, 5, 15 or 60 minutes.
func clockTicks(first, last float64) []plot.Tick {
	step := time.Minute
	for _, step = range []time.Duration{time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour} {
		if (last-first)/step.Seconds() <= maxTicks {
			break
		}
	}
	var ticks []plot.Tick
	for at := time.Unix(int64(first), 0).UTC().Truncate(step); float64(at.Unix()) <= last; at = at.Add(step) {
		if float64(at.Unix()) >= first {
			ticks = append(ticks, plot.Tick{Value: float64(at.Unix()), Label: at.Format("15:04")})
		}
		if len(ticks) > maxTicks {
			break
		}
	}
	return ticks
}

func addLine(p *plot.Plot, legend *plot.Legend, points plotter.XYs, style int, name string) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(style)
	p.Add(line)
	legend.Add(name, line)
	return nil
}

func addThresholds(p *plot.Plot, legend *plot.Legend, history []historyPoint) error {
	if len(history) == 0 {
		return nil
	}
	first, last := float64(history[0].at.Unix()), float64(history[len(history)-1].at.Unix())
	for _, rule := range burn.DefaultRules() {
		line, err := plotter.NewLine(plotter.XYs{{X: first, Y: rule.Threshold}, {X: last, Y: rule.Threshold}})
		if err != nil {
			return err
		}
		line.Dashes = plotutil.Dashes(1)
		line.Color = verdictColors[rule.Verdict]
		p.Add(line)
		legend.Add(string(rule.Verdict), line)
	}
	return nil
}

// costBar is one bar of a cost plot.
type costBar struct {
	name string
	cost burn.Cost
}

// costPlot draws stacked bars of used, wasted and unsplit cost, the highest at the top.
func costPlot(bars []costBar) (template.HTML, error) {
	bars = bars[:min(len(bars), maxBars)]
	p, legend := newPlot()
	p.X.Label.Text = "cost"
	p.X.Min = 0
	p.Legend = *legend
	var used, wasted, unsplit plotter.Values
	var names []string
	for i := len(bars) - 1; i >= 0; i-- {
		used = append(used, bars[i].cost.Used)
		wasted = append(wasted, bars[i].cost.Wasted)
		unsplit = append(unsplit, bars[i].cost.Unsplit)
		names = append(names, bars[i].name)
	}
	var previous *plotter.BarChart
	for _, part := range []struct {
		name   string
		values plotter.Values
		color  color.Color
	}{{"used", used, colorUsed}, {"wasted", wasted, colorWasted}, {"use not known", unsplit, colorUnsplit}} {
		chart, err := plotter.NewBarChart(part.values, barWidth)
		if err != nil {
			return "", err
		}
		chart.Horizontal = true
		chart.Color = part.color
		chart.LineStyle.Width = 0
		if previous != nil {
			chart.StackOn(previous)
		}
		previous = chart
		p.Add(chart)
		p.Legend.Add(part.name, chart)
	}
	p.NominalY(names...)
	// The bars are one unit apart. The outermost need half a unit each, and the legend needs
	// two units at the top.
	p.Y.Min, p.Y.Max = -0.5, float64(len(bars))+1.5
	return renderSVG(p, nil, vg.Length(len(bars)+4)*barHeight)
}
