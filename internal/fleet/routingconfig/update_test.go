package routingconfig_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"molepaddle/internal/fleet/routingconfig"
)

func TestUpdateKeepsOrderAndUnknownFields(t *testing.T) {
	c := qt.New(t)
	r := func(name, extra string) string { return route(name, `,"svc":"a","x-`+name+`":[1, {"y":null}]`+extra) }
	d := decode(t, `{"ver":3,"zz":{"q": 1},"routing":[`+r("r1", "")+`,`+r("r2", "")+`,`+r("r3", "")+`,`+r("r4", "")+
		`],"svcs":[`+service("a")+`,{"name":"b","new":[true]},`+service("c")+`],"caps":{"hdr_max_bytes":5,"later":7}}`)
	before := string(d.Show())
	body := []byte(`{"ver":8,"upsert":{"routing":[` +
		r("new", "") + `,` + r("r3", `,"prio":2`) + `,` + r("r4", `,"prio":3`) +
		`],"svcs":[` + service("d") + `,{"name":"a","z":0}]},` +
		`"remove":{"routing":["r2","gone","r4","r2"],"svcs":["c","gone"]},"later":1}`)
	next := update(t, d, string(body))
	want := `{"ver":8,"routing":[` +
		r("r1", "") + `,` + r("r3", `,"prio":2`) + `,` + r("r4", `,"prio":3`) + `,` + r("new", "") +
		`],"svcs":[{"name":"a","z":0},{"name":"b","new":[true]},` + service("d") +
		`],"caps":{"hdr_max_bytes":5,"later":7},"zz":{"q": 1}}`
	c.Assert(string(next.Show()), qt.Equals, want)
	c.Assert(string(d.Show()), qt.Equals, before)
	c.Assert(next.Config().Routes[1].Priority, qt.Equals, 2)
	c.Assert(next.Limits().MaxHeaderBytes, qt.Equals, int64(5))
	c.Assert(next.Services()[1], qt.Equals, d.Services()[1]) // unchanged, so the same pointer

	capped := update(t, next, `{"ver":9,"upsert":{"caps":{"hdr_max_bytes":6}}}`)
	c.Assert(capped.Limits().MaxHeaderBytes, qt.Equals, int64(6))
	c.Assert(string(capped.Show()), qt.Equals,
		strings.NewReplacer(`{"hdr_max_bytes":5,"later":7}`, `{"hdr_max_bytes":6}`, `"ver":8`, `"ver":9`).Replace(want))
	c.Assert(capped.Equal(next), qt.IsFalse)

	null := update(t, next, `{"ver":9,"upsert":{"routing":null,"svcs":null,"caps":null},"remove":null}`)
	c.Assert(string(null.Show()), qt.Equals, strings.Replace(want, `"ver":8`, `"ver":9`, 1))
}

// TestUpdateSharesNoMemoryWithBody overwrites the body after the update.
func TestUpdateSharesNoMemoryWithBody(t *testing.T) {
	d := decode(t, configurationExample)
	body := []byte(`{"ver":8,"upsert":{"routing":[` + route("q", `,"svc":"huvo11a"`) + `],"svcs":[` + service("s") +
		`],"caps":{"n":1}}}`)
	next, found := routingconfig.Update(d, body)
	qt.Assert(t, found, qt.HasLen, 0)
	shown := string(next.Show())
	for i := range body {
		body[i] = '#'
	}
	qt.Assert(t, string(next.Show()), qt.Equals, shown)
}

// updatedDocument is the configuration that invalidUpdates are applied to: two routes, one of them split, and two
// services.
func updatedDocument(t testing.TB) *routingconfig.Document {
	routes := route("r", `,"svc":"a"`) + "," + route("q", `,"shares":[{"svc":"a","wt":1},{"svc":"b","wt":0}]`)
	return decode(t, configuration(routes, service("a")+","+service("b")))
}

// renamedRoute returns the JSON of the route old with a different name.
func renamedRoute(name, old string) string {
	return strings.Replace(route(old, `,"svc":"a"`), `"name":"`+old+`"`, `"name":"`+name+`"`, 1)
}

