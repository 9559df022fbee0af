// Package loss tells why requests of a fleet earned less than they could: each is put to exactly one cause, from
// the record that its agent wrote, and the causes sum to the whole loss. docs/design/thin.md has the causes.
//
// There is no I/O and no clock here. A Tally belongs to whoever fills it.
package loss

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// LogMessage is the message of a log's line that holds a record, under the key "record".
const LogMessage = "account"

// Record is one request that earned less than it could. Times are in milliseconds; but for At they count from when
// the request came.
type Record struct {
	Class    string    `json:"c"`
	At       int64     `json:"at"`  // when it came, Unix time
	Value    float64   `json:"w"`   // that it could have earned
	Earned   float64   `json:"e"`   // and has
	TargetMs float64   `json:"aim"` // until when it could have earned all of it
	EndedMs  float64   `json:"end"` // when it was answered, or left
	Outcome  string    `json:"o"`   // served, refused, failed, overdue or gone
	Attempts []Attempt `json:"t,omitempty"`
}

// Attempt is one attempt.
type Attempt struct {
	Server     string  `json:"s"`
	Zone       int     `json:"z"`
	At         float64 `json:"at"`
	DurationMs float64 `json:"ms"`
	Ending     Ending  `json:"h"`
}

// Ending is how an attempt ended.
type Ending string

// The ways in which one ends.
const (
	Answered  Ending = "ok"
	TimedOut  Ending = "silent" // nothing came, until it was given up
	Errored   Ending = "broken" // an error or a reset: it may have run
	Rejected  Ending = "full"   // turned away, or no way to it: it never ran
	Abandoned Ending = "unspent"
)

// ParseLine reads the record of a log's line, in text or JSON; ok: it has one. An error: it has one that makes no sense.
func ParseLine(line []byte) (r Record, ok bool, err error) {
	text := ""
	if _, rest, found := bytes.Cut(line, []byte(`msg=`+LogMessage+` `)); found {
		if _, quoted, found := bytes.Cut(rest, []byte("record=")); found {
			var prefix string
			if prefix, err = strconv.QuotedPrefix(string(quoted)); err == nil {
				text, err = strconv.Unquote(prefix)
			}
		}
	} else if bytes.Contains(line, []byte(`"msg":"`+LogMessage+`"`)) {
		var all struct{ Record string }
		err, text = json.Unmarshal(line, &all), all.Record
	} else {
		return r, false, nil
	}
	if err == nil {
		err = json.Unmarshal([]byte(text), &r)
	}
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		return Record{}, false, fmt.Errorf("loss: a line of an account: %w", err)
	}
	return r, true, nil
}

// Cause is why.
type Cause uint8

// The causes, in the order in which they are asked.
const (
	TimedOutOnce           Cause = iota // silent
	TimedOutAndFailedAgain              // silent again
	ErroredOnce                         // broken
	ErroredAgain                        // bad again
	AllRejected
	Slow
	NoCapacity
	RefusedEarly
	ClientLeft
	causeCount
)

func (c Cause) String() string {
	return [...]string{"silent", "silent again", "broken", "bad again", "turned away", "slow", "no room", "refused early", "gone"}[c]
}

// CauseOf is the cause of a record's loss.
func CauseOf(r *Record) Cause {
	bad, silent, broken, full := 0, 0, 0, 0
	for _, t := range r.Attempts {
		switch t.Ending {
		case TimedOut:
			silent++
		case Errored:
			broken++
		case Rejected:
			full++
		}
	}
	bad = silent + broken
	tried := len(r.Attempts) > 0
	switch {
	case silent > 0 && bad > 1:
		return TimedOutAndFailedAgain
	case silent > 0:
		return TimedOutOnce
	case broken > 1:
		return ErroredAgain
	case broken > 0:
		return ErroredOnce
	case full > 0:
		return AllRejected
	case tried:
		return Slow
	case r.Outcome == "gone":
		return ClientLeft
	case r.EndedMs <= r.TargetMs/2:
		return RefusedEarly
	}
	return NoCapacity
}

// total is what a cause has taken.
type total struct {
	requests int
	value    float64
}

