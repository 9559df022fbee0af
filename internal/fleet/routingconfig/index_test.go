package routingconfig_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"molepaddle/internal/fleet/routingconfig"
)

func TestLookup(t *testing.T) {
	r := func(name, host, pfx string) string {
		return `{"name":"` + name + `","hostname":"` + host + `","pfx":"` + pfx +
			`","kind":"stream","deadline_ms":1,"svc":"a"}`
	}
	d := decode(t, configuration(strings.Join([]string{
		r("root", "h.example", "/"), r("a", "h.example", "/a/"), r("abc", "h.example", "/a/b/c/"),
		r("empty", "h.example", "/a//"), r("case", "G.Example", "/A/"), r("v6", "[::1]", "/")}, ","), service("a")))
	x := routingconfig.NewIndex(d)
	for _, test := range []struct{ host, path, want string }{
		{"h.example", "/", "root"},
		{"H.EXAMPLE", "/", "root"},
		{"h.example:8080", "/", "root"},
		{"h.example", "/a", "root"},
		{"h.example", "/a/", "a"},
		{"h.example", "/ab/", "root"},
		{"h.example", "/A/", "root"},
		{"h.example", "/a/b/c", "a"},
		{"h.example", "/a/b/d/c/", "a"},
		{"h.example", "/a/b/c/", "abc"},
		{"h.example", "/a/b/c/d/e", "abc"},
		{"h.example", "/a//x", "empty"},
		{"h.example", "//a/", "root"},
		{"h.example", "", ""},
		{"h.example", "a/", ""},
		{"h.example", "*", ""},
		{"g.example", "/A/", "case"},
		{"g.example", "/a/", ""},
		{"g.example", "/", ""},
		{"[::1]", "/", "v6"},
		{"[::1]:80", "/", "v6"},
		{"", "/", ""},
		{"other.example", "/a/", ""},
		{strings.Repeat("h", 256), "/", ""},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			c := qt.New(t)
			got, ok := x.Lookup(test.host, test.path)
			c.Assert(ok, qt.Equals, test.want != "")
			if ok {
				c.Assert(got.Name, qt.Equals, test.want)
			}
			c.Assert(testing.AllocsPerRun(10, func() { x.Lookup(test.host, test.path) }), qt.Equals, 0.0)
		})
	}
}

// TestLookupReference compares Lookup with a linear search through all routes.
func TestLookupReference(t *testing.T) {
	segments := rapid.SampledFrom([]string{"", "a", "b", "ab", "A", "%61"})
	rapid.Check(t, func(r *rapid.T) {
		t, c := r, qt.New(property{t, r})
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segments, 0, 5).Draw(t, label), "/")
		}
		hosts := rapid.SampledFrom([]string{"h", "H", "g.x", "G.x"})
		type key struct{ host, pfx string }
		seen := map[key]bool{}
		routes := []item{}
		for range rapid.IntRange(0, 12).Draw(t, "routes") {
			host, pfx := hosts.Draw(t, "host"), path("prefix")
			if !strings.HasSuffix(pfx, "/") {
				pfx += "/"
			}
			if k := (key{strings.ToLower(host), pfx}); !seen[k] {
				seen[k] = true
				routes = append(routes, item{
					"name": host + pfx, "hostname": host, "pfx": pfx, "kind": "readonly", "deadline_ms": 1, "svc": "a",
				})
			}
		}
		body, err := json.Marshal(item{"ver": 1, "routing": routes, "svcs": []item{{"name": "a"}}})
		c.Assert(err, qt.IsNil)
		d, found := routingconfig.Decode(body)
		c.Assert(found, qt.HasLen, 0)
		x := routingconfig.NewIndex(d)
		for range 20 {
			host, at := hosts.Draw(t, "asked host"), path("asked path")
			want := ""
			for _, r := range routes {
				pfx := r["pfx"].(string)
				if strings.EqualFold(r["hostname"].(string), host) && strings.HasPrefix(at, pfx) && len(pfx) > len(want) {
					want = pfx
				}
			}
			got, ok := x.Lookup(host, at)
			c.Assert(ok, qt.Equals, want != "")
			if ok {
				c.Assert(got.Prefix, qt.Equals, want)
				c.Assert(strings.EqualFold(got.Hostname, host), qt.IsTrue)
			}
		}
	})
}

func TestPick(t *testing.T) {
	c := qt.New(t)
	x := routingconfig.NewIndex(decode(t, configuration(strings.Join([]string{
		route("one", `,"svc":"a"`),
		route("split", `,"shares":[{"svc":"z","wt":0},{"svc":"a","wt":1},{"svc":"z","wt":0},`+
			`{"svc":"b","wt":3},{"svc":"z","wt":0}]`),
		route("tiny", `,"shares":[{"svc":"a","wt":1e300},{"svc":"b","wt":1e-300}]`),
		route("both", `,"svc":"z","shares":[{"svc":"b","wt":1}]`),
	}, ","), service("a")+","+service("b")+","+service("z"))))
	get := func(name string) *routingconfig.Route {
		r, ok := x.Lookup("h.example", "/"+name+"/")
		c.Assert(ok, qt.IsTrue)
		return r
	}
	a, ok := x.Service("a")
	c.Assert(ok, qt.IsTrue)
	_, ok = x.Service("q")
	c.Assert(ok, qt.IsFalse)
	c.Assert(get("one").Pick(77), qt.Equals, a)
	c.Assert(get("both").Pick(77).Name, qt.Equals, "b")
	c.Assert(get("tiny").Pick(0).Name, qt.Equals, "a")

	split := get("split")
	c.Assert(split.WeightedServices, qt.HasLen, 2)
	c.Assert(split.Pick(0).Name, qt.Equals, "a")
	c.Assert(split.Pick(1<<62-1).Name, qt.Equals, "a")
	c.Assert(split.Pick(1<<62).Name, qt.Equals, "b")
	c.Assert(split.Pick(math.MaxUint64).Name, qt.Equals, "b")
}

// TestPickShares counts Pick's results over evenly spaced numbers: each service is returned in proportion to its
// weight, and a service of weight 0 never.
func TestPickShares(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		t, c := r, qt.New(property{t, r})
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 0, 5).Draw(t, "weights")
		weights = append(weights, rapid.IntRange(1, 100).Draw(t, "one above 0")) // they add up to more than 0
		at := rapid.IntRange(0, len(weights)-1).Draw(t, "its place")
		weights[at], weights[len(weights)-1] = weights[len(weights)-1], weights[at]
		total := 0
		shares, services := []item{}, []item{}
		for i, w := range weights {
			name := string(rune('a' + i))
			total += w
			shares = append(shares, item{"svc": name, "wt": w})
			services = append(services, item{"name": name})
		}
		body, err := json.Marshal(item{"ver": 1, "svcs": services, "routing": []item{
			{"name": "r", "hostname": "h", "pfx": "/", "kind": "readonly", "deadline_ms": 1, "shares": shares}}})
		c.Assert(err, qt.IsNil)
		d, found := routingconfig.Decode(body)
		c.Assert(found, qt.HasLen, 0)
		split, _ := routingconfig.NewIndex(d).Lookup("h", "/")
		const draws = 1 << 12
		got := map[string]int{}
		for i := range uint64(draws) {
			got[split.Pick(i<<52).Name]++
		}
		for i, w := range weights {
			want := float64(w) / float64(total) * draws
			c.Assert(math.Abs(float64(got[string(rune('a'+i))])-want) <= 1, qt.IsTrue)
			c.Assert(w > 0 || got[string(rune('a'+i))] == 0, qt.IsTrue)
		}
	})
}
