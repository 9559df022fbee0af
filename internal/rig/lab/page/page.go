// Package page renders rows as one HTML file with all plots embedded as SVG, drawn by gonum's plot. It is
// used by a separate program: the plotting library allocates memory at its start that an agent does not
// need.
package page

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"slices"

	"molepaddle/internal/rig/lab/report"
	"molepaddle/internal/rig/lab/trial"
)

// section is a scenario on the page.
type section struct {
	Name, Question string
	Lines          []report.Line
	Plots          []figure
	Broken         []string
	Recovered      []string
}

type figure struct {
	Title string
	SVG   template.HTML
}

// Questions returns the question that a scenario answers, for the page.
type Questions func(scenario string) string

// HTML writes one self-contained file. bench is the output of Go benchmarks whose names contain servers
// and open requests, for a plot of the cost of decisions; it may be empty.
func HTML(w io.Writer, rows []*trial.Row, bench []byte, ask Questions) error {
	all, void := report.GroupByScenario(rows)
	page := struct {
		Sections []section
		Void     int
		Builds   []string
		Machines []string
		Cost     *figure
	}{Void: void}
	for _, r := range rows {
		if !slices.Contains(page.Builds, r.Build) {
			page.Builds = append(page.Builds, r.Build)
		}
		if !slices.Contains(page.Machines, r.Machine) {
			page.Machines = append(page.Machines, r.Machine)
		}
	}
	for _, s := range all {
		sec := section{Name: s.Name, Question: ask(s.Name), Lines: s.Lines()}
		var err error
		if s.Sweep {
			sec.Plots, err = sweeps(s)
		} else {
			sec.Plots, err = plots(s)
		}
		if err != nil {
			return err
		}
		for _, g := range report.ByName(s.Groups) {
			r := g.Rows[0]
			for _, b := range r.Result.Broken {
				sec.Broken = append(sec.Broken, fmt.Sprintf("%s, seed %d, at %.0f ms: %s: %s", g.Name, r.Seed, b.At, b.Rule, b.Story))
			}
			for _, e := range r.Result.Recovered {
				sec.Recovered = append(sec.Recovered, fmt.Sprintf("%s: %s at %.0f s, worth %.3f before and %.3f at the least, %s", g.Name, e.Kind, e.At/1000, e.Before, e.Lowest, report.Recovery(e.After)))
			}
		}
		page.Sections = append(page.Sections, sec)
	}
	if len(bench) > 0 {
		f, err := cost(bench)
		if err != nil {
			return err
		}
		page.Cost = f
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, page); err != nil {
		return err
	}
	_, err := b.WriteTo(w)
	return err
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>molepaddle lab</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:1380px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em}h2{margin-top:2.2em;border-bottom:1px solid #ccc;font-size:1.2em}
table{border-collapse:collapse;font-size:13px}th,td{padding:3px 9px;text-align:right;border-bottom:1px solid #eee}
th:first-child,td:first-child{text-align:left}tr:hover{background:#f6f6f6}.bad{color:#b00020;font-weight:600}
figure{margin:1.2em 0}figcaption{font-size:13px;color:#555;margin-bottom:.3em}svg{width:100%;height:auto}
ul{font-size:13px}
</style></head><body>
<h1>molepaddle lab</h1>
<p>Built from {{range $i, $b := .Builds}}{{if $i}}, {{end}}<code>{{$b}}</code>{{end}} on {{range $i, $m := .Machines}}{{if $i}}; {{end}}{{$m}}{{end}}.
{{if .Void}}<span class="bad">{{.Void}} plays do not count and are left out.</span>{{end}}
Worth is the share of what was asked that was served in time; the way is from random choice (0) to an oracle that sees every server (1).</p>
{{range .Sections}}<h2>{{.Name}}</h2>{{if .Question}}<p>{{.Question}}</p>{{end}}
<table><tr><th>variant</th><th>plays</th><th>worth</th><th>way</th><th>served</th><th>refused</th><th>failed</th><th>needless, &permil;</th><th>waste</th><th>repeated, &permil;</th><th>for nobody, &permil;</th><th>p99, ms</th><th>imbalance</th><th>connects</th><th>retries</th><th>breaches</th><th>MB</th><th>cores</th></tr>
{{range .Lines}}<tr><td>{{.Name}}</td><td>{{.Plays}}</td><td>{{printf "%.4f" .Worth}}</td><td>{{.Way}}</td><td>{{printf "%.4f" .Served}}</td><td>{{printf "%.4f" .Refused}}</td><td>{{printf "%.4f" .Failed}}</td><td>{{printf "%.2f" .Needless}}</td><td>{{printf "%.4f" .Waste}}</td><td>{{printf "%.2f" .Repeated}}</td><td>{{printf "%.2f" .Nobody}}</td><td>{{printf "%.0f" .P99}}</td><td>{{printf "%.2f" .Imbalance}}</td><td>{{printf "%.0f" .Connects}}</td><td>{{printf "%.4f" .Retry}}</td><td{{if .Breaches}} class="bad"{{end}}>{{.Breaches}}</td><td>{{.Memory}}</td><td>{{.CPU}}</td></tr>
{{end}}</table>
{{range .Plots}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>{{end}}
{{if .Recovered}}<ul>{{range .Recovered}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{if .Broken}}<ul class="bad">{{range .Broken}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{end}}{{if .Cost}}<h2>What a decision costs</h2><figure><figcaption>{{.Cost.Title}}</figcaption>{{.Cost.SVG}}</figure>{{end}}
</body></html>
`))
