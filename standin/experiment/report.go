package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/vanillaroute/vanillaroute/ident"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = vg.Length(510)
	plotHeight = vg.Length(255)
	plotPoints = 200
)

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>vanillaroute experiments</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}td:first-child,td:nth-child(2){text-align:left}</style></head>
<body><h1>Routers and simple policies on the same traces</h1>
<table><tr><th>scenario</th><th>policy</th><th>requests</th><th>answered</th><th>refused</th><th>broken</th><th>good/s</th><th>cache reuse</th><th>peak running</th><th>over bound</th><th>extra load</th><th>kiosk p50 ms</th><th>kiosk p99 ms</th><th>total p99 ms</th></tr>
{{range .Rows}}<tr><td>{{.Scenario}}</td><td>{{.Policy}}</td><td>{{.Requests}}</td><td>{{.Answered}}</td><td>{{.Refused}}</td><td>{{.Broken}}</td><td>{{printf "%.1f" .GoodRate}}</td><td>{{printf "%.3f" .CacheReuse}}</td><td>{{.PeakRunning}}</td><td>{{.OverBound}}</td><td>{{printf "%.3f" .ExtraLoad}}</td><td>{{printf "%.1f" .Kiosk.P50}}</td><td>{{printf "%.1f" .Kiosk.P99}}</td><td>{{printf "%.1f" .Total.P99}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Scenario}}: time to the first token</h2>{{.SVG}}{{end}}
</body></html>
`))

// scenarioPlot is the plot of a scenario as an SVG element.
type scenarioPlot struct {
	Scenario Name
	SVG      template.HTML
}

// Kiosk returns the quantiles of the time to the first token of the interactive class, which is called "kiosk" in the report.
func (r Row) Kiosk() Quantiles { return r.FirstToken[ident.Class("interactive")] }

// WriteText writes the rows as a plain-text table.
func WriteText(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tpolicy\trequests\tanswered\trefused\tbroken\tgood/s\tcache reuse\tpeak running\tover bound\textra load\tkiosk p50 ms\tkiosk p99 ms\ttotal p99 ms\t")
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.3f\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n",
			r.Scenario, r.Policy, r.Requests, r.Answered, r.Refused, r.Broken, r.GoodRate, r.CacheReuse, r.PeakRunning, r.OverBound, r.ExtraLoad, r.Kiosk().P50, r.Kiosk().P99, r.Total.P99)
	}
	return table.Flush()
}

// WriteHTML writes the rows as a self-contained HTML page with a plot for each scenario.
func WriteHTML(w io.Writer, rows []Row) error {
	var plots []scenarioPlot
	var seen []Name
	for _, r := range rows {
		if slices.Contains(seen, r.Scenario) {
			continue
		}
		seen = append(seen, r.Scenario)
		svg, err := plotFirstTokens(rows, r.Scenario)
		if err != nil {
			return err
		}
		plots = append(plots, scenarioPlot{r.Scenario, svg})
	}
	err := page.Execute(w, struct {
		Rows  []Row
		Plots []scenarioPlot
	}{rows, plots})
	return errors.Wrap(err, "write page")
}

// plotFirstTokens plots the cumulative distribution of the time to the first token for each policy.
func plotFirstTokens(rows []Row, scenario Name) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "ms to the first token"
	p.Y.Label.Text = "share of chats"
	var lines []any
	for _, r := range rows {
		if r.Scenario == scenario && len(r.FirstTokenTimes) > 0 {
			lines = append(lines, string(r.Policy), cumulativeDistribution(r.FirstTokenTimes))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "draw plot")
	}
	start := max(bytes.Index(out.Bytes(), []byte("<svg")), 0)
	return template.HTML(out.Bytes()[start:]), nil
}

func cumulativeDistribution(times []time.Duration) plotter.XYs {
	sorted := slices.Sorted(slices.Values(times))
	var points plotter.XYs
	for i := range plotPoints {
		share := float64(i+1) / plotPoints
		at := sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
		points = append(points, plotter.XY{X: float64(at) / float64(time.Millisecond), Y: share})
	}
	return points
}
