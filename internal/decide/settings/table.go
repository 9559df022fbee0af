package settings

import (
	"fmt"
	"slices"
	"time"
)

const (
	// MostClasses bounds a table's classes, those that are retired included.
	MostClasses = 512
	// keptFor is how long the number of a class that was dropped is not given to another: longer
	// than any request of it can be read, open and answered.
	keptFor = 5 * time.Minute
)

// Table is the classes and tenants of all versions of the settings that requests may still be
// under, each with a number that is its own. It is not changed once it is made: another version
// makes another.
type Table struct {
	Settings                 // with all classes and tenants, by number
	Classes   map[string]int // numbers that classes' names have in this version
	Tenants   map[string]int // the same of tenants
	From      []int          // for each class the one of the version before that tells most of it; -1: none
	Version   int            // counts from 1
	retiredAt []time.Time    // by class; zero: named, or never used
}

// NewTable is the first version; its settings are validated.
func NewTable(first Settings) *Table {
	t := &Table{Settings: first, Classes: map[string]int{}, Tenants: map[string]int{}, Version: 1}
	t.Settings.Classes, t.Settings.Tenants = slices.Clone(first.Classes), slices.Clone(first.Tenants)
	for i, c := range first.Classes {
		t.Classes[c.Name] = i
		t.From = append(t.From, -1)
	}
	for i, c := range first.Tenants {
		t.Tenants[c.Name] = i
	}
	t.retiredAt = make([]time.Time, len(first.Classes))
	return t
}

// Next is the version after this one, from validated settings, at the time now. An error means that
// it would hold more classes than a table may.
func (t *Table) Next(next Settings, now time.Time) (*Table, error) {
	n := &Table{Settings: next, Classes: map[string]int{}, Tenants: map[string]int{}, Version: t.Version + 1,
		retiredAt: slices.Clone(t.retiredAt)}
	n.Settings.Classes, n.Settings.Tenants = slices.Clone(t.Settings.Classes), slices.Clone(t.Settings.Tenants)
	for i := range n.Settings.Classes {
		n.From = append(n.From, i)
	}
	for _, c := range next.Classes {
		old, known := t.Classes[c.Name]
		if known && t.Settings.Classes[old] == c {
			n.Classes[c.Name] = old
			continue
		}
		at := slices.IndexFunc(n.retiredAt, func(since time.Time) bool {
			return !since.IsZero() &&
				now.Sub(since) >= keptFor
		})
		if at < 0 {
			if at = len(n.Settings.Classes); at >= MostClasses {
				return nil, fmt.Errorf("settings: classes: more than %d in all versions of late", MostClasses)
			}
			n.Settings.Classes, n.From = append(n.Settings.Classes, c), append(n.From, -1)
			n.retiredAt = append(n.retiredAt, time.Time{})
		}
		n.Settings.Classes[at], n.From[at], n.retiredAt[at] = c, -1, time.Time{}
		if known {
			n.From[at] = old
		}
		n.Classes[c.Name] = at
	}
	for name, i := range t.Classes {
		if n.Classes[name] != i || !named(next.Classes, name) {
			n.Settings.Classes[i].Retired, n.retiredAt[i] = true, now
		}
	}
	for _, c := range next.Tenants {
		at, known := t.Tenants[c.Name]
		if !known {
			if at = slices.IndexFunc(n.Settings.Tenants, func(o Tenant) bool { return o.Name == c.Name }); at < 0 {
				at = len(n.Settings.Tenants)
				n.Settings.Tenants = append(n.Settings.Tenants, c)
			}
		}
		n.Settings.Tenants[at], n.Tenants[c.Name] = c, at
	}
	if len(n.Settings.Tenants) > 16*MostClasses {
		return nil, fmt.Errorf("settings: tenants: more than %d in all versions", 16*MostClasses)
	}
	return n, nil
}

func named(classes []Class, name string) bool {
	return slices.ContainsFunc(classes, func(c Class) bool { return c.Name == name })
}
