package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// table is a table of the file. Its methods read one value each: a value that is missing gives the default, and one
// that breaks a rule adds a finding and gives the default or what could be read; the settings are then not used.
type table struct {
	file     string         // the name of the file, for the findings
	prefix   string         // "bnds."; empty for the top table
	findings *Findings      // of the whole file, in the order of the reads
	values   map[string]any // as TOML gives them; nil where the table is missing
}

// addFinding adds what is wrong with the value at key.
func (t table) addFinding(key, format string, args ...any) {
	*t.findings = append(*t.findings, Finding{
		File: t.file,
		Key:  t.prefix + key,
		Text: fmt.Sprintf(format, args...),
	})
}

// validate checks a value by rules and reports whether it keeps them all.
func (t table) validate(key string, value any, rules ...validation.Rule) bool {
	err := validation.Validate(value, rules...)
	if err != nil {
		t.addFinding(key, "%s", err.Error())
	}
	return err == nil
}

// subtable is the table at key, an empty one by default.
func (t table) subtable(key string) table {
	in := table{file: t.file, prefix: t.prefix + key + ".", findings: t.findings}
	v, ok := t.values[key]
	if !ok {
		return in
	}
	if in.values, ok = v.(map[string]any); !ok {
		t.addFinding(key, "must be a table")
	}
	return in
}

// stringAt is the string at key, empty by default.
func (t table) stringAt(key string, rules ...validation.Rule) string {
	s := ""
	if v, ok := t.values[key]; ok {
		if s, ok = v.(string); !ok {
			t.addFinding(key, "must be a string")
			return ""
		}
	}
	t.validate(key, s, rules...)
	return s
}

// stringsAt is the list of strings at key; the rules are for each.
func (t table) stringsAt(key string, rules ...validation.Rule) []string {
	v, ok := t.values[key]
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.addFinding(key, "must be a list of strings")
		return nil
	}
	out := make([]string, 0, len(list))
	for i, item := range list {
		s, ok := item.(string)
		itemKey := fmt.Sprintf("%s[%d]", key, i)
		if !ok {
			t.addFinding(itemKey, "must be a string")
			continue
		}
		t.validate(itemKey, s, rules...)
		out = append(out, s)
	}
	return out
}

// stringMap is the whole table, whose values must be strings that are not empty.
func (t table) stringMap() map[string]string {
	out := make(map[string]string, len(t.values))
	for _, key := range t.sortedKeys() {
		out[key] = t.stringAt(key, ruleRequired)
	}
	return out
}

// sortedKeys are the table's keys in order, so that findings come in the same order each time.
func (t table) sortedKeys() []string {
	return slices.Sorted(maps.Keys(t.values))
}

// boolAt is the boolean at key, false by default.
func (t table) boolAt(key string) bool {
	v, ok := t.values[key]
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.addFinding(key, "must be true or false")
	}
	return b
}

// toFloat turns a TOML number into a float; false: it is no number, or not a finite one.
func toFloat(v any) (float64, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	return 0, false
}

// numberAt is the number at key, an integer or not.
func (t table) numberAt(key string, defaultValue float64, rules ...validation.Rule) float64 {
	v, ok := t.values[key]
	if !ok {
		return defaultValue
	}
	n, ok := toFloat(v)
	if !ok {
		t.addFinding(key, "must be a number")
		return defaultValue
	}
	if !t.validate(key, n, rules...) {
		return defaultValue
	}
	return n
}

// integerAt is the integer at key, 0 by default; 3.0 is one too.
func (t table) integerAt(key string, rules ...validation.Rule) int {
	n := t.numberAt(key, 0, rules...)
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		t.addFinding(key, "must be a whole number of at most 31 bits")
		return 0
	}
	return int(n)
}

// durationAt is the time at key, a number of units that need not be whole.
func (t table) durationAt(key string, unit, defaultValue time.Duration, rules ...validation.Rule) time.Duration {
	n := t.numberAt(key, float64(defaultValue)/float64(unit), rules...)
	ns := math.Round(n * float64(unit))
	if ns >= math.MaxInt64 {
		t.addFinding(key, "the time is too long")
		return defaultValue
	}
	return time.Duration(ns)
}

// portRangeAt is the first and the last port at key; required.
func (t table) portRangeAt(key string) [2]int {
	list, ok := t.values[key].([]any)
	if _, given := t.values[key]; given && !ok {
		t.addFinding(key, "must be a list of two ports")
		return [2]int{}
	}
	var ports []int
	for i, v := range list {
		n, ok := toFloat(v)
		if !ok || n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
			t.addFinding(fmt.Sprintf("%s[%d]", key, i), "must be a whole number")
			return [2]int{}
		}
		ports = append(ports, int(n))
	}
	if !t.validate(key, ports, rulePorts...) {
		return [2]int{}
	}
	return [2]int{ports[0], ports[1]}
}
