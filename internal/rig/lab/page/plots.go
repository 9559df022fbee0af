package page

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/lab/report"
	"molepaddle/internal/rig/lab/trial"
)

const (
	width  = 9.5 * vg.Inch
	height = 3.4 * vg.Inch
	// maxLines limits the variants in one plot, the agent's own among them.
	maxLines = 8
	// maxHeat and maxColumns limit a heat map; with more servers or buckets, they are grouped.
	maxHeat, maxColumns = 48, 120
)

// colours are the line colours: the eight of Okabe and Ito, which colour-blind readers can distinguish.
var colours = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{0, 0, 0, 255}, color.RGBA{150, 150, 150, 255},
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	for _, s := range []*vg.Length{&p.X.Label.TextStyle.Font.Size, &p.Y.Label.TextStyle.Font.Size, &p.X.Tick.Label.Font.Size,
		&p.Y.Tick.Label.Font.Size, &p.Legend.TextStyle.Font.Size} {
		*s = vg.Points(10)
	}
	p.Add(plotter.NewGrid())
	p.Legend.ThumbnailWidth = vg.Points(18)
	return p
}

func renderFigure(title string, p *plot.Plot, high vg.Length) (figure, error) {
	c := vgsvg.New(width, high)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return figure{}, fmt.Errorf("report: %s: %w", title, err)
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 { // HTML does not allow the XML prolog
		text = text[i:]
	}
	return figure{Title: title, SVG: template.HTML(text)}, nil
}

func addLine(p *plot.Plot, i int, name string, xy plotter.XYs, points bool) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Width = colours[i%len(colours)], vg.Points(1.4)
	if i >= len(colours) {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	if points {
		sc, err := plotter.NewScatter(xy)
		if err != nil {
			return err
		}
		sc.Color, sc.Shape, sc.Radius = l.Color, draw.CircleGlyph{}, vg.Points(2.5)
		p.Add(sc)
	}
	p.Legend.Add(name, l)
	return nil
}

// drawnGroups returns the groups that are plotted.
func drawnGroups(s *report.Scenario) []*report.Group {
	all := report.ByName(s.Groups)
	return all[:min(len(all), maxLines)]
}

// plots returns the plots of a scenario: worth over time, latency, load, recovery.
func plots(s *report.Scenario) (all []figure, err error) {
	for _, draw := range []func(*report.Scenario) (figure, error){overTime, latency, busyHeatMap} {
		f, err := draw(s)
		if err != nil {
			return nil, err
		}
		all = append(all, f)
	}
	if f, ok, err := recovery(s); err != nil || ok {
		all = append(all, f)
		return all, err
	}
	return all, nil
}

// overTime plots worth over time, the mean over the plays, with the events of the timeline.
func overTime(s *report.Scenario) (figure, error) {
	p := newPlot("time, s", "worth (share of what was asked, over 1 s)")
	p.Legend.Left, p.Legend.Top = true, false
	least := 1.0
	for i, g := range drawnGroups(s) {
		bucket := g.Rows[0].Result.BucketMs
		per := max(int(1000/bucket), 1)
		n := len(g.Rows[0].Result.Series) - 1 // the last one is incomplete
		var xy plotter.XYs
		for j := per - 1; j < n; j++ {
			sum := 0.0
			for _, r := range g.Rows {
				for k := j - per + 1; k <= j; k++ {
					sum += r.Result.Series[min(k, len(r.Result.Series)-1)]
				}
			}
			y := sum / float64(per*len(g.Rows))
			least = min(least, y)
			xy = append(xy, plotter.XY{X: float64(j+1) * bucket / 1000, Y: y})
		}
		if len(xy) == 0 {
			continue
		}
		if err := addLine(p, i, g.Name, xy, false); err != nil {
			return figure{}, err
		}
	}
	p.Y.Max = 1.02
	p.Y.Min = max(least-0.05, 0)
	marks := s.Groups[0].Rows[0].Result.Recovered
	last := -1e9
	for _, e := range marks {
		v, err := plotter.NewLine(plotter.XYs{{X: e.At / 1000, Y: p.Y.Min}, {X: e.At / 1000, Y: 1.02}})
		if err != nil {
			return figure{}, err
		}
		v.Color, v.Dashes = color.Gray{110}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(v)
		if e.At/1000-last < (p.X.Max-p.X.Min)/14 {
			continue // its label would overlap the previous one
		}
		last = e.At / 1000
		name, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: last, Y: p.Y.Min + 0.02*(1.02-p.Y.Min)}}, Labels: []string{" " + e.Kind}})
		if err != nil {
			return figure{}, err
		}
		p.Add(name)
	}
	p.Legend.Top, p.Legend.Left = false, false
	p.Legend.YOffs = vg.Points(14)
	return renderFigure("Worth over time; the timeline's events are marked", p, height)
}

