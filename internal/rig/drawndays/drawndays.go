// Package drawndays draws days of trouble for the operators' bench: a day file holds planned work and faults, each with
// its kind, time and strength. Everything comes from one seed, so a day can be drawn again, and a day that broke a rule
// can be cut down by leaving entries out. It is a tool of the developers; no program of the product uses it.
package drawndays

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Entry is one planned work or fault of a day.
type Entry struct {
	At     float64 // seconds from the start of traffic
	Kind   string
	Fields []Field
	Plan   bool // planned work; else a fault
}

// Field is one parameter of an Entry, as TOML wants it.
type Field struct{ Key, Value string }

// Day is one drawn day.
type Day struct {
	Name    string
	Seed    uint64
	Length  float64 // seconds of traffic; 0: the deployment's own
	Entries []Entry
	Closing string // inline table of the closing fault; empty: none
}

// Theme says which kinds a day is drawn from.
type Theme string

// The themes.
const (
	ThemeAll     Theme = "all"     // every kind of trouble
	ThemeControl Theme = "control" // the control plane's troubles only, under changes for the whole day
	ThemeData    Theme = "data"    // the backends' and proxies' troubles only
	ThemePlanned Theme = "planned" // planned work only, without a fault at any time, under changes on half of the days
)

// Options of Draw.
type Options struct {
	Seed    uint64
	Theme   Theme
	Length  float64  // seconds of traffic
	Service string   // the service with the model backends
	Zones   []string // of the deployment
	Classes []string // of requests
	Fewest  int      // entries, at the least
	Most    int      // and at the most
	Without []int    // entries left out, by their index in the whole day
	Kinds   []string // the kinds that the deployment knows; none: all
	Roll    bool     // the proxies are told to end and started again in turn, besides
}

// closingShare is how many of a hundred days end with a closing fault.
const closingShare = 70

// Draw draws a day.
func Draw(o Options) Day {
	source := rand.New(rand.NewPCG(o.Seed, 0x6d6f6c65))
	d := &drawer{Options: o, random: source}
	day := Day{
		Name:   fmt.Sprintf("drawn-%s-%d", o.Theme, o.Seed),
		Seed:   source.Uint64() % 1_000_000_000,
		Length: o.Length,
	}
	templates := templatesOf(o.Theme, o.Kinds)
	for range d.between(o.Fewest, o.Most) {
		day.Entries = append(day.Entries, d.entry(templates[source.IntN(len(templates))]))
	}
	if d.hasChanges() {
		day.Entries = append(day.Entries, d.changes()...)
	}
	if o.Roll {
		day.Entries = append(day.Entries, d.roll())
	}
	if o.Theme != ThemePlanned && source.IntN(100) < closingShare {
		day.Closing = d.closing()
	}
	day.Entries = leaveOut(day.Entries, o.Without)
	return day
}

// leaveOut drops the entries with the indices given.
func leaveOut(entries []Entry, without []int) []Entry {
	var kept []Entry
	for i, e := range entries {
		if !slices.Contains(without, i) {
			kept = append(kept, e)
		}
	}
	return kept
}

// drawer holds what drawing one day needs.
type drawer struct {
	Options
	random *rand.Rand
}

// hasChanges tells whether the configuration changes all over the day.
func (d *drawer) hasChanges() bool {
	switch d.Theme {
	case ThemeData:
		return false
	case ThemePlanned:
		return d.random.IntN(2) == 0
	}
	return true
}

func (d *drawer) between(low, high int) int { return low + d.random.IntN(max(high-low, 0)+1) }

func (d *drawer) amount(low, high float64) float64 {
	return math.Round((low+d.random.Float64()*(high-low))*100) / 100
}

func (d *drawer) oneOf(all []string) string { return all[d.random.IntN(len(all))] }

// firstAt and lastShare bound when an entry begins: also while the traffic starts, and until shortly before the end.
const (
	firstAt   = 1.0
	lastShare = 0.85
)

