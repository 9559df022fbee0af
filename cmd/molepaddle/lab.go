package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"molepaddle/internal/rig/lab/choose"
	"molepaddle/internal/rig/lab/report"
	"molepaddle/internal/rig/lab/trial"
	"molepaddle/internal/rig/scenario"
)

// labFlags are the flags that the commands that play scenarios share.
type labFlags struct {
	live      bool
	processes bool
	file      string
	set       []string
	seeds     int
	from      uint64
	jobs      int
}

func (f *labFlags) add(cmd *cobra.Command, seeds int) {
	cmd.Flags().BoolVar(&f.live, "live", false, "play over loopback sockets in real time; default: the model in virtual time")
	cmd.Flags().BoolVar(&f.processes, "processes", false, "play live, with each agent a process of this program")
	cmd.Flags().StringVarP(&f.file, "out", "o", "", "store rows in this file; runs that it has are not played again")
	cmd.Flags().StringArrayVar(&f.set, "set", nil, "change a knob, such as load=0.8 ('lab list' names them)")
	cmd.Flags().IntVar(&f.seeds, "seeds", seeds, "how many seeds")
	cmd.Flags().Uint64Var(&f.from, "from", 1, "the first seed")
	cmd.Flags().IntVar(&f.jobs, "jobs", runtime.NumCPU(), "plays of the model at once")
}

// loadScenario loads a scenario and applies the knobs of --set.
func (f *labFlags) loadScenario(name string) (*scenario.Scenario, error) {
	s, err := scenario.Load(name)
	if err != nil {
		return nil, err
	}
	for _, text := range f.set {
		knob, value, ok := strings.Cut(text, "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return nil, usageError{fmt.Errorf("--set %q: want a knob and a number", text)}
		}
		if err := s.Set(knob, x); err != nil {
			return nil, usageError{fmt.Errorf("--set %w", err)}
		}
	}
	return s, nil
}

// parseVariant parses a variant; with --processes, its agents are processes of this program.
func (f *labFlags) parseVariant(text string) (trial.Variant, error) {
	v, err := trial.ParseVariant(text)
	if err != nil {
		return v, usageError{err}
	}
	f.live = f.live || f.processes || v.Binary != ""
	if f.processes && v.Binary == "" {
		if v.Binary, err = os.Executable(); err != nil {
			return v, err
		}
	}
	return v, nil
}

// softMemory is the soft memory limit of the lab's Go runtime, in bytes: a thousand agents with three
// thousand servers each take most of it.
const softMemory = 900 << 20

// openLab opens the file of rows and prints a notice if an incomplete last row was removed. The caller must call end.
func (f *labFlags) openLab(out io.Writer) (l *trial.Lab, end func(), err error) {
	debug.SetMemoryLimit(softMemory)
	store, err := trial.Open(f.file)
	if err != nil {
		return nil, nil, err
	}
	if store.Truncated {
		fmt.Fprintf(out, "%s ended in the middle of a row, which was taken off\n", f.file)
	}
	p := newProgress(out)
	return &trial.Lab{Store: store, Live: f.live, Jobs: f.jobs, Out: p, Tick: p.tick}, func() { p.end(); store.Close() }, nil
}

// progress writes to out, and shows a progress bar on standard error if out is a terminal.
type progress struct {
	mu  sync.Mutex
	out io.Writer
	bar *progressbar.ProgressBar
}

func newProgress(out io.Writer) *progress {
	p := &progress{out: out}
	if f, ok := out.(*os.File); ok {
		if term.IsTerminal(int(f.Fd())) {
			p.bar = progressbar.NewOptions(1000, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(),
				progressbar.OptionThrottle(100*time.Millisecond), progressbar.OptionSetDescription("this play"), progressbar.OptionSetWidth(40))
		}
	}
	return p
}

func (p *progress) tick(part float64) {
	if p.bar != nil {
		p.mu.Lock()
		_ = p.bar.Set(int(1000 * part))
		p.mu.Unlock()
	}
}

func (p *progress) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bar != nil {
		_ = p.bar.Clear()
	}
	return p.out.Write(b)
}

func (p *progress) end() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}

// violationError returns errViolation if one of the rows violated a rule or is void.
func violationError(rows []*trial.Row) error {
	if slices.ContainsFunc(rows, func(r *trial.Row) bool { return r.Result.Breaches > 0 || r.Result.Void != "" }) {
		return errViolation
	}
	return nil
}

