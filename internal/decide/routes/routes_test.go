package routes

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

func table(t *testing.T, r ...Route) *Table {
	t.Helper()
	x, err := New(r, []string{"b", "c"}, []string{"order", "status"})
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func TestLongestMatchFirst(t *testing.T) {
	x := table(t,
		Route{To: []string{"own", "b"}},
		Route{Class: "order", To: []string{"b", "own"}},
		Route{Path: "/order/north-", To: []string{"c"}},
		Route{Path: "/order/north-7", KeyFrom: "north-7", KeyTo: "north-75", To: []string{"b"}},
		Route{Path: "/status", Share: 1, To: []string{"c", "own"}})
	for _, c := range []struct{ class, path, want string }{
		{"status", "/other/u1", "own b"}, {"order", "/order/south-1", "b own"}, {"order", "/order/north-1", "c"},
		{"order", "/order/north-70?x=/y", "b"}, {"order", "/order/north-75", "c"}, {"order", "/order/north-7", "b"},
		{"order", "/order", "b own"}, {"status", "/status/u1", "c own"},
	} {
		if got := strings.Join(x.Sites(c.class, c.path, "id"), " "); got != c.want {
			t.Errorf("%s %s goes to %s, want %s", c.class, c.path, got, c.want)
		}
	}
	if got := table(t).Sites("order", "/order/u1", "id"); !slices.Equal(got, []string{OwnSite}) {
		t.Errorf("an empty table sends to %v", got)
	}
}

// A share matches that fraction of the keys, always the same ones, and of the ids for requests without
// a key.
func TestShare(t *testing.T) {
	for _, share := range []float64{0.05, 0.3, 0.9} {
		x := table(t, Route{Share: share, To: []string{"b"}})
		for _, path := range []string{"/order/u%d", "/order"} {
			n := 0
			for i := range 20000 {
				p := path
				if strings.Contains(path, "%") {
					p = fmt.Sprintf(path, i)
				}
				sites := x.Sites("order", p, fmt.Sprint("id", i))
				if sites[0] == "b" {
					n++
				}
				if again := x.Sites("order", p, fmt.Sprint("id", i)); !slices.Equal(again, sites) {
					t.Fatal("a key is routed differently the second time")
				}
			}
			if got := float64(n) / 20000; math.Abs(got-share) > 0.015 {
				t.Errorf("%s: %.3f of the keys match, want %.2f", path, got, share)
			}
		}
	}
}

func TestFirstReady(t *testing.T) {
	up := map[string]bool{"c": true}
	ready := func(s string) bool { return up[s] }
	if got, err := FirstReady([]string{"b", "c"}, ready); got != "c" || err != nil {
		t.Error(got, err)
	}
	if got, err := FirstReady([]string{"b"}, ready); got != "" || err != ErrNoSite {
		t.Error(got, err)
	}
}

func TestNewRejectsInvalidRoutes(t *testing.T) {
	for want, r := range map[string]Route{
		"route[0].class":  {Class: "nothing", To: []string{"b"}},
		"route[0].path":   {Path: "order", To: []string{"b"}},
		"route[0].key_to": {KeyFrom: "b", KeyTo: "a", To: []string{"b"}},
		"route[0].share":  {Share: 1.5, To: []string{"b"}},
		"route[0].to":     {To: []string{"z"}},
	} {
		if _, err := New([]Route{r}, []string{"b"}, []string{"order"}); err == nil ||
			!strings.HasPrefix(err.Error(), want+":") {
			t.Errorf("%v, want %s", err, want)
		}
	}
	for _, to := range [][]string{nil, {"b", "own", "b"}} {
		if _, err := New([]Route{{To: to}}, []string{"b"}, nil); err == nil {
			t.Errorf("%v was accepted", to)
		}
	}
	if _, err := New([]Route{{Share: math.NaN(), To: []string{"b"}}}, []string{"b"}, nil); err == nil {
		t.Error("a share of NaN was accepted")
	}
}
