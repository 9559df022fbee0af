// Package routes selects the site to which a request is sent first, and the sites to fall back to, by
// a table of path prefixes, key ranges and shares; the longest match wins. It has no I/O. A Table is
// immutable and safe for concurrent use; a new configuration replaces it as a whole.
//
// Which server or gateway of a site gets the request, whether it is retried and what is rejected is
// decided by package policy.
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

// OwnSite is the name of the site in which the program runs.
const OwnSite = "own"

// Route is one entry of the table. Empty fields match everything.
type Route struct {
	Class   string   // name of a class
	Path    string   // path prefix
	KeyFrom string   // lower bound, inclusive, of the key (the last segment of the path), compared bytewise
	KeyTo   string   // upper bound, exclusive
	Share   float64  // fraction of the matching requests, by a hash of the key; 0: all
	To      []string // sites by preference
}

// Table holds the routes in the order in which they are matched.
type Table struct{ routes []Route }

// New returns a table. Longer paths come first; among equals those with a class, then those with a key
// range, then those with a share, then in the given order. sites are the sites that may be named
// besides OwnSite, classes the configured classes. An error names the route and its key.
func New(given []Route, sites, classes []string) (*Table, error) {
	for i, r := range given {
		at := func(key, format string, args ...any) error {
			return fmt.Errorf("route[%d].%s: %s", i, key, fmt.Sprintf(format, args...))
		}
		switch {
		case r.Class != "" && len(classes) > 0 && !slices.Contains(classes, r.Class):
			return nil, at("class", "%q is not a class of this deployment", r.Class)
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
			if site != OwnSite && !slices.Contains(sites, site) {
				return nil, at("to", "%q is not a configured site", site)
			}
			if slices.Contains(r.To[:k], site) {
				return nil, at("to", "%q is listed twice", site)
			}
		}
	}
	t := &Table{routes: slices.Clone(given)}
	rank := func(on bool) int {
		if on {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(t.routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), cmp.Compare(rank(b.Class != ""), rank(a.Class != "")),
			cmp.Compare(rank(b.KeyFrom+b.KeyTo != ""), rank(a.KeyFrom+a.KeyTo != "")), cmp.Compare(rank(b.Share > 0),
				rank(a.Share > 0)))
	})
	return t, nil
}

var ownSites = []string{OwnSite}

// Sites returns the sites of a request by preference. The slice is never empty and must not be
// modified. path may contain a query; id replaces the key for requests without one.
func (t *Table) Sites(class, path, id string) []string {
	path, _, _ = strings.Cut(path, "?")
	key := path[strings.LastIndexByte(path, '/')+1:]
	if strings.Count(path, "/") < 2 {
		key = "" // the path has only the class
	}
	for i := range t.routes {
		r := &t.routes[i]
		if r.Class != "" && r.Class != class || !strings.HasPrefix(path, r.Path) ||
			key < r.KeyFrom || r.KeyTo != "" && key >= r.KeyTo ||
			r.Share > 0 && keyFraction(key, id) >= r.Share {
			continue
		}
		return r.To
	}
	return ownSites
}

// keyFraction maps a key to a number from 0 up to 1, the same at every gateway.
func keyFraction(key, id string) float64 {
	if key == "" {
		key = id
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	x := h.Sum64()
	x ^= x >> 33 // the high bits of FNV hardly depend on the last bytes of its input
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// ErrNoSite reports that no site of a request's route is ready.
var ErrNoSite = errors.New("no site can be reached")

// FirstReady returns the first of the sites that is ready, or ErrNoSite.
func FirstReady(sites []string, ready func(string) bool) (string, error) {
	for _, s := range sites {
		if ready(s) {
			return s, nil
		}
	}
	return "", ErrNoSite
}
