package trial

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/floats/scalar"

	"molepaddle/internal/rig/scenario"
)

// maxValues limits the values of an axis.
const maxValues = 1000

// Axis is a knob and its values.
type Axis struct {
	Knob   string
	Values []float64
}

// ParseAxis parses KNOB=1,2,3, KNOB=FROM:TO:STEP or KNOB=FROM:TO:xFACTOR. TO is included if a step
// reaches it.
func ParseAxis(text string) (Axis, error) {
	knob, values, ok := strings.Cut(text, "=")
	bad := func(why string) (Axis, error) {
		return Axis{}, fmt.Errorf("axis %q: want values such as load=1,2,3 or load=0.3:3:0.3 or servers=3:300:x10: %s", text, why)
	}
	if !ok {
		return bad("missing '='")
	}
	if scenario.Knobs[knob] == "" {
		return bad(fmt.Sprintf("%q is no knob", knob))
	}
	a := Axis{Knob: knob}
	number := func(s string) (float64, bool) {
		x, err := strconv.ParseFloat(s, 64)
		return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
	}
	parts := strings.Split(values, ":")
	if len(parts) == 1 {
		for s := range strings.SplitSeq(values, ",") {
			x, ok := number(s)
			if !ok {
				return bad(fmt.Sprintf("%q is not a number", s))
			}
			if slices.Contains(a.Values, x) {
				return bad(fmt.Sprintf("%v is given twice", x))
			}
			a.Values = append(a.Values, x)
		}
	} else {
		if len(parts) != 3 {
			return bad("a range needs three parts")
		}
		step, times := strings.CutPrefix(parts[2], "x")
		from, ok1 := number(parts[0])
		to, ok2 := number(parts[1])
		by, ok3 := number(step)
		if !ok1 || !ok2 || !ok3 || to < from || times && (by <= 1 || from <= 0) || !times && by <= 0 {
			return bad("a range must ascend with a positive step")
		}
		for i := range maxValues + 1 {
			x := from + float64(i)*by
			if times {
				x = from * math.Pow(by, float64(i))
			}
			if x = scalar.Round(x, 9); x > to+1e-9 {
				break
			}
			a.Values = append(a.Values, x)
		}
	}
	if len(a.Values) > maxValues {
		return bad(fmt.Sprintf("more than %d values", maxValues))
	}
	return a, nil
}

// Point is one grid point of a sweep, for one chooser.
type Point struct {
	Set     map[string]float64
	Chooser string
	Worth   float64 // mean of the plays that count; NaN: there are none
	P99     float64 // of the class with the highest, in ms
	Rows    []*Row
}

// Sweep plays each point of a grid with each chooser, with seeds from 'from' on. The whole grid is
// validated before the first play.
func (l *Lab) Sweep(ctx context.Context, s *scenario.Scenario, choosers []string, axes []Axis, seeds int, from uint64) ([]Point, error) {
	places := []map[string]float64{{}}
	for i, a := range axes {
		if slices.ContainsFunc(axes[:i], func(o Axis) bool { return o.Knob == a.Knob }) {
			return nil, fmt.Errorf("axis %s is given twice", a.Knob)
		}
		var more []map[string]float64
		for _, p := range places {
			for _, x := range a.Values {
				q := map[string]float64{a.Knob: x}
				for k, y := range p {
					q[k] = y
				}
				more = append(more, q)
			}
		}
		if places = more; len(places)*len(choosers)*seeds > maxPlays {
			return nil, fmt.Errorf("sweep exceeds the limit of %d plays", maxPlays)
		}
	}
	var points []Point
	var vs []Variant
	for _, c := range choosers {
		for _, p := range places {
			v := Variant{Name: "chooser=" + c, Chooser: c, Set: p}
			for _, a := range axes {
				v.Name += fmt.Sprintf(",%s=%v", a.Knob, p[a.Knob])
			}
			vs = append(vs, v)
			points = append(points, Point{Set: p, Chooser: c})
		}
	}
	rows, err := l.Play(ctx, []*scenario.Scenario{s}, vs, seeds, from)
	if err != nil {
		return nil, err
	}
	for i := range points {
		p := &points[i]
		p.Rows = rows[i*seeds : (i+1)*seeds]
		n := 0.0
		for _, r := range p.Rows {
			if r.Result.Void == "" {
				p.Worth, p.P99, n = p.Worth+r.Result.Worth, p.P99+r.Result.WorstP99(), n+1
			}
		}
		p.Worth, p.P99 = p.Worth/n, p.P99/n
	}
	return points, nil
}

// A curve has a knee only if it falls by minKneeFall and one of its points is further than minKneeBend
// above its chord.
const (
	minKneeFall = 0.02
	minKneeBend = 0.05
)

// Knee returns the x at which a falling curve begins to fall: the point furthest above the line between
// its ends, with both axes scaled to 1 (Satopää et al., "Finding a Kneedle in a Haystack", 2011). The
// points may be in any order. There is no knee with fewer than three points, in a curve that falls by
// less than 0.02, or in one that bends too little.
func Knee(xs, ys []float64) (at float64, ok bool) {
	order := make([]int, len(xs))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return xs[order[i]] < xs[order[j]] })
	if len(order) < 3 {
		return 0, false
	}
	first, last := order[0], order[len(order)-1]
	wide, fall := xs[last]-xs[first], ys[first]-ys[last]
	if !(wide > 0) || !(fall >= minKneeFall) {
		return 0, false
	}
	most := minKneeBend
	for _, i := range order {
		if above := (ys[i]-ys[last])/fall + (xs[i]-xs[first])/wide - 1; above > most {
			at, ok, most = xs[i], true, above
		}
	}
	return at, ok
}