// entry draws the parameters of one kind.
func (d *drawer) entry(t template) Entry {
	e := Entry{Kind: t.kind, Plan: t.plan, At: d.amount(firstAt, lastShare*d.Length)}
	for _, p := range t.parameters {
		value := ""
		switch {
		case p.texts != nil:
			value = quoted(d.text(p))
		case p.whole:
			value = fmt.Sprint(d.between(int(p.low), int(p.high)))
		default:
			value = number(d.amount(p.low, p.high))
		}
		if value != quoted("") {
			e.Fields = append(e.Fields, Field{p.key, value})
		}
	}
	return e
}

// text draws one word, and the words that may stand after it.
func (d *drawer) text(p parameter) string {
	words := []string{d.oneOf(p.texts)}
	for _, also := range p.also {
		if d.random.IntN(2) == 0 {
			words = append(words, also)
		}
	}
	text := strings.TrimSpace(strings.Join(words, " "))
	switch text {
	case placeService:
		return d.Service
	case placeZone:
		return d.oneOf(d.Zones)
	case placeClass:
		return d.oneOf(d.Classes)
	}
	return text
}

// changes draws changes of the configuration all over the day, up to some hundreds.
func (d *drawer) changes() []Entry {
	gap := d.amount(0.04, 1.5)
	length := d.amount(2, d.Length/2)
	begin := d.amount(firstAt, d.Length-length)
	storm := Entry{
		Kind:   "config_storm",
		Plan:   true,
		At:     begin,
		Fields: []Field{{"for_s", number(length)}, {"gap_s", number(gap)}},
	}
	last := Entry{
		Kind:   "config_change",
		Plan:   true,
		At:     math.Round(d.Length*9) / 10,
		Fields: []Field{{"how", quoted("route")}},
	}
	return []Entry{storm, last}
}

// roll draws a time and a pace at which the proxies are told to end, and started again, in turn.
func (d *drawer) roll() Entry {
	fields := []Field{
		{"share", number(d.amount(0.3, 1))},
		{"x", fmt.Sprint(d.between(1, 2))},
		{"gap_s", number(d.amount(0.7, 3))},
	}
	if d.random.IntN(2) == 0 {
		fields = append(fields, Field{"how", quoted("busy")})
	}
	return Entry{Kind: "roll_term", Plan: true, At: d.amount(firstAt, d.Length/2), Fields: fields}
}

// closing draws the fault at the end of the day.
func (d *drawer) closing() string {
	kind := d.oneOf([]string{"power_off_all", "wipe_after_ack", "kill_all"})
	how := d.oneOf([]string{"", "timed", "taken", "aimed"})
	if kind == "wipe_after_ack" {
		how = d.oneOf([]string{"", "timed", "oldest", "aimed"})
	}
	text := fmt.Sprintf("{ kind = %q, down_s = %s", kind, number(d.amount(0.4, 2)))
	if how != "" {
		text += fmt.Sprintf(", how = %q", how)
	}
	return text + " }"
}

func quoted(s string) string { return fmt.Sprintf("%q", s) }

func number(f float64) string { return fmt.Sprintf("%.2f", f) }

// String is the day as the file that the bench reads.
func (d Day) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\n", d.Name, d.Seed)
	if d.Length > 0 {
		fmt.Fprintf(&b, "length_s = %s\n", number(d.Length))
	}
	if d.Closing != "" {
		fmt.Fprintf(&b, "closing = %s\n", d.Closing)
	}
	b.WriteString("one = 1.0\nzero = 0.0\ngoal = { floor = 0.0 }\nlabels = []\nlight = false\n")
	d.writeEntries(&b, "plan", true)
	d.writeEntries(&b, "faults", false)
	return b.String()
}

func (d Day) writeEntries(b *strings.Builder, name string, plan bool) {
	fmt.Fprintf(b, "%s = [\n", name)
	for _, e := range d.Entries {
		if e.Plan != plan {
			continue
		}
		fmt.Fprintf(b, "  { at = %s, kind = %q", number(e.At), e.Kind)
		for _, f := range e.Fields {
			fmt.Fprintf(b, ", %s = %s", f.Key, f.Value)
		}
		b.WriteString(" },\n")
	}
	b.WriteString("]\n")
}