func labCommand(out io.Writer) *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Play deployments with their failures, compare and report", Args: checkArgs(noArgs),
		Long: "Scenarios describe a deployment and its failures; 'lab list' names those that are shipped,\na path names one of your own. They are played in virtual time, or live over loopback sockets.",
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	lab.AddCommand(labList(out), labRun(out), labCompare(out), labSweep(out), labReport(out), labLoss(out))
	return lab
}

func completeScenario(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return scenario.Names(), cobra.ShellCompDirectiveDefault
}

func labList(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Name scenarios, choosers, knobs, metrics and events", Args: checkArgs(noArgs),
		RunE: func(*cobra.Command, []string) error {
			fmt.Fprintln(out, "scenarios:")
			for _, n := range scenario.Names() {
				s, err := scenario.Load(n)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "  %-18s %s\n", n, s.Question)
			}
			fmt.Fprintf(out, "choosers: %s\n", strings.Join(choose.Names, ", "))
			table := func(title string, of map[string]string) {
				fmt.Fprintln(out, title)
				var keys []string
				for k := range of {
					keys = append(keys, k)
				}
				slices.Sort(keys)
				for _, k := range keys {
					fmt.Fprintf(out, "  %-18s %s\n", k, of[k])
				}
			}
			table("knobs:", scenario.Knobs)
			table("events:", scenario.Kinds)
			var metrics []string
			for m := range trial.Metrics {
				metrics = append(metrics, m)
			}
			slices.Sort(metrics)
			fmt.Fprintf(out, "metrics: %s\n", strings.Join(metrics, ", "))
			return nil
		}}
}

func labRun(out io.Writer) *cobra.Command {
	f := &labFlags{}
	var variants []string
	all := false
	cmd := &cobra.Command{Use: "run SCENARIO...", Short: "Play scenarios and print the results", Args: checkArgs(cobra.MinimumNArgs(1)), ValidArgsFunction: completeScenario,
		Example: "  molepaddle lab run zone-lost\n  molepaddle lab run calm bursts --all --seeds 3 -o rows.jsonl\n  molepaddle lab run calm --processes",
		RunE: untilSignal(func(ctx context.Context, args []string) error {
			if all {
				variants = choose.Names
			}
			if len(variants) == 0 {
				variants = []string{"default"}
			}
			var vs []trial.Variant
			for _, text := range variants {
				v, err := f.parseVariant(text)
				if err != nil {
					return err
				}
				vs = append(vs, v)
			}
			var scenes []*scenario.Scenario
			for _, a := range args {
				s, err := f.loadScenario(a)
				if err != nil {
					return err
				}
				scenes = append(scenes, s)
			}
			l, end, err := f.openLab(out)
			if err != nil {
				return err
			}
			rows, err := l.Play(ctx, scenes, vs, f.seeds, f.from)
			end()
			if len(rows) > 0 {
				if err := report.Text(out, rows); err != nil {
					return err
				}
			}
			return errors.Join(err, violationError(rows))
		})}
	f.add(cmd, 1)
	cmd.Flags().StringArrayVarP(&variants, "variant", "v", nil, "a variant of the agents, such as chooser=p2c-least,load=0.9; may be repeated")
	cmd.Flags().BoolVar(&all, "all", false, "with every chooser")
	return cmd
}

func labCompare(out io.Writer) *cobra.Command {
	f := &labFlags{}
	o := trial.CompareOptions{}
	cmd := &cobra.Command{Use: "compare SCENARIO A B", Short: "Test whether variant B is better or worse than A", Args: checkArgs(cobra.ExactArgs(3)), ValidArgsFunction: completeScenario,
		Example: "  molepaddle lab compare zone-lost default p2c-least\n  molepaddle lab compare calm bin=old/molepaddle bin=bin/molepaddle --within 0.005",
		Long:    "Both are played in turn over the same seeds, until the 95 % interval of the difference is as narrow\nas --within or --most pairs are played.",
		RunE: untilSignal(func(ctx context.Context, args []string) error {
			a, err := f.parseVariant(args[1])
			if err != nil {
				return err
			}
			b, err := f.parseVariant(args[2])
			if err != nil {
				return err
			}
			s, err := f.loadScenario(args[0])
			if err != nil {
				return err
			}
			l, end, err := f.openLab(out)
			if err != nil {
				return err
			}
			o.FirstSeed = f.from
			v, err := l.Compare(ctx, s, a, b, o)
			end()
			if err != nil {
				return err
			}
			fmt.Fprintln(out, v)
			if v.Void > 0 {
				fmt.Fprintf(out, "%d pairs did not count\n", v.Void)
			}
			return violationError(v.Rows)
		})}
	f.add(cmd, 0)
	cmd.Flags().Lookup("seeds").Hidden = true
	cmd.Flags().StringVar(&o.Metric, "metric", "worth", "what to compare by ('lab list' names them)")
	cmd.Flags().Float64Var(&o.HalfWidth, "within", 0.002, "half-width of the interval at which to stop")
	cmd.Flags().IntVar(&o.MinPairs, "least", 6, "pairs at the least")
	cmd.Flags().IntVar(&o.MaxPairs, "most", 40, "pairs at the most")
	cmd.Flags().BoolVar(&o.Unpaired, "unpaired", false, "play B with its own seeds")
	return cmd
}

