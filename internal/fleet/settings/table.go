package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// table is a table of the file. Its methods read one value each. They return the default for a missing value; for an
// invalid value they add a finding, and their result isn't used, since Parse then returns an error.
type table struct {
	file     string         // the name of the file, for the findings
	prefix   string         // "bnds."; empty for the top table
	findings *Findings      // of the complete file, in the order of the reads
	values   map[string]any // as decoded from TOML; nil if the table is missing
}

// addFinding adds a finding for the value at key.
func (t table) addFinding(key, format string, args ...any) {
	*t.findings = append(*t.findings, Finding{
		File: t.file,
		Key:  t.prefix + key,
		Text: fmt.Sprintf(format, args...),
	})
}

// validate checks a value against rules, adds a finding if it violates one, and reports whether it is valid.
func (t table) validate(key string, value any, rules ...validation.Rule) bool {
	err := validation.Validate(value, rules...)
	if err != nil {
		t.addFinding(key, "%s", err.Error())
	}
	return err == nil
}

// subtable returns the table at key, an empty one by default.
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

// stringAt returns the string at key, empty by default.
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

// stringsAt returns the list of strings at key; the rules apply to each string.
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

// stringMap returns the table as a map; its values must be non-empty strings.
func (t table) stringMap() map[string]string {
	out := make(map[string]string, len(t.values))
	for _, key := range t.sortedKeys() {
		out[key] = t.stringAt(key, ruleRequired)
	}
	return out
}

// sortedKeys returns the table's keys in order, so that the order of findings is deterministic.
func (t table) sortedKeys() []string {
	return slices.Sorted(maps.Keys(t.values))
}

// boolAt returns the boolean at key, false by default.
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

// toFloat converts a TOML number to a float; false if it isn't a finite number.
func toFloat(v any) (float64, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	return 0, false
}

// numberAt returns the number at key, an integer or a float.
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

// integerAt returns the integer at key, 0 by default; 3.0 is valid too.
func (t table) integerAt(key string, rules ...validation.Rule) int {
	n := t.numberAt(key, 0, rules...)
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		t.addFinding(key, "must be a whole number of at most 31 bits")
		return 0
	}
	return int(n)
}

// durationAt returns the duration at key, a number of units, fractions allowed.
func (t table) durationAt(key string, unit, defaultValue time.Duration, rules ...validation.Rule) time.Duration {
	n := t.numberAt(key, float64(defaultValue)/float64(unit), rules...)
	ns := math.Round(n * float64(unit))
	if ns >= math.MaxInt64 {
		t.addFinding(key, "the time is too long")
		return defaultValue
	}
	return time.Duration(ns)
}

// portRangeAt returns the first and the last port at key; required.
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
