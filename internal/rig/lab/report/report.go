// Package report groups the rows of plays: it prints a table for a terminal, and computes the groups and
// means that package page plots. It only reads rows.
package report

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/lab/trial"
)

// Group contains the plays of one variant of a scenario.
type Group struct {
	Name string
	mode string
	Rows []*trial.Row
}

// Mean returns the mean of a figure over the plays.
func (g *Group) Mean(of func(r *measure.Result) float64) float64 {
	sum := 0.0
	for _, r := range g.Rows {
		sum += of(r.Result)
	}
	return sum / float64(len(g.Rows))
}

// Scenario contains the plays of one scenario.
type Scenario struct {
	Name   string
	Groups []*Group
	Sweep  bool // at least one variant changes knobs
}

// GroupByScenario groups rows by scenario and variant. Void plays are left out and counted.
func GroupByScenario(rows []*trial.Row) (all []*Scenario, void int) {
	by := map[string]*Scenario{}
	groups := map[string]*Group{}
	for _, r := range rows {
		if r.Result.Void != "" {
			void++
			continue
		}
		s := by[r.Scenario]
		if s == nil {
			s = &Scenario{Name: r.Scenario}
			by[r.Scenario] = s
			all = append(all, s)
		}
		name := r.Variant
		if name == "default" {
			name = r.Chooser
		}
		key := strings.Join([]string{r.Scenario, name, r.Mode, r.Build}, "\x00")
		g := groups[key]
		if g == nil {
			g = &Group{Name: name, mode: r.Mode}
			groups[key] = g
			s.Groups = append(s.Groups, g)
		}
		g.Rows = append(g.Rows, r)
		s.Sweep = s.Sweep || len(r.Set) > 0
	}
	for _, s := range all { // add the build to names that several builds share
		names := map[string]int{}
		for _, g := range s.Groups {
			names[g.Name+g.mode]++
		}
		for _, g := range s.Groups {
			if names[g.Name+g.mode] > 1 {
				g.Name += " " + g.Rows[0].Build
			}
			if g.mode == "live" {
				g.Name += ", live"
			}
		}
	}
	return all, void
}

// Line is one line of the table.
type Line struct {
	Name                       string
	Plays                      int
	Worth                      float64
	Way                        string // position between random (0) and oracle (1)
	Served, Refused, Failed    float64
	Needless, Waste, P50, P99  float64
	Imbalance, Connects, Retry float64
	Repeated, Nobody           float64 // per thousand starts of work
	Breaches                   int
	Memory, CPU                string
}

// Lines returns the lines of the table, by decreasing worth.
func (s *Scenario) Lines() []Line {
	worth := func(r *measure.Result) float64 { return r.Worth }
	random, oracle := math.NaN(), math.NaN()
	for _, g := range s.Groups {
		switch g.Rows[0].Chooser {
		case "random":
			random = g.Mean(worth)
		case "oracle":
			oracle = g.Mean(worth)
		}
	}
	var all []Line
	for _, g := range s.Groups {
		tries := g.Mean(func(r *measure.Result) float64 { return float64(max(r.Tries, 1)) })
		share := func(of func(r *measure.Result) int) float64 {
			return g.Mean(func(r *measure.Result) float64 { return float64(of(r)) }) / tries
		}
		l := Line{Name: g.Name, Plays: len(g.Rows), Worth: g.Mean(worth), Way: "-",
			Served:    share(func(r *measure.Result) int { return r.Served }),
			Refused:   share(func(r *measure.Result) int { return r.Refused }),
			Failed:    share(func(r *measure.Result) int { return r.Failed + r.Lost }),
			Needless:  1000 * share(func(r *measure.Result) int { return r.Needless }),
			Waste:     g.Mean(func(r *measure.Result) float64 { return r.Waste }),
			P99:       g.Mean(func(r *measure.Result) float64 { return r.WorstP99() }),
			Imbalance: g.Mean(func(r *measure.Result) float64 { return r.Imbalance }),
			Connects:  g.Mean(func(r *measure.Result) float64 { return float64(r.Connects) }),
			Retry:     g.Mean(func(r *measure.Result) float64 { return r.Retries }),
			Repeated:  perThousandBegun(g, func(r *measure.Result) int { return r.Repeated }),
			Nobody:    perThousandBegun(g, func(r *measure.Result) int { return r.AfterEnd }),
			Memory:    "-", CPU: "-"}
		if oracle-random > 0.005 {
			l.Way = fmt.Sprintf("%.2f", (l.Worth-random)/(oracle-random))
		}
		most, cpu := 0.0, 0.0
		for _, r := range g.Rows {
			l.Breaches += r.Result.Breaches
			for _, a := range r.Result.Agents {
				most, cpu = max(most, a.MemoryMB), max(cpu, a.CPU)
			}
		}
		if most > 0 {
			l.Memory, l.CPU = fmt.Sprintf("%.0f", most), fmt.Sprintf("%.2f", cpu)
		}
		all = append(all, l)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Worth > all[j].Worth })
	return all
}