// invalidUpdates has updates of updatedDocument that are rejected, and the findings as a regular expression.
var invalidUpdates = map[string]struct{ body, want string }{
	"cut off":          {`{"ver":4,`, "byte .*: not JSON: .*"},
	"key twice":        {`{"ver":4,"remove":{},"remove":{}}`, "remove: the key is given twice"},
	"no version":       {`{}`, "ver: must be given"},
	"not above":        {`{"ver":3}`, "ver: 3 is not above the current version, 3"},
	"upsert a list":    {`{"ver":4,"upsert":[]}`, "upsert: must be an object"},
	"remove a list":    {`{"ver":4,"remove":[]}`, "remove: must be an object"},
	"routes an object": {`{"ver":4,"upsert":{"routing":{}}}`, "upsert.routing: must be a list"},
	"names a text":     {`{"ver":4,"remove":{"svcs":"a"}}`, "remove.svcs: must be a list"},
	"name an item":     {`{"ver":4,"remove":{"routing":["x",{"name":"r"}]}}`, `remove.routing\[1\]: must be a string`},
	"caps text": {
		`{"ver":4,"upsert":{"caps":{"idle_timeout_ms":""}}}`,
		"upsert.caps.idle_timeout_ms: must be a number",
	},
	"item wrong": {
		`{"ver":4,"upsert":{"routing":[` + strings.Replace(route("n", `,"svc":"a"`), `:100`, `:0`, 1) + `]}}`,
		`upsert.routing\[0\].deadline_ms: must be above 0`,
	},
	"item twice": {
		`{"ver":4,"upsert":{"svcs":[` + service("n") + `,` + service("n") + `]}}`,
		`upsert.svcs\[1\].name: "n" is the name of upsert.svcs\[0\] too`,
	},
	"unknown service": {
		`{"ver":4,"upsert":{"routing":[` + route("n", `,"svc":"z"`) + `]}}`,
		`upsert.routing\[0\].svc: the service "z" is not known`,
	},
	"service removed": {
		`{"ver":4,"remove":{"svcs":["b"]}}`,
		`route "q".shares\[1\].svc: the service "b" is not known`,
	},
	"both removed": {
		`{"ver":4,"remove":{"svcs":["a"],"routing":["q"]}}`,
		`route "r".svc: the service "a" is not known`,
	},
	"match of old": {
		`{"ver":4,"upsert":{"routing":[` + renamedRoute("n", "r") + `]}}`,
		`upsert.routing\[0\]: has the hostname and pfx of the route "r"`,
	},
	"match of new": {
		`{"ver":4,"upsert":{"routing":[` + route("n", `,"svc":"a"`) + `,` + renamedRoute("m", "n") + `]}}`,
		`upsert.routing\[1\]: has the same hostname and pfx as upsert.routing\[0\]`,
	},
	"moved onto another": {
		`{"ver":4,"upsert":{"routing":[` + renamedRoute("r", "q") + `]}}`,
		`upsert.routing\[0\]: has the hostname and pfx of the route "q"`,
	},
}

func TestUpdateInvalid(t *testing.T) {
	d := updatedDocument(t)
	for name, test := range invalidUpdates {
		t.Run(name, func(t *testing.T) {
			next, found := routingconfig.Update(d, []byte(test.body))
			qt.Assert(t, next, qt.IsNil)
			qt.Assert(t, found.Err(), qt.ErrorMatches, test.want)
		})
	}
	// Two routes swap their prefixes, which are unique after the update.
	swap := func(name, pfx string) string {
		return strings.Replace(route(name, `,"svc":"a"`), `"pfx":"/`+name, `"pfx":"/`+pfx, 1)
	}
	next := update(t, d, `{"ver":4,"upsert":{"routing":[`+swap("r", "q")+`,`+swap("q", "r")+`]},"remove":{"svcs":["b"]}}`)
	got, ok := routingconfig.NewIndex(next).Lookup("h.example", "/q/x")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got.Name, qt.Equals, "r")
}

// item is a random item, with unknown fields; its name is one of a few, so that names coincide.
type item = map[string]any

func drawRoute(t *rapid.T) item {
	r := item{
		"name":        rapid.SampledFrom([]string{"r1", "r2", "r3", "r4", "r5"}).Draw(t, "name"),
		"hostname":    rapid.SampledFrom([]string{"h", "H", "g"}).Draw(t, "host"),
		"pfx":         rapid.SampledFrom([]string{"/", "/a/", "/b/", "/a/b/", "/c/"}).Draw(t, "prefix"),
		"kind":        "stream",
		"deadline_ms": 5,
		"note":        rapid.Int().Draw(t, "note"),
	}
	services := rapid.SampledFrom([]string{"a", "b", "c"})
	if rapid.Bool().Draw(t, "split") {
		r["shares"] = []any{item{"svc": services.Draw(t, "share"), "wt": rapid.IntRange(0, 2).Draw(t, "wt")},
			item{"svc": services.Draw(t, "share"), "wt": rapid.IntRange(0, 2).Draw(t, "wt")}}
	} else {
		r["svc"] = services.Draw(t, "svc")
	}
	return r
}

func drawService(t *rapid.T) item {
	return item{"name": rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), "note": rapid.Int().Draw(t, "note")}
}

func distinctNames(i item) string { return i["name"].(string) }

// referenceUpdate is the reference implementation of an update, without regard to its cost.
func referenceUpdate(old, upserts []item, removed []string) []item {
	out := []item{}
	for _, have := range old {
		keep := have
		for _, name := range removed {
			if have["name"] == name {
				keep = nil
			}
		}
		for _, p := range upserts {
			if p["name"] == have["name"] {
				keep = p
			}
		}
		if keep != nil {
			out = append(out, keep)
		}
	}
	for _, p := range upserts {
		isNew := true
		for _, have := range old {
			isNew = isNew && have["name"] != p["name"]
		}
		if isNew {
			out = append(out, p)
		}
	}
	return out
}

