// Package routes says to which site a request goes first, and where next: a table of
// prefixes, ranges and shares, longest match first. It is values and arithmetic, without
// I/O; a Table is not changed once it is made, and is replaced whole.
//
// What the table does not say: which server or gateway of a site gets the request, whether
// it is tried again, what is refused. That stays with policy.
package routes

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"strings"
)

// Own is the name of the site that the program stands in.
const Own = "own"

// Route is one line of the table. What it leaves empty matches everything.
type Route struct {
	Class   string   // name of a class
	Path    string   // what the path begins with
	KeyFrom string   // the key (the path's last part) is not below this, byte by byte
	KeyTo   string   // and below this
	Share   float64  // of what matches, by a hash of the key; 0: all of it
	To      []string // sites, first choice first
}

// Table is the routes, in the order in which they are looked at.
type Table struct{ routes []Route }

// New makes a table: longer paths come first, of equals those that name a class, then a range
// of keys, then a share, then as they were given. sites are the names that may be
// routed to besides Own, classes those that there are; an error names the route and its key.
func New(given []Route, sites, classes []string) (*Table, error) {
	for i, r := range given {
		at := func(key, format string, args ...any) error {
			return fmt.Errorf("route[%d].%s: %s", i, key, fmt.Sprintf(format, args...))
		}
		switch {
		case r.Class != "" && len(classes) > 0 && !slices.Contains(classes, r.Class):
			return nil, at("class", "%q is no class of this deployment", r.Class)
		case r.Path != "" && !strings.HasPrefix(r.Path, "/"):
			return nil, at("path", "%q does not begin with /", r.Path)
		case r.KeyTo != "" && r.KeyFrom >= r.KeyTo:
			return nil, at("key_to", "not above key_from")
		case !(r.Share >= 0 && r.Share <= 1):
			return nil, at("share", "must be from 0 to 1, is %v", r.Share)
		case len(r.To) == 0:
			return nil, at("to", "missing")
		}
		for k, site := range r.To {
			if site != Own && !slices.Contains(sites, site) {
				return nil, at("to", "%q is no site of this file", site)
			}
			if slices.Contains(r.To[:k], site) {
				return nil, at("to", "%q stands twice", site)
			}
		}
	}
	t := &Table{routes: slices.Clone(given)}
	bit := func(on bool) int {
		if on {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(t.routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(bit(b.Class != ""), bit(a.Class != "")),
			cmp.Compare(bit(b.KeyFrom+b.KeyTo != ""), bit(a.KeyFrom+a.KeyTo != "")), cmp.Compare(bit(b.Share > 0),
				bit(a.Share > 0)))
	})
	return t, nil
}

var own = []string{Own}

// Sites is where a request goes, first choice first: never empty, and not to be changed.
// path is its path, with or without a query; id settles the shares of what has no key.
func (t *Table) Sites(class, path, id string) []string {
	path, _, _ = strings.Cut(path, "?")
	key := path[strings.LastIndexByte(path, '/')+1:]
	if strings.Count(path, "/") < 2 {
		key = "" // only the class
	}
	for i := range t.routes {
		r := &t.routes[i]
		if r.Class != "" && r.Class != class || !strings.HasPrefix(path, r.Path) ||
			key < r.KeyFrom || r.KeyTo != "" && key >= r.KeyTo ||
			r.Share > 0 && part(key, id) >= r.Share {
			continue
		}
		return r.To
	}
	return own
}

// part is a key's place from 0 up to 1, the same at every gateway.
func part(key, id string) float64 {
	if key == "" {
		key = id
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	x := h.Sum64()
	x ^= x >> 33 // the high bits of FNV hardly depend on a text's last bytes
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// ErrNone says that no site of a request's route can be reached.
var ErrNone = errors.New("no site can be reached")

// First is the first of the sites that is ready; an error: none is.
func First(sites []string, ready func(string) bool) (string, error) {
	for _, s := range sites {
		if ready(s) {
			return s, nil
		}
	}
	return "", ErrNone
}