// Tally is losses by cause, class, zone and second.
type Tally struct {
	all     [causeCount]total
	classes map[string]*[causeCount]total
	zones   map[int]*[causeCount]total
	seconds map[int64]*[causeCount]total
	servers map[string]*[causeCount]total // by the last that was tried
	total   total
}

// NewTally has none.
func NewTally() *Tally {
	return &Tally{classes: map[string]*[causeCount]total{}, zones: map[int]*[causeCount]total{}, seconds: map[int64]*[causeCount]total{}, servers: map[string]*[causeCount]total{}}
}

// Validate reports what is wrong with a record that was read.
func (r *Record) Validate() error {
	switch {
	case len(r.Class) > 256 || len(r.Attempts) > 64:
		return fmt.Errorf("loss: a record with %d tries of a class of %d bytes", len(r.Attempts), len(r.Class))
	case !(r.Value >= 0) || !(r.Earned >= 0) || r.Earned > r.Value:
		return fmt.Errorf("loss: a record that earned %v of %v", r.Earned, r.Value)
	}
	return nil
}

// Add takes a valid record.
func (t *Tally) Add(r *Record) {
	c, lost := CauseOf(r), r.Value-r.Earned
	add := func(p *total) { p.requests, p.value = p.requests+1, p.value+lost }
	add(&t.total)
	add(&t.all[c])
	add(&entryOf(t.classes, r.Class)[c])
	add(&entryOf(t.seconds, r.At/1000)[c])
	zone, server := -1, ""
	if n := len(r.Attempts); n > 0 {
		zone, server = r.Attempts[n-1].Zone, r.Attempts[n-1].Server
	}
	add(&entryOf(t.zones, zone)[c])
	add(&entryOf(t.servers, server)[c])
}

func entryOf[K comparable](m map[K]*[causeCount]total, k K) *[causeCount]total {
	if m[k] == nil {
		m[k] = &[causeCount]total{}
	}
	return m[k]
}

// Total is the whole loss, in requests and in worth.
func (t *Tally) Total() (n int, worth float64) { return t.total.requests, t.total.value }

// Cause is what a cause has taken.
func (t *Tally) Cause(c Cause) (n int, worth float64) { return t.all[c].requests, t.all[c].value }

// Print writes the tables for a person: causes, then those of each class, zone and second, in worth.
func (t *Tally) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "cause\trequests\tworth\tof all\t")
	for c := range causeCount {
		if p := t.all[c]; p.requests > 0 {
			fmt.Fprintf(table, "%v\t%d\t%.1f\t%.1f %%\t\n", c, p.requests, p.value, 100*p.value/max(t.total.value, 1e-9))
		}
	}
	fmt.Fprintf(table, "all\t%d\t%.1f\t\t\n", t.total.requests, t.total.value)
	_ = table.Flush() // out is a terminal or a buffer
	printTable(out, "class", t.classes, strings.Compare)
	printTable(out, "zone", t.zones, cmp.Compare)
	printTable(out, "second", t.seconds, cmp.Compare)
	fmt.Fprintf(out, "\nservers tried last: %d, of which these lost most\n", len(t.servers))
	worst := map[string]*[causeCount]total{}
	for _, name := range largestLosses(t.servers, 10) {
		worst[name] = t.servers[name]
	}
	printTable(out, "server", worst, strings.Compare)
}

func sum(p *[causeCount]total) (worth float64) {
	for _, x := range p {
		worth += x.value
	}
	return worth
}

func largestLosses(m map[string]*[causeCount]total, n int) (names []string) {
	for k := range m {
		names = append(names, k)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(sum(m[b]), sum(m[a])), strings.Compare(a, b)) })
	return names[:min(n, len(names))]
}

// printTable prints the losses of one kind, a line each.
func printTable[K comparable](out io.Writer, name string, m map[K]*[causeCount]total, compare func(a, b K) int) {
	keys := []K{}
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compare)
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tworth\t", name)
	for c := range causeCount {
		fmt.Fprintf(table, "%v\t", c)
	}
	fmt.Fprintln(table)
	for _, k := range keys {
		fmt.Fprintf(table, "%v\t%.1f\t", k, sum(m[k]))
		for c := range causeCount {
			fmt.Fprintf(table, "%.1f\t", m[k][c].value)
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush() // out is a terminal or a buffer
}
