package trial

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/scenario"
)

func loadScenario(t *testing.T, name string, seconds float64) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Set("length", seconds); err != nil {
		t.Fatal(err)
	}
	return s
}

func openStore(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func mustParseVariant(t *testing.T, text string) Variant {
	t.Helper()
	v, err := ParseVariant(text)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Rows are persistent: a stored play is not run again, and a row that a crash truncated at any byte is
// played again with the same result.
func TestRowsAreKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rows.jsonl")
	s, vs := loadScenario(t, "demo", 4), []Variant{{Name: "default"}, mustParseVariant(t, "random")}
	play := func() ([]*Row, string, bool) {
		store, said := openStore(t, path), strings.Builder{}
		rows, err := (&Lab{Store: store, Out: &said}).Play(t.Context(), []*scenario.Scenario{s}, vs, 2, 5)
		if err != nil || len(rows) != 4 {
			t.Fatal(len(rows), err)
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
		return rows, said.String(), store.Truncated
	}
	first, said, _ := play()
	if strings.Count(said, "\n") != 4 || first[0].Seed != 5 || first[3].Chooser != "random" || first[0].Servers != 3 {
		t.Fatalf("%+v\n%s", first[0], said)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if again, said, cut := play(); said != "" || cut || !reflect.DeepEqual(again[0].Result.Series, first[0].Result.Series) {
		t.Errorf("played again: %q, cut %v", said, cut)
	}
	lines := strings.SplitAfter(string(whole), "\n")
	start := len(whole) - len(lines[3])
	for _, end := range []int{start + 1, start + len(lines[3])/2, len(whole) - 1} {
		if err := os.WriteFile(path, whole[:end], 0o644); err != nil {
			t.Fatal(err)
		}
		again, said, cut := play()
		if !cut || strings.Count(said, "\n") != 1 || again[3].Result.Worth != first[3].Result.Worth {
			t.Errorf("cut at %d: %v, %q", end, cut, said)
		}
		if got, err := Load([]string{path, path}); err != nil || len(got) != 8 || got[2].Variant != first[2].Variant {
			t.Errorf("cut at %d: %d rows, %v", end, len(got), err)
		}
	}
}

// A file with any other content is rejected with an error that names the line, and is not changed. A
// file that another program has locked is rejected too.
func TestRowsOfOthers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rows.jsonl")
	for text, want := range map[string]string{
		"{\"v\":2}\n":                    "rows.jsonl:1: v: is 2",
		"{}\n":                           "v: not set",
		"words\n":                        "invalid row",
		"{\"v\":1,\"scenario\":\"x\"}\n": "without scenario or result",
		"{\"v\":1,\"scenario\":\"x\",\"other\":1}\n":        "unknown field",
		"{\"v\":1,\"scenario\":\"x\",\"result\":{}}\n\n":    ":2: invalid row",
		"{\"v\":1,\"result\":{}}\n{\"v\":1,\"scenario\":\"": "without scenario",
	} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if _, err := Load([]string{path}); err == nil {
			t.Errorf("%q is loaded", text)
		}
		if got, _ := os.ReadFile(path); string(got) != text {
			t.Errorf("%q was changed to %q", text, got)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	openStore(t, path)
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "another program") {
		t.Errorf("opened twice: %v", err)
	}
}

func FuzzRow(f *testing.F) {
	f.Add([]byte(`{"v":1,"scenario":"demo","result":{"worth":0.5}}`))
	f.Add([]byte(`{"v":1,"scenario":"demo","set":{"load":1e309},"result":null}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		if r, err := parse(line); err == nil && (r.Result == nil || r.V != Version) {
			t.Error("an invalid row was accepted")
		}
	})
}

// After an interrupt the completed plays are stored, and the same call resumes after them.
func TestInterrupted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "rows.jsonl")
	s := loadScenario(t, "demo", 4)
	ctx, cancel := context.WithCancel(t.Context())
	l := &Lab{Store: openStore(t, path), Jobs: 2}
	l.Out = writer(func() { cancel() })
	rows, err := l.Play(ctx, []*scenario.Scenario{s}, []Variant{{Name: "default"}}, 30, 1)
	if !errors.Is(err, context.Canceled) || len(rows) == 0 || len(rows) == 30 {
		t.Fatal(len(rows), err)
	}
	had := len(rows)
	more := 0
	l.Out = writer(func() { more++ })
	l.Jobs = 1
	if rows, err = l.Play(t.Context(), []*scenario.Scenario{s}, []Variant{{Name: "default"}}, 30, 1); err != nil || len(rows) != 30 || more != 30-had {
		t.Errorf("%d rows, %d played after %d, %v", len(rows), more, had, err)
	}
	// A running play is interrupted too.
	ctx, cancel = context.WithCancel(t.Context())
	l.Tick = func(part float64) { cancel() }
	start := time.Now()
	long := loadScenario(t, "calm", 600)
	if rows, err = l.Play(ctx, []*scenario.Scenario{long}, []Variant{{Name: "default"}}, 1, 1); !errors.Is(err, context.Canceled) || len(rows) != 0 {
		t.Errorf("%d rows, %v, after %v", len(rows), err, time.Since(start))
	}
}

type writer func()

func (w writer) Write(b []byte) (int, error) { w(); return len(b), nil }

func TestParseVariant(t *testing.T) {
	got := mustParseVariant(t, "chooser=p2c-least,load=0.9,operator=o.toml,bin=old/molepaddle")
	want := Variant{Name: got.Name, Chooser: "p2c-least", Set: map[string]float64{"load": 0.9}, Operator: "o.toml", Binary: "old/molepaddle"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
	for _, bad := range []string{"", "best", "chooser=best", "load=", "load=NaN", "load=x", "load=1,load=2", "weather=1", ",", "=1"} {
		if v, err := ParseVariant(bad); err == nil {
			t.Errorf("%q is %+v", bad, v)
		}
	}
}

// The hash of a play depends on knobs, chooser and the operator's file; an invalid variant is rejected
// before any play.
func TestPlan(t *testing.T) {
	dir := t.TempDir()
	s := loadScenario(t, "demo", 4)
	l := &Lab{Store: openStore(t, "")}
	file := filepath.Join(dir, "o.toml")
	if err := os.WriteFile(file, []byte("[fleet]\non = true\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	seen := map[string]string{}
	for _, text := range []string{"default", "random", "load=0.5", "load=0.6", "operator=" + file, "operator=" + file + ",load=0.5"} {
		j, err := l.plan(s, mustParseVariant(t, text), 1)
		if err != nil {
			t.Fatal(err)
		}
		if was := seen[j.row.Hash]; was != "" {
			t.Errorf("%s and %s share a hash", text, was)
		}
		seen[j.row.Hash] = text
		if (j.fleet != nil) != strings.Contains(text, "operator=") {
			t.Errorf("%s: fleet %v", text, j.fleet)
		}
	}
	if s.Load() == 0.6 {
		t.Error("the scenario itself was changed")
	}
	// The operator file that the scenario names is relative to the scenario's folder.
	s.Dir, s.Agent.Operator = dir, "o.toml"
	if j, err := l.plan(s, Variant{Name: "default"}, 1); err != nil || j.fleet == nil {
		t.Errorf("%+v, %v", j, err)
	}
	live := &Lab{Store: openStore(t, ""), Live: true}
	for text, by := range map[string]*Lab{"bin=" + file: l, "load=-1": l, "length=0": l, "operator=" + dir + "/none": l, "bin=" + dir + "/none": live, "chooser=random,bin=" + file: live} {
		if rows, err := by.Play(t.Context(), []*scenario.Scenario{s}, []Variant{mustParseVariant(t, text)}, 1, 1); err == nil || rows != nil {
			t.Errorf("%s: %d rows, %v", text, len(rows), err)
		}
	}
	if _, err := l.Play(t.Context(), []*scenario.Scenario{s}, []Variant{{Name: "default"}}, maxPlays+1, 1); err == nil {
		t.Error("more plays than the limit are accepted")
	}
}

// An injected difference of 2 % in load is detected in both directions, better or worse by the metric's
// sense. Comparing equal variants shows a difference in about one of twenty cases, as expected of a
// 95 % interval.
func TestCompare(t *testing.T) {
	l := &Lab{Store: openStore(t, ""), Jobs: 4}
	s := loadScenario(t, "calm", 20)
	if err := s.Set("load", 1.5); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		a, b, metric, better string
	}{
		{"default", "load=1.53", "worth", "worse"},
		{"load=1.53", "default", "worth", "better"},
		{"default", "load=1.53", "refused", "worse"},
	} {
		v, err := l.Compare(t.Context(), s, mustParseVariant(t, c.a), mustParseVariant(t, c.b), CompareOptions{Metric: c.metric, MinPairs: 6, MaxPairs: 40, HalfWidth: 0.001, FirstSeed: 1})
		if err != nil {
			t.Fatal(err)
		}
		if v.Better != c.better || !strings.Contains(v.String(), c.better) || len(v.Rows) != 2*v.Pairs {
			t.Errorf("%s, %s: %s", c.a, c.b, v)
		}
	}
	wrong := 0
	for i := range 20 {
		v, err := l.Compare(t.Context(), loadScenario(t, "demo", 4), Variant{Name: "default"}, mustParseVariant(t, "load-factor=1"),
			CompareOptions{MinPairs: 6, MaxPairs: 6, FirstSeed: uint64(100 * i), Unpaired: i > 0})
		if err != nil {
			t.Fatal(err)
		}
		if v.Better != "" {
			wrong++
		}
		if (v.A == v.B) != (i == 0) || !strings.Contains(v.String(), "6 pairs") {
			t.Errorf("null comparison %d: %s", i, v)
		}
	}
	if wrong > 2 {
		t.Errorf("%d of 20 null comparisons find a difference", wrong)
	}
	for _, o := range []CompareOptions{{MinPairs: 1, MaxPairs: 2}, {MinPairs: 3, MaxPairs: 2}, {MinPairs: 2, MaxPairs: 3, Metric: "beauty"}, {MinPairs: 2, MaxPairs: 3, HalfWidth: math.NaN()}, {MinPairs: 2, MaxPairs: maxPlays}} {
		if _, err := l.Compare(t.Context(), s, Variant{}, Variant{}, o); err == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
}

// The interval contains the true difference in about 95 of 100 cases, also with few pairs, and a
// comparison stops by its width.
func TestInterval(t *testing.T) {
	for _, c := range []struct {
		n        int
		unpaired bool
	}{{5, false}, {20, false}, {8, true}} {
		rng, held := rand.New(rand.NewPCG(1, uint64(c.n))), 0
		for range 400 {
			var a, b []float64
			for range c.n {
				base := rng.NormFloat64()
				other := base
				if c.unpaired {
					other = rng.NormFloat64()
				}
				a, b = append(a, base), append(b, other+0.01+0.1*rng.NormFloat64())
			}
			if low, high := interval(a, b, c.unpaired); low <= 0.01 && 0.01 <= high {
				held++
			}
		}
		if held < 360 || held > 396 {
			t.Errorf("%d pairs, unpaired %v: %d of 400 held the difference", c.n, c.unpaired, held)
		}
	}
	v := &Verdict{}
	if v.update([]float64{1, 1}, []float64{1, 1}, CompareOptions{MinPairs: 3}, true) || !v.update([]float64{1, 1, 1}, []float64{1, 1, 1}, CompareOptions{MinPairs: 3}, true) || v.Better != "" {
		t.Errorf("%+v", v)
	}
	if got := (&Verdict{Metric: "worth"}).String(); !strings.Contains(got, "nothing to say") {
		t.Error(got)
	}
}

// A pair with a void play is left out and counted.
func TestCompareVoid(t *testing.T) {
	l := &Lab{Store: openStore(t, "")}
	s := loadScenario(t, "demo", 4)
	rows, err := l.Play(t.Context(), []*scenario.Scenario{s}, []Variant{{Name: "default"}}, 8, 1)
	if err != nil {
		t.Fatal(err)
	}
	rows[1].Result.Void = "late"
	rows[4].Result.Void = "late"
	v, err := l.Compare(t.Context(), s, Variant{Name: "default"}, mustParseVariant(t, "random"), CompareOptions{MinPairs: 3, MaxPairs: 8, FirstSeed: 1, HalfWidth: 1})
	if err != nil || v.Pairs != 3 || v.Void != 1 || v.Rows[2].Seed != 3 {
		t.Errorf("%+v, %v", v, err)
	}
}

func TestParseAxis(t *testing.T) {
	for text, want := range map[string][]float64{
		"load=0.3:3:0.3":    {0.3, 0.6, 0.9, 1.2, 1.5, 1.8, 2.1, 2.4, 2.7, 3},
		"servers=3:300:x10": {3, 30, 300},
		"agents=1,10,100":   {1, 10, 100},
		"load=1:1.5:1":      {1},
	} {
		if a, err := ParseAxis(text); err != nil || !reflect.DeepEqual(a.Values, want) {
			t.Errorf("%s: %v, %v", text, a, err)
		}
	}
	for _, bad := range []string{"load", "load=", "weather=1", "load=3:1:1", "load=1:2:0", "load=1:2", "load=0:8:x2", "load=1:8:x1", "load=0:1:1e-9", "load=1,1", "load=1,x", "load=1:2:Inf"} {
		if a, err := ParseAxis(bad); err == nil {
			t.Errorf("%s: %d values", bad, len(a.Values))
		}
	}
}

// A sweep plays its grid in order.
func TestSweep(t *testing.T) {
	l := &Lab{Store: openStore(t, ""), Jobs: 4}
	axes := []Axis{{"load", []float64{1.5, 0.25, 1, 3}}, {"retries", []float64{0, 2}}}
	points, err := l.Sweep(t.Context(), loadScenario(t, "calm", 10), []string{"p2c-least", "random"}, axes, 2, 1)
	if err != nil || len(points) != 16 {
		t.Fatal(len(points), err)
	}
	p := points[3]
	if p.Set["load"] != 0.25 || p.Set["retries"] != 2 || len(p.Rows) != 2 || p.Rows[1].Seed != 2 || p.Worth != (p.Rows[0].Result.Worth+p.Rows[1].Result.Worth)/2 || !(p.P99 > 0) {
		t.Errorf("%+v", p)
	}
	if points[15].Chooser != "random" || points[15].Rows[0].Variant != "chooser=random,load=3,retries=2" || !reflect.DeepEqual(points[15].Rows[0].Set, points[15].Set) {
		t.Errorf("%+v", points[15])
	}
	if math.Abs(points[7].Rows[0].Load-3) > 1e-9 {
		t.Error(points[7].Rows[0].Load)
	}
	for _, bad := range [][]Axis{{axes[0], axes[0]}, {{"load", []float64{-1}}}, {{"load", make([]float64, 1000)}, {"agents", make([]float64, 1000)}}} {
		if _, err := l.Sweep(t.Context(), loadScenario(t, "calm", 10), []string{"random"}, bad, 1, 1); err == nil {
			t.Errorf("%v is accepted", bad[0].Knob)
		}
	}
}

func TestKnee(t *testing.T) {
	xs := []float64{3, 0.5, 1.5, 1, 2, 0.25}
	var falls, flat, line []float64
	for _, x := range xs {
		falls = append(falls, math.Min(1, 1/x))
		flat = append(flat, 1-0.001*x)
		line = append(line, 1-0.3*x)
	}
	if at, ok := Knee(xs, falls); !ok || at != 1 {
		t.Error(at, ok)
	}
	for _, ys := range [][]float64{flat, line, {math.NaN(), 1, 1, 1, 1, 1}} {
		if at, ok := Knee(xs, ys); ok {
			t.Error("a knee at", at, "of", ys)
		}
	}
	if _, ok := Knee([]float64{1, 1, 1}, []float64{3, 2, 1}); ok {
		t.Error("a knee for one x only")
	}
}

// Each metric reads a different figure.
func TestMetrics(t *testing.T) {
	v := reflect.New(reflect.TypeFor[measure.Result]()).Elem()
	for i := range v.NumField() {
		switch f := v.Field(i); f.Kind() {
		case reflect.Int:
			f.SetInt(int64(1000 + 10*i))
		case reflect.Float64:
			f.SetFloat(float64(2000 + 10*i))
		}
	}
	r := v.Addr().Interface().(*measure.Result)
	r.Classes = []measure.Class{{Latency: measure.Latency{P99: 7}}, {Latency: measure.Latency{P99: 9}}}
	seen := map[float64]string{}
	for name, m := range Metrics {
		x := m.Value(r)
		if seen[x] != "" || x == 0 {
			t.Errorf("%s and %s are both %v", name, seen[x], x)
		}
		seen[x] = name
	}
	if got := fmt.Sprint(Metrics["p99"].Value(r), Metrics["nobody"].Value(r) == float64(r.AfterEnd), Metrics["worth"].HigherIsBetter, Metrics["waste"].HigherIsBetter); got != "9 true true false" {
		t.Error(got)
	}
}
