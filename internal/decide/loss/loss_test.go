package loss

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Each record has the cause that docs/design/thin.md lists for it.
func TestCauses(t *testing.T) {
	try := func(how ...Ending) (all []Attempt) {
		for _, h := range how {
			all = append(all, Attempt{Ending: h})
		}
		return all
	}
	for _, c := range []struct {
		r    Record
		want Cause
	}{
		{Record{Outcome: "overdue", Attempts: try(TimedOut)}, TimedOutOnce},
		{Record{Outcome: "served", Attempts: try(TimedOut, Answered)}, TimedOutOnce},
		{Record{Outcome: "overdue", Attempts: try(Errored, TimedOut)}, TimedOutAndFailedAgain},
		{Record{Outcome: "overdue", Attempts: try(TimedOut, Rejected, TimedOut)}, TimedOutAndFailedAgain},
		{Record{Outcome: "failed", Attempts: try(Errored)}, ErroredOnce},
		{Record{Outcome: "served", Attempts: try(Rejected, Errored, Answered)}, ErroredOnce},
		{Record{Outcome: "failed", Attempts: try(Errored, Errored)}, ErroredAgain},
		{Record{Outcome: "refused", Attempts: try(Rejected, Abandoned)}, RejectedByServer},
		{Record{Outcome: "served", Attempts: try(Answered)}, Slow},
		{Record{Outcome: "gone", Attempts: try(TimedOut)}, TimedOutOnce},
		{Record{Outcome: "gone", TargetMs: 100, EndedMs: 10}, ClientLeft},
		{Record{Outcome: "refused", TargetMs: 100, EndedMs: 50}, RefusedEarly},
		{Record{Outcome: "refused", TargetMs: 100, EndedMs: 51}, NoCapacity},
	} {
		if got := CauseOf(&c.r); got != c.want {
			t.Errorf("%+v: %v, want %v", c.r, got, c.want)
		}
	}
}

// Records are parsed from text and JSON logs, other lines are skipped, and invalid records are errors.
func FuzzParseLine(f *testing.F) {
	want := Record{Class: "order", At: 5, Value: 5, Earned: 1, TargetMs: 300, EndedMs: 400, Outcome: "served", Attempts: []Attempt{{Server: "ab", Zone: 1, At: 1, DurationMs: 399, Ending: Answered}}}
	text, err := json.Marshal(&want)
	if err != nil {
		f.Fatal(err)
	}
	var lines bytes.Buffer
	slog.New(slog.NewTextHandler(&lines, nil)).Info(LogMessage, "agent", "n1", "record", string(text))
	slog.New(slog.NewJSONHandler(&lines, nil)).Info(LogMessage, "agent", "n1", "record", string(text))
	for _, line := range bytes.Split(bytes.TrimSpace(lines.Bytes()), []byte("\n")) {
		if got, ok, err := ParseLine(line); err != nil || !ok || got.Class != want.Class || got.Attempts[0] != want.Attempts[0] {
			f.Errorf("%s: %+v, %v, %v", line, got, ok, err)
		}
		f.Add(line)
	}
	for _, bad := range []string{`msg=account record="{"`, `msg=account record="{\"w\":-1}"`, `msg=account agent=n1`, `{"msg":"account"}`, `{"msg":"account","record":"x"}`} {
		if _, ok, err := ParseLine([]byte(bad)); ok || err == nil {
			f.Errorf("%s is accepted", bad)
		}
		f.Add([]byte(bad))
	}
	if _, ok, err := ParseLine([]byte(`level=INFO msg=started`)); ok || err != nil {
		f.Error("a line without a record was parsed as one")
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		if r, ok, err := ParseLine(line); ok && (err != nil || r.Validate() != nil) {
			t.Errorf("%+v, %v", r, err)
		}
	})
}

// The losses by cause sum to the total loss, and so do those by class, zone, second and server.
func TestCausesSumToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tally, want, n := NewTally(), 0.0, rapid.IntRange(1, 60).Draw(t, "n")
		for range n {
			r := Record{Class: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), At: rapid.Int64Range(0, 5000).Draw(t, "at"),
				Value: rapid.Float64Range(0, 10).Draw(t, "worth"), TargetMs: 100, EndedMs: rapid.Float64Range(0, 200).Draw(t, "ended"),
				Outcome: rapid.SampledFrom([]string{"served", "refused", "failed", "overdue", "gone"}).Draw(t, "outcome")}
			r.Earned = r.Value * rapid.Float64Range(0, 1).Draw(t, "earned")
			for range rapid.IntRange(0, 3).Draw(t, "tries") {
				r.Attempts = append(r.Attempts, Attempt{Server: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "server"), Zone: rapid.IntRange(0, 2).Draw(t, "zone"),
					Ending: rapid.SampledFrom([]Ending{Answered, TimedOut, Errored, Rejected, Abandoned}).Draw(t, "how")})
			}
			if err := r.Validate(); err != nil {
				t.Fatal(err)
			}
			tally.Add(&r)
			want += r.Value - r.Earned
		}
		count, total := tally.Total()
		if count != n || math.Abs(total-want) > 1e-6 {
			t.Fatalf("%d requests, %v; want %d, %v", count, total, n, want)
		}
		causesN, causesWorth := 0, 0.0
		for c := range causeCount {
			n, worth := tally.Cause(c)
			causesN, causesWorth = causesN+n, causesWorth+worth
		}
		sums := []float64{causesWorth, 0, 0, 0, 0}
		for _, p := range tally.classes {
			sums[1] += sum(p)
		}
		for _, p := range tally.zones {
			sums[2] += sum(p)
		}
		for _, p := range tally.seconds {
			sums[3] += sum(p)
		}
		for _, p := range tally.servers {
			sums[4] += sum(p)
		}
		for i, got := range sums {
			if causesN != n || math.Abs(got-want) > 1e-6 {
				t.Fatalf("sum %d is %v of %d, want %v of %d", i, got, causesN, want, n)
			}
		}
	})
	for _, r := range []Record{{Value: -1}, {Value: 1, Earned: 2}, {Value: math.NaN()}, {Class: strings.Repeat("x", 300)}, {Attempts: make([]Attempt, 65)}} {
		if r.Validate() == nil {
			t.Errorf("%+v is accepted", r)
		}
	}
}
