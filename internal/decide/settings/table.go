package settings

import (
	"fmt"
	"slices"
	"time"
)

const (
	// MaxClasses is the maximum number of classes in a table, retired ones included.
	MaxClasses = 512
	// classRetention is how long the number of a retired class is not reused. It is longer than a
	// request of that class can take to be read, served and answered.
	classRetention = 5 * time.Minute
)

// Table holds the classes and tenants of every version of the settings that open requests may still
// refer to, each under a stable number. A Table is immutable; Next returns the table of the following
// version.
type Table struct {
	Settings                     // all classes and tenants, indexed by number
	Classes       map[string]int // number of each class named by this version
	Tenants       map[string]int // number of each tenant named by this version
	PreviousClass []int          // class of the previous version whose statistics a class inherits; -1: none
	Version       int            // starts at 1
	retiredAt     []time.Time    // by class; zero: in use or never used
}

// NewTable returns the table of the first version. The settings must have been validated.
func NewTable(first Settings) *Table {
	t := &Table{Settings: first, Classes: map[string]int{}, Tenants: map[string]int{}, Version: 1}
	t.Settings.Classes, t.Settings.Tenants = slices.Clone(first.Classes), slices.Clone(first.Tenants)
	for i, c := range first.Classes {
		t.Classes[c.Name] = i
		t.PreviousClass = append(t.PreviousClass, -1)
	}
	for i, c := range first.Tenants {
		t.Tenants[c.Name] = i
	}
	t.retiredAt = make([]time.Time, len(first.Classes))
	return t
}

// Next returns the table of the following version, from validated settings; now is the time of the
// change. A class that is unchanged keeps its number, a changed one gets another. Next fails if the
// table would hold more classes or tenants than it may.
func (t *Table) Next(next Settings, now time.Time) (*Table, error) {
	n := &Table{Settings: next, Classes: map[string]int{}, Tenants: map[string]int{}, Version: t.Version + 1,
		retiredAt: slices.Clone(t.retiredAt)}
	n.Settings.Classes, n.Settings.Tenants = slices.Clone(t.Settings.Classes), slices.Clone(t.Settings.Tenants)
	for i := range n.Settings.Classes {
		n.PreviousClass = append(n.PreviousClass, i)
	}
	for _, c := range next.Classes {
		old, known := t.Classes[c.Name]
		if known && t.Settings.Classes[old] == c {
			n.Classes[c.Name] = old
			continue
		}
		at := slices.IndexFunc(n.retiredAt, func(since time.Time) bool {
			return !since.IsZero() &&
				now.Sub(since) >= classRetention
		})
		if at < 0 {
			if at = len(n.Settings.Classes); at >= MaxClasses {
				return nil, fmt.Errorf("settings: classes: more than %d active and recently retired classes",
					MaxClasses)
			}
			n.Settings.Classes, n.PreviousClass = append(n.Settings.Classes, c), append(n.PreviousClass, -1)
			n.retiredAt = append(n.retiredAt, time.Time{})
		}
		n.Settings.Classes[at], n.PreviousClass[at], n.retiredAt[at] = c, -1, time.Time{}
		if known {
			n.PreviousClass[at] = old
		}
		n.Classes[c.Name] = at
	}
	for name, i := range t.Classes {
		if n.Classes[name] != i || !hasClass(next.Classes, name) {
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
	if len(n.Settings.Tenants) > 16*MaxClasses {
		return nil, fmt.Errorf("settings: tenants: more than %d tenants over all versions", 16*MaxClasses)
	}
	return n, nil
}

func hasClass(classes []Class, name string) bool {
	return slices.ContainsFunc(classes, func(c Class) bool { return c.Name == name })
}