// perThousandBegun returns the mean of a counter per thousand starts of work.
func perThousandBegun(g *Group, of func(r *measure.Result) int) float64 {
	return g.Mean(func(r *measure.Result) float64 { return 1000 * float64(of(r)) / float64(max(r.Begun, 1)) })
}

// Text writes a table for a terminal.
func Text(w io.Writer, rows []*trial.Row) error {
	all, void := GroupByScenario(rows)
	for _, s := range all {
		fmt.Fprintf(w, "%s\n", s.Name)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "\tplays\tworth\tway\tserved\trefused\tfailed\tneedless ‰\twaste\trepeated ‰\tfor nobody ‰\tp99 ms\timbalance\tconnects\tretries\tbreaches\tMB\tcores\t")
		for _, l := range s.Lines() {
			fmt.Fprintf(t, "%s\t%d\t%.4f\t%s\t%.4f\t%.4f\t%.4f\t%.2f\t%.4f\t%.2f\t%.2f\t%.0f\t%.2f\t%.0f\t%.4f\t%d\t%s\t%s\t\n", l.Name, l.Plays, l.Worth, l.Way, l.Served,
				l.Refused, l.Failed, l.Needless, l.Waste, l.Repeated, l.Nobody, l.P99, l.Imbalance, l.Connects, l.Retry, l.Breaches, l.Memory, l.CPU)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		for _, g := range ByName(s.Groups) {
			for _, r := range g.Rows[:1] {
				for _, e := range r.Result.Recovered {
					fmt.Fprintf(w, "  %s, seed %d: %s at %.0f s: worth %.3f before, %.3f at the least, %s\n", g.Name, r.Seed, e.Kind, e.At/1000, e.Before, e.Lowest, Recovery(e.After))
				}
				for _, b := range r.Result.Broken {
					fmt.Fprintf(w, "  %s, seed %d: BROKEN at %.0f ms: %s: %s\n", g.Name, r.Seed, b.At, b.Rule, b.Story)
				}
			}
		}
	}
	if void > 0 {
		fmt.Fprintf(w, "%d plays do not count\n", void)
	}
	return nil
}

// Points writes the points of a sweep, and the knee of each chooser if there is one axis.
func Points(w io.Writer, points []trial.Point, axes []trial.Axis) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, a := range axes {
		fmt.Fprintf(t, "%s\t", a.Knob)
	}
	fmt.Fprintln(t, "chooser\tworth\tp99 ms\tbreaches\t")
	curves := map[string][2][]float64{}
	var order []string
	for _, p := range points {
		for _, a := range axes {
			fmt.Fprintf(t, "%v\t", p.Set[a.Knob])
		}
		breaches := 0
		for _, r := range p.Rows {
			breaches += r.Result.Breaches
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.0f\t%d\t\n", p.Chooser, p.Worth, p.P99, breaches)
		c, known := curves[p.Chooser]
		if !known {
			order = append(order, p.Chooser)
		}
		curves[p.Chooser] = [2][]float64{append(c[0], p.Set[axes[0].Knob]), append(c[1], p.Worth)}
	}
	t.Flush()
	if len(axes) > 1 {
		return
	}
	for _, name := range order {
		if at, ok := trial.Knee(curves[name][0], curves[name][1]); ok {
			fmt.Fprintf(w, "%s: the knee is at %s = %v\n", name, axes[0].Knob, at)
		} else {
			fmt.Fprintf(w, "%s: no knee\n", name)
		}
	}
}

// Recovery returns a text for an event's recovery time.
func Recovery(ms float64) string {
	switch {
	case ms < 0:
		return "not back until the end"
	case ms == 0:
		return "not felt"
	}
	return fmt.Sprintf("back after %.2f s", ms/1000)
}

// ByName sorts groups by name, those of the agent's own chooser first.
func ByName(groups []*Group) []*Group {
	all := slices.Clone(groups)
	slices.SortStableFunc(all, func(a, b *Group) int {
		first := func(g *Group) int {
			if g.Rows[0].Chooser == "molepaddle" {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(first(a), first(b)), strings.Compare(a.Name, b.Name))
	})
	return all
}
