package page

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"molepaddle/internal/rig/lab/report"
	"molepaddle/internal/rig/lab/trial"
	"molepaddle/internal/rig/scenario"
)

func rows(t *testing.T) (plain, swept []*trial.Row) {
	t.Helper()
	store, err := trial.Open("")
	if err != nil {
		t.Fatal(err)
	}
	l := &trial.Lab{Store: store, Jobs: 4}
	s, err := scenario.Load("demo")
	if err != nil {
		t.Fatal(err)
	}
	var vs []trial.Variant
	for _, c := range []string{"molepaddle", "random", "oracle"} {
		vs = append(vs, trial.Variant{Name: "chooser=" + c, Chooser: c})
	}
	if plain, err = l.Play(t.Context(), []*scenario.Scenario{s}, vs, 2, 1); err != nil {
		t.Fatal(err)
	}
	points, err := l.Sweep(t.Context(), s, []string{"molepaddle"}, []trial.Axis{{Knob: "load", Values: []float64{0.2, 0.8, 1.5, 3}}}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range points {
		swept = append(swept, p.Rows...)
	}
	return plain, swept
}

// The page is self-contained: well-formed plots of all kinds, labelled with units, without external
// references. Void plays are counted and left out.
func TestPage(t *testing.T) {
	plain, swept := rows(t)
	bad := *plain[0]
	r := *bad.Result
	r.Void = "late"
	bad.Result = &r
	bench := []byte("BenchmarkDecide/servers=3/open=1-4 \t 300\t 1907 ns/op\nBenchmarkDecide/servers=300/open=1-4 \t 300\t 12969 ns/op\n")
	for _, c := range []struct {
		rows []*trial.Row
		want []string
	}{
		{append([]*trial.Row{&bad}, plain...), []string{"Worth over time", "1 plays do not count", "latency of served requests, ms", "How busy", "1: fail", "one of", "servers in the list"}},
		{swept, []string{"Worth over load; the knee", "99th percentile, ms", "load=0.8"}},
	} {
		var b bytes.Buffer
		if err := HTML(&b, c.rows, bench, func(string) string { return "one of three?" }); err != nil {
			t.Fatal(err)
		}
		text := b.String()
		for _, w := range c.want {
			if !strings.Contains(text, w) {
				t.Errorf("the page lacks %q", w)
			}
		}
		if strings.Contains(text, "src=") || strings.Contains(text, "href=\"http") {
			t.Error("the page has external references")
		}
		for _, part := range strings.Split(text, "<svg")[1:] {
			svg := "<svg" + part[:strings.Index(part, "</svg>")+6]
			d := xml.NewDecoder(strings.NewReader(svg))
			var err error
			for err == nil {
				_, err = d.Token()
			}
			if !errors.Is(err, io.EOF) {
				t.Errorf("invalid SVG: %v", err)
			}
		}
	}
	if err := HTML(io.Discard, plain, []byte("nothing"), func(string) string { return "" }); err == nil {
		t.Error("output without benchmarks is accepted")
	}
}

// The table contains each variant, its position between random and oracle, and violated rules.
func TestText(t *testing.T) {
	plain, _ := rows(t)
	plain[0].Result.Breaches++
	var b strings.Builder
	if err := report.Text(&b, plain); err != nil {
		t.Fatal(err)
	}
	for _, w := range []string{"chooser=random", "chooser=oracle", "way", "fail at 2 s"} {
		if !strings.Contains(b.String(), w) {
			t.Errorf("the table lacks %q:\n%s", w, &b)
		}
	}
}

// A record of the agents' changes yields spans by phase; the last span of a machine stays open, and an
// invalid line is named.
func TestOutages(t *testing.T) {
	record := []string{"100 r1 m1: asked -> emptying: its turn", "130 r1 m1: emptying -> granted: empty", "140 r2 m2: asked -> emptying: its turn", "150 r1 m1: granted -> out: taken under permit 1",
		"160 r2 m2: emptying -> asked: withdrawn: b", "400 r1 m1: out -> returning: done", "500 r1 m1: returning -> done: warm", "600 r3 m3: asked -> emptying: its turn"}
	spans, err := Spans(record, 660)
	if err != nil || len(spans) != 6 {
		t.Fatalf("%+v, %v", spans, err)
	}
	if s := spans[3]; s.Phase != "out" || s.From != 150 || s.Until != 400 || s.Open || s.Why != "taken under permit 1" {
		t.Errorf("%+v", s)
	}
	if s := spans[5]; s.Machine != "m3" || !s.Open || s.Until != 660 {
		t.Errorf("%+v", s)
	}
	if most, at := MaxConcurrent(spans); most != 2 || at != 140 {
		t.Errorf("%d at once at %d", most, at)
	}
	var b bytes.Buffer
	if err := WriteOutages(&b, spans); err != nil || !strings.Contains(b.String(), "<svg") || !strings.Contains(b.String(), "3 machines between") || !strings.Contains(b.String(), "still") {
		t.Errorf("%v: %.300s", err, b.String())
	}
	if WriteOutages(&b, nil) == nil {
		t.Error("an empty record is accepted")
	}
	for _, line := range []string{"x", "x r1 m1: asked -> emptying: w"} {
		if _, err := Spans([]string{line}, 0); err == nil || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("%q: %v", line, err)
		}
	}
}
