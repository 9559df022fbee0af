// Package loss attributes the value that requests lost, because they were late or not served, to causes. Each
// request has exactly one cause, which follows from the record that its agent logged, so the causes sum to the
// total loss. docs/design/thin.md lists the causes.
//
// The package does no I/O but Print's output, and reads no clock. A Tally isn't safe for concurrent use.
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

// LogMessage is the message of log lines that account for one request's lost value, with the Record under the key
// "record".
const LogMessage = "account"

// Record describes one request that earned less than its full value. Times are in milliseconds; all but At
// count from the arrival of the request.
type Record struct {
	Class    string    `json:"c"`
	At       int64     `json:"at"`  // arrival, Unix time
	Value    float64   `json:"w"`   // full value
	Earned   float64   `json:"e"`   // value that it has earned
	TargetMs float64   `json:"aim"` // latency target: until then it would have earned its full value
	EndedMs  float64   `json:"end"` // when it was answered, or its client left
	Outcome  string    `json:"o"`   // served, refused, failed, overdue or gone
	Attempts []Attempt `json:"t,omitempty"`
}

// Attempt is one attempt of a request at a server.
type Attempt struct {
	Server     string  `json:"s"`
	Zone       int     `json:"z"`
	At         float64 `json:"at"`
	DurationMs float64 `json:"ms"`
	Ending     Ending  `json:"h"`
}

// Ending is how an attempt ended.
type Ending string

// The endings of an attempt.
const (
	Answered  Ending = "ok"
	TimedOut  Ending = "silent"  // no response until it was given up
	Errored   Ending = "broken"  // an error or a reset: the request may have run
	Rejected  Ending = "full"    // rejected by the server, or no connection: the request never ran
	Abandoned Ending = "unspent" // cancelled, or still in flight when the request was over
)

// ParseLine parses the record of a log line in slog's text or JSON format. ok reports whether the line has a
// valid record. It returns an error if the line has an invalid one.
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
		return Record{}, false, fmt.Errorf("loss: invalid record in a log line: %w", err)
	}
	return r, true, nil
}

// Cause is the cause of a loss.
type Cause uint8

// The causes.
const (
	TimedOutOnce           Cause = iota // an attempt got no response
	TimedOutAndFailedAgain              // an attempt got no response, and another got none or failed
	ErroredOnce                         // an attempt failed
	ErroredAgain                        // several attempts failed
	RejectedByServer                    // no attempt timed out or failed, and at least one was rejected
	Slow                                // attempts were made, and none timed out, failed or was rejected
	NoCapacity                          // no attempt, and ended after more than half of the latency target
	RefusedEarly                        // no attempt, and ended within half of the latency target
	ClientLeft                          // no attempt; the client left
	causeCount
)

// String returns the name of the cause as printed in tables.
func (c Cause) String() string {
	return [...]string{"silent", "silent again", "broken", "bad again", "turned away", "slow", "no room",
		"refused early", "gone"}[c]
}

// CauseOf returns the cause of a record's loss.
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
		return RejectedByServer
	case tried:
		return Slow
	case r.Outcome == "gone":
		return ClientLeft
	case r.EndedMs <= r.TargetMs/2:
		return RefusedEarly
	}
	return NoCapacity
}

// total is the number of requests and the lost value of one cause.
type total struct {
	requests int
	value    float64
}

// Tally sums losses by cause, class, zone, second and server.
type Tally struct {
	all     [causeCount]total
	classes map[string]*[causeCount]total
	zones   map[int]*[causeCount]total // by the zone of the last attempt; -1: no attempt
	seconds map[int64]*[causeCount]total
	servers map[string]*[causeCount]total // by the server of the last attempt; "": no attempt
	total   total
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	return &Tally{classes: map[string]*[causeCount]total{}, zones: map[int]*[causeCount]total{},
		seconds: map[int64]*[causeCount]total{}, servers: map[string]*[causeCount]total{}}
}

// Validate returns an error if the record is out of range.
func (r *Record) Validate() error {
	switch {
	case len(r.Class) > 256 || len(r.Attempts) > 64:
		return fmt.Errorf("loss: record with %d attempts and a class name of %d bytes, at most 64 and 256",
			len(r.Attempts), len(r.Class))
	case !(r.Value >= 0) || !(r.Earned >= 0) || r.Earned > r.Value:
		return fmt.Errorf("loss: record with earned value %v of %v, must be from 0 to the full value",
			r.Earned, r.Value)
	}
	return nil
}

// Add adds the loss of a valid record.
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

// Total returns the total loss, as the number of requests and the lost value.
func (t *Tally) Total() (n int, value float64) { return t.total.requests, t.total.value }

// Cause returns the number of requests and the lost value of a cause.
func (t *Tally) Cause(c Cause) (n int, value float64) { return t.all[c].requests, t.all[c].value }

// Print writes the tables for operators: the causes, then the lost value per cause for each class, zone and
// second, and for the ten servers with the largest losses.
func (t *Tally) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "cause\trequests\tworth\tof all\t")
	for c := range causeCount {
		if p := t.all[c]; p.requests > 0 {
			fmt.Fprintf(table, "%v\t%d\t%.1f\t%.1f %%\t\n", c, p.requests, p.value,
				100*p.value/max(t.total.value, 1e-9))
		}
	}
	fmt.Fprintf(table, "all\t%d\t%.1f\t\t\n", t.total.requests, t.total.value)
	_ = table.Flush() // out is a terminal or a buffer
	printTable(out, "class", t.classes, strings.Compare)
	printTable(out, "zone", t.zones, cmp.Compare)
	printTable(out, "second", t.seconds, cmp.Compare)
	fmt.Fprintf(out, "\nservers tried last: %d, of which these lost most\n",
		len(t.servers))
	worst := map[string]*[causeCount]total{}
	for _, name := range largestLosses(t.servers, 10) {
		worst[name] = t.servers[name]
	}
	printTable(out, "server", worst, strings.Compare)
}

func sum(p *[causeCount]total) (value float64) {
	for _, x := range p {
		value += x.value
	}
	return value
}

func largestLosses(m map[string]*[causeCount]total, n int) (names []string) {
	for k := range m {
		names = append(names, k)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(sum(m[b]), sum(m[a])), strings.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

// printTable prints the lost value per cause, with one line for each key of m.
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