// latency plots the latency of served requests by quantile, of the first play.
func latency(s *report.Scenario) (figure, error) {
	p := newPlot("requests answered within, %", "latency of served requests, ms")
	p.Legend.Left, p.Legend.Top = true, true
	nines := []float64{0.5, 0.9, 0.99, 0.999, 0.9999}
	at := func(share float64) float64 { return -math.Log10(1 - share) }
	var ticks plot.ConstantTicks
	for _, q := range nines {
		ticks = append(ticks, plot.Tick{Value: at(q), Label: strconv.FormatFloat(100*q, 'f', -1, 64)})
	}
	p.X.Tick.Marker = ticks
	for i, g := range drawnGroups(s) {
		var class *measure.Class
		for k := range g.Rows[0].Result.Classes { // the one with the highest latency
			if c := &g.Rows[0].Result.Classes[k]; class == nil || c.Latency.P99 > class.Latency.P99 {
				class = c
			}
		}
		var xy plotter.XYs
		for _, q := range class.Latency.Curve {
			if q[0] >= 0.1 {
				xy = append(xy, plotter.XY{X: at(q[0]), Y: q[1]})
			}
		}
		if len(xy) == 0 {
			continue
		}
		if err := addLine(p, i, g.Name+": "+class.Name, xy, false); err != nil {
			return figure{}, err
		}
	}
	p.Y.Min = 0
	return renderFigure("Latency from the intended start, of the class with the longest, first play", p, height)
}

// grid contains the values of a heat map.
type grid struct {
	z      [][]float64
	bucket float64
}

func (g grid) Dims() (c, r int)   { return len(g.z[0]), len(g.z) }
func (g grid) Z(c, r int) float64 { return g.z[r][c] }
func (g grid) X(c int) float64    { return (float64(c) + 0.5) * g.bucket }
func (g grid) Y(r int) float64    { return float64(r) }

// busyHeatMap plots the share of busy slots of each server, in the first play of the first variant.
func busyHeatMap(s *report.Scenario) (figure, error) {
	g := report.ByName(s.Groups)[0]
	r := g.Rows[0].Result
	servers := r.SortedServers()
	per := (len(servers) + maxHeat - 1) / maxHeat
	columns := 0
	for _, v := range servers {
		columns = max(columns, len(v.Busy))
	}
	if columns == 0 {
		columns = 1
	}
	fold := (columns + maxColumns - 1) / maxColumns
	h := grid{bucket: r.BucketMs * float64(fold) / 1000}
	var names plot.ConstantTicks
	for i := 0; i < len(servers); i += per {
		part := servers[i:min(i+per, len(servers))]
		row := make([]float64, (columns+fold-1)/fold)
		for c := range row {
			sum, n := 0.0, 0
			for _, v := range part {
				for k := c * fold; k < min((c+1)*fold, len(v.Busy)); k++ {
					sum, n = sum+v.Busy[k], n+1
				}
			}
			if n > 0 {
				row[c] = min(sum/float64(n), 1)
			}
		}
		name := part[0].Name + " (" + part[0].Zone + ")"
		if per > 1 {
			name = fmt.Sprintf("%s and %d more", part[0].Name, len(part)-1)
		}
		names = append(names, plot.Tick{Value: float64(len(h.z)), Label: name})
		h.z = append(h.z, row)
	}
	p := newPlot("time, s", "")
	p.Y.Tick.Marker = names
	p.Y.Tick.Label.Font.Size = vg.Points(8)
	m := plotter.NewHeatMap(h, shades())
	m.Min, m.Max = 0, 1
	p.Add(m)
	return renderFigure("How busy each server's slots were ("+g.Name+", first play): white 0, dark 1", p, vg.Points(70+13*float64(len(h.z))))
}