// TestUpdateEqualsReplace compares each update with a replacement by the resulting configuration: either both are
// accepted with the same result, or both are rejected.
func TestUpdateEqualsReplace(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		t, c := r, qt.New(property{t, r})
		marshal := func(v any) []byte {
			b, err := json.Marshal(v)
			c.Assert(err, qt.IsNil)
			return b
		}
		var doc *routingconfig.Document
		routes, services := []item{}, []item{}
		for ver := 1; ver <= rapid.IntRange(2, 12).Draw(t, "steps"); ver++ {
			putRoutes := rapid.SliceOfNDistinct(rapid.Custom(drawRoute), 0, 3, distinctNames).Draw(t, "routes")
			putServices := rapid.SliceOfNDistinct(rapid.Custom(drawService), 0, 3, distinctNames).Draw(t, "services")
			removedRoutes := rapid.SliceOfN(rapid.SampledFrom([]string{"r1", "r2", "r3", "zz"}), 0, 2).Draw(t, "gone routes")
			removedServices := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "zz"}), 0, 1).Draw(t, "gone services")
			newRoutes, newServices := referenceUpdate(routes, putRoutes, removedRoutes), referenceUpdate(services, putServices, removedServices)

			before := doc.Show()
			next, found := routingconfig.Update(doc, marshal(item{
				"ver":    ver,
				"upsert": item{"routing": putRoutes, "svcs": putServices},
				"remove": item{"routing": removedRoutes, "svcs": removedServices},
			}))
			body := marshal(item{"ver": ver, "routing": newRoutes, "svcs": newServices})
			want, wantFound := routingconfig.Replace(doc, body)
			c.Assert(doc.Show(), qt.DeepEquals, before)
			c.Assert(len(found) == 0, qt.Equals, len(wantFound) == 0, qt.Commentf("%v\n%v", found, wantFound))
			if next == nil {
				continue
			}
			c.Assert(next.Equal(want), qt.IsTrue)
			c.Assert(next.Config(), qt.DeepEquals, want.Config())
			var shown, sent any
			c.Assert(json.Unmarshal(next.Show(), &shown), qt.IsNil)
			c.Assert(json.Unmarshal(body, &sent), qt.IsNil)
			c.Assert(shown, qt.DeepEquals, sent)
			doc, routes, services = next, newRoutes, newServices
		}
	})
}

// manyRoutes returns the JSON of a configuration of n routes.
func manyRoutes(n int) string {
	var b strings.Builder
	b.WriteString(`{"ver":1,"svcs":[{"name":"a"},{"name":"b"}],"routing":[`)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%d","hostname":"host%d.example","pfx":"/p%d/","kind":"stream",`+
			`"deadline_ms":2000,"target_ms":150,"prio":1,"shares":[{"svc":"a","wt":90},{"svc":"b","wt":10}],`+
			`"tries":2,"pin":true,"resumable":true,"gap_aim_ms":150}`, i, i%7, i)
	}
	b.WriteString("]}")
	return b.String()
}

// TestManyRoutes changes one route and all routes of 100,000. The time limit for one is generous, so that the
// test doesn't fail on a busy machine.
func TestManyRoutes(t *testing.T) {
	c := qt.New(t)
	const n = 100_000
	body := manyRoutes(n)
	began := time.Now()
	d := decode(t, body)
	t.Logf("decode: %v", time.Since(began))

	began = time.Now()
	oneRoute := `{"ver":2,"upsert":{"routing":[` + route("new", `,"svc":"a"`) +
		`]},"remove":{"routing":["r-5"],"svcs":["zz"]}}`
	one := update(t, d, oneRoute)
	t.Logf("update of one: %v", time.Since(began))
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	c.Assert(one.NumRoutes(), qt.Equals, n)

	change := strings.Replace(body, `"ver":1,`, `"ver":2,"upsert":{`, 1) + "}"
	change = strings.ReplaceAll(change, `"tries":2`, `"tries":3`)
	began = time.Now()
	all := update(t, d, change)
	t.Logf("update of all: %v", time.Since(began))
	c.Assert(all.Config().Routes[n-1].MaxAttempts, qt.Equals, 3)
	c.Assert(all.NumRoutes(), qt.Equals, n)

	began = time.Now()
	x := routingconfig.NewIndex(d)
	t.Logf("index: %v", time.Since(began))
	r, ok := x.Lookup("host4.example", "/p99999/x")
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Name, qt.Equals, "r-99999")

	began = time.Now()
	c.Assert(len(d.Show()), qt.Equals, len(body))
	t.Logf("show: %v", time.Since(began))
}

func BenchmarkDecode(b *testing.B) {
	body := []byte(manyRoutes(1000))
	b.ReportAllocs()
	for b.Loop() {
		if _, found := routingconfig.Decode(body); len(found) > 0 {
			b.Fatal(found)
		}
	}
}

func BenchmarkUpdateOne(b *testing.B) {
	d, _ := routingconfig.Decode([]byte(manyRoutes(1000)))
	body := []byte(`{"ver":2,"upsert":{"routing":[` + route("new", `,"svc":"a"`) + `]}}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, found := routingconfig.Update(d, body); len(found) > 0 {
			b.Fatal(found)
		}
	}
}