func labSweep(out io.Writer) *cobra.Command {
	f := &labFlags{}
	var over, choosers []string
	cmd := &cobra.Command{Use: "sweep SCENARIO --over KNOB=VALUES", Short: "Play a grid of sizes or loads and find the knee", Args: checkArgs(cobra.ExactArgs(1)), ValidArgsFunction: completeScenario,
		Example: "  molepaddle lab sweep calm --over load=0.3:3:0.3 --choosers molepaddle,p2c-least -o sweep.jsonl",
		RunE: untilSignal(func(ctx context.Context, args []string) error {
			var axes []trial.Axis
			for _, text := range over {
				a, err := trial.ParseAxis(text)
				if err != nil {
					return usageError{err}
				}
				axes = append(axes, a)
			}
			if len(axes) == 0 {
				return usageError{errors.New("lab sweep: --over is needed, such as --over load=0.3:3:0.3")}
			}
			for _, c := range choosers {
				if _, err := f.parseVariant(c); err != nil {
					return err
				}
			}
			s, err := f.loadScenario(args[0])
			if err != nil {
				return err
			}
			l, end, err := f.openLab(out)
			if err != nil {
				return err
			}
			points, err := l.Sweep(ctx, s, choosers, axes, f.seeds, f.from)
			end()
			if err != nil {
				return err
			}
			report.Points(out, points, axes)
			var rows []*trial.Row
			for _, p := range points {
				rows = append(rows, p.Rows...)
			}
			return violationError(rows)
		})}
	f.add(cmd, 2)
	cmd.Flags().StringArrayVar(&over, "over", nil, "a knob and its values: 1,2,3 or from:to:step or from:to:xFACTOR; may be repeated")
	cmd.Flags().StringSliceVar(&choosers, "choosers", []string{"molepaddle"}, "choosers to play")
	return cmd
}

func labReport(out io.Writer) *cobra.Command {
	html, bench := "", ""
	cmd := &cobra.Command{Use: "report FILE...", Short: "Make a table or a page with plots of stored rows", Args: checkArgs(cobra.MinimumNArgs(1)),
		Example: "  molepaddle lab report rows.jsonl --html report.html",
		RunE: func(_ *cobra.Command, args []string) error {
			if html == "" {
				rows, err := trial.Load(args)
				if err != nil {
					return err
				}
				return report.Text(out, rows)
			}
			return writePlots(args, html, bench, out)
		}}
	cmd.Flags().StringVar(&html, "html", "", "write one file with all plots to this path")
	cmd.Flags().StringVar(&bench, "bench", "", "output of `go test -bench Decide ./internal/rig/lab/model`, for a plot of the cost of decisions")
	return cmd
}

// writePlots writes a page with the program molepaddle-writePlots, which must be in the directory of this program.
func writePlots(files []string, html, bench string, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(self), "molepaddle-plots")
	if _, err := os.Stat(program); err != nil {
		return errors.New("lab report: molepaddle-plots does not stand beside this program; go build -o bin/ ./cmd/... makes both")
	}
	if bench != "" {
		files = append([]string{"--bench", bench}, files...)
	}
	f, err := os.Create(html)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, files...)
	cmd.Stdout, cmd.Stderr = f, os.Stderr
	if err := errors.Join(cmd.Run(), f.Close()); err != nil {
		os.Remove(html)
		return fmt.Errorf("lab report: %w", err)
	}
	fmt.Fprintln(out, "the page is", html)
	return nil
}