// shades returns a palette from white to dark blue.
func shades() palette.Palette {
	m, err := moreland.NewLuminance([]color.Color{color.RGBA{0, 32, 96, 255}, color.RGBA{64, 140, 200, 255}, color.White})
	if err != nil {
		return palette.Heat(24, 1)
	}
	m.SetMin(0)
	m.SetMax(1)
	p := m.Palette(24).Colors()
	slices.Reverse(p)
	return colourList(p)
}

type colourList []color.Color

func (l colourList) Colors() []color.Color { return l }

// recovery plots the recovery time of the events, the mean over the plays, one bar per variant.
func recovery(s *report.Scenario) (f figure, ok bool, err error) {
	groups := drawnGroups(s)
	events := groups[0].Rows[0].Result.Recovered
	if len(events) == 0 {
		return f, false, nil
	}
	p := newPlot("", "s until worth is back")
	p.Legend.Top = true
	var names []string
	for i, e := range events {
		names = append(names, fmt.Sprintf("%d: %s", i+1, e.Kind))
	}
	wide := vg.Points(min(14, 440/float64(len(groups)*len(events))))
	for i, g := range groups {
		values := make(plotter.Values, len(events))
		for j := range events {
			for _, r := range g.Rows {
				if j >= len(r.Result.Recovered) {
					continue
				}
				e := r.Result.Recovered[j]
				x := e.After
				if x < 0 { // not recovered until the end
					x = float64(len(r.Result.Series))*r.Result.BucketMs - e.At
				}
				values[j] += x / 1000 / float64(len(g.Rows))
			}
		}
		b, err := plotter.NewBarChart(values, wide)
		if err != nil {
			return f, false, err
		}
		b.Color, b.LineStyle.Width = colours[i%len(colours)], 0
		b.Offset = wide * vg.Length(float64(i)-float64(len(groups)-1)/2)
		p.Add(b)
		p.Legend.Add(g.Name, b)
	}
	p.NominalX(names...)
	f, err = renderFigure("How long each event was felt: until worth was back within 0.02 of before (not at all: 0; not back: until the end)", p, height)
	return f, err == nil, err
}

