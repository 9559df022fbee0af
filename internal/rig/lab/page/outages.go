package page

import (
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Span is an interval during which a request had its machine in one phase.
type Span struct {
	Machine, ID, Phase string
	Why                string // reason for its start
	From, Until        int64  // seconds of the log
	Open               bool   // it had not ended when the record was taken
}

// outPhase is a phase in which a machine counts as out of service, with its colour.
type outPhase struct {
	phase  string
	colour color.Color
}

var outPhases = []outPhase{{"emptying", colours[4]}, {"granted", colours[2]}, {"out", colours[1]}, {"returning", colours[5]}}

// Spans parses a record of the agents' committed changes ('molepaddle work record --json'), one line per
// change, up to a time. An invalid line is an error that names it.
func Spans(record []string, now int64) ([]Span, error) {
	var all []Span
	open := map[string]int{} // by request
	for i, line := range record {
		words := strings.SplitN(line, " ", 7)
		if len(words) < 6 || words[4] != "->" {
			return nil, fmt.Errorf("record: line %d: not a change: %q", i+1, line)
		}
		at, err := strconv.ParseInt(words[0], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("record: line %d: not a time: %q", i+1, words[0])
		}
		id, machine, phase := words[1], strings.TrimSuffix(words[2], ":"), strings.TrimSuffix(words[5], ":")
		if was, is := open[id]; is {
			all[was].Until, all[was].Open = max(at, all[was].From), false
			delete(open, id)
		}
		if slices.ContainsFunc(outPhases, func(p outPhase) bool { return p.phase == phase }) {
			why := ""
			if len(words) == 7 {
				why = words[6]
			}
			open[id] = len(all)
			all = append(all, Span{Machine: machine, ID: id, Phase: phase, Why: why, From: at, Until: max(now, at), Open: true})
		}
	}
	slices.SortStableFunc(all, func(a, b Span) int { return cmp.Or(cmp.Compare(a.From, b.From), strings.Compare(a.Machine, b.Machine)) })
	return all, nil
}

// MaxConcurrent returns the maximum number of machines that were out of service at once, and the first
// time of it.
func MaxConcurrent(spans []Span) (most int, at int64) {
	for _, s := range spans {
		here := map[string]bool{}
		for _, o := range spans {
			if o.From <= s.From && s.From < o.Until || o.From == s.From {
				here[o.Machine] = true
			}
		}
		if len(here) > most {
			most, at = len(here), s.From
		}
	}
	return most, at
}

var outagesTemplate = template.Must(template.New("night").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Who was out when</title>
<style>body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em}td,th{text-align:left;padding:.15em .8em .15em 0;vertical-align:top}</style></head><body>
<h1>Who was out when</h1>
<p>{{.Says}}</p>
{{.Figure.SVG}}
<table><tr><th>from</th><th>until</th><th>machine</th><th>request</th><th>phase</th><th>why</th></tr>
{{range .Rows}}<tr><td>{{.From}}</td><td>{{.Until}}</td><td>{{.Machine}}</td><td>{{.ID}}</td><td>{{.Phase}}</td><td>{{.Why}}</td></tr>
{{end}}</table></body></html>
`))

// WriteOutages writes a page of which machines were out of service when, and why, ordered by time.
func WriteOutages(w io.Writer, spans []Span) error {
	if len(spans) == 0 {
		return fmt.Errorf("record: no machine was out of service")
	}
	var machines []string
	first, last := spans[0].From, spans[0].Until
	for _, s := range spans {
		if !slices.Contains(machines, s.Machine) {
			machines = append(machines, s.Machine)
		}
		first, last = min(first, s.From), max(last, s.Until)
	}
	p := newPlot("minutes", "")
	minutes := func(at int64) float64 { return float64(at-first) / 60 }
	for i, of := range outPhases {
		for k, s := range spans {
			if s.Phase != of.phase {
				continue
			}
			y := float64(len(machines) - 1 - slices.Index(machines, s.Machine))
			line, err := plotter.NewLine(plotter.XYs{{X: minutes(s.From), Y: y}, {X: minutes(max(s.Until, s.From+1)), Y: y}})
			if err != nil {
				return err
			}
			line.Color, line.Width = of.colour, vg.Points(7)
			p.Add(line)
			if k == slices.IndexFunc(spans, func(o Span) bool { return o.Phase == of.phase }) {
				p.Legend.Add(outPhases[i].phase, line)
			}
		}
	}
	names := slices.Clone(machines)
	slices.Reverse(names)
	p.NominalY(names...)
	p.Legend.Top = true
	f, err := renderFigure("who was out when", p, max(height, vg.Length(len(machines))*14*vg.Millimeter/3+vg.Inch))
	if err != nil {
		return err
	}
	most, at := MaxConcurrent(spans)
	clock := func(at int64) string { return time.Unix(at, 0).UTC().Format("01-02 15:04:05") }
	type row struct{ From, Until, Machine, ID, Phase, Why string }
	page := struct {
		Says   string
		Figure figure
		Rows   []row
	}{Says: fmt.Sprintf("%d machines between %s and %s UTC; at the most %d at once, first at %s.", len(machines), clock(first), clock(last), most, clock(at)), Figure: f}
	for _, s := range spans {
		until := clock(s.Until)
		if s.Open {
			until = "still"
		}
		page.Rows = append(page.Rows, row{clock(s.From), until, s.Machine, s.ID, s.Phase, s.Why})
	}
	return outagesTemplate.Execute(w, page)
}