// sweeps plots worth and the 99th percentile over the knob with the most values, a line for each chooser
// and setting of the others.
func sweeps(s *report.Scenario) (all []figure, err error) {
	knobs := map[string]map[float64]bool{}
	for _, g := range s.Groups {
		for k, v := range g.Rows[0].Set {
			if knobs[k] == nil {
				knobs[k] = map[float64]bool{}
			}
			knobs[k][v] = true
		}
	}
	axis := ""
	for k := range knobs {
		if axis == "" || len(knobs[k]) > len(knobs[axis]) || len(knobs[k]) == len(knobs[axis]) && k < axis {
			axis = k
		}
	}
	type curve struct{ worth, p99 plotter.XYs }
	curves, order := map[string]*curve{}, []string{}
	for _, g := range s.Groups {
		r := g.Rows[0]
		x, has := r.Set[axis]
		if !has {
			continue
		}
		var rest []string
		for k, v := range r.Set {
			if k != axis && len(knobs[k]) > 1 {
				rest = append(rest, fmt.Sprintf("%s=%v", k, v))
			}
		}
		sort.Strings(rest)
		name := strings.Join(append([]string{r.Chooser}, rest...), ", ")
		c := curves[name]
		if c == nil {
			c = &curve{}
			curves[name] = c
			order = append(order, name)
		}
		c.worth = append(c.worth, plotter.XY{X: x, Y: g.Mean(func(r *measure.Result) float64 { return r.Worth })})
		c.p99 = append(c.p99, plotter.XY{X: x, Y: g.Mean(func(r *measure.Result) float64 { return r.WorstP99() })})
	}
	wide := false
	for _, c := range curves {
		for _, xy := range []plotter.XYs{c.worth, c.p99} {
			sort.Slice(xy, func(i, j int) bool { return xy[i].X < xy[j].X })
			wide = wide || xy[0].X > 0 && xy[len(xy)-1].X/xy[0].X > 50
		}
	}
	worth, p99 := newPlot(axis, "worth (share of what was asked)"), newPlot(axis, "99th percentile, ms")
	var knees []string
	for i, name := range order[:min(len(order), 2*maxLines)] {
		c := curves[name]
		if err := addLine(worth, i, name, c.worth, true); err != nil {
			return nil, err
		}
		if err := addLine(p99, i, name, c.p99, true); err != nil {
			return nil, err
		}
		var xs, ys []float64
		for _, xy := range c.worth {
			xs, ys = append(xs, xy.X), append(ys, xy.Y)
		}
		if at, ok := trial.Knee(xs, ys); ok {
			knees = append(knees, fmt.Sprintf("%s at %v", name, at))
		}
	}
	for _, p := range []*plot.Plot{worth, p99} {
		if wide {
			p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
	}
	worth.Y.Max, worth.Y.Min = 1.02, max(worth.Y.Min-0.02, 0)
	worth.Legend.Left = true
	p99.Y.Min, p99.Legend.Top, p99.Legend.Left = 0, true, true
	title := "Worth over " + axis
	if len(knees) > 0 {
		title += "; the knee: " + strings.Join(knees, ", ")
	}
	for _, d := range []struct {
		title string
		p     *plot.Plot
	}{{title, worth}, {"99th percentile of the class with the longest", p99}} {
		f, err := renderFigure(d.title, d.p, 1.2*height)
		if err != nil {
			return nil, err
		}
		all = append(all, f)
	}
	return all, nil
}

var benchLine = regexp.MustCompile(`(?m)^Benchmark\S*servers=(\d+)/open=(\d+)\S*\s+\d+\s+([0-9.]+) ns/op`)

// cost plots the output of `go test -bench` for decisions: time over servers, a line for each number of
// open requests.
func cost(text []byte) (*figure, error) {
	lines := map[int]plotter.XYs{}
	for _, m := range benchLine.FindAllSubmatch(text, -1) {
		servers, _ := strconv.Atoi(string(m[1]))
		open, _ := strconv.Atoi(string(m[2]))
		ns, err := strconv.ParseFloat(string(m[3]), 64)
		if err != nil || servers <= 0 || !(ns > 0) {
			continue
		}
		lines[open] = append(lines[open], plotter.XY{X: float64(servers), Y: ns / 1000})
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("report: no line of the benchmarks names servers and open requests")
	}
	var opens []int
	for o := range lines {
		opens = append(opens, o)
	}
	sort.Ints(opens)
	p := newPlot("servers in the list", "time for a request and its outcome, us")
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Left, p.Legend.Top = true, true
	for i, o := range opens {
		xy := lines[o]
		sort.Slice(xy, func(i, j int) bool { return xy[i].X < xy[j].X })
		if err := addLine(p, i, fmt.Sprintf("%d open", o), xy, true); err != nil {
			return nil, err
		}
	}
	f, err := renderFigure("Time of one core for the decisions on one request", p, height)
	return &f, err
}
