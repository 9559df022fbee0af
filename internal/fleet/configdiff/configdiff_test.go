package configdiff_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/configdiff"
	"molepaddle/internal/fleet/routingconfig"
)

// route is the format of a route's JSON: number, number, deadline_ms, and further fields.
const route = `{"name":"r%d","hostname":"h","pfx":"/%d/","kind":"readonly","deadline_ms":%s,"svc":"a"%s}`

func document(c *qt.C, text string) *routingconfig.Document {
	d, found := routingconfig.Decode([]byte(text))
	c.Assert(found, qt.HasLen, 0)
	return d
}

func body(ver int, routes, services, more string) string {
	return fmt.Sprintf(`{"ver":%d,"routing":[%s],"svcs":[%s]%s}`, ver, routes, services, more)
}

func lines(all []configdiff.Change) []string {
	out := []string{}
	for _, c := range all {
		out = append(out, fmt.Sprintf("%s %s %s: %s -> %s", c.Kind, c.Name, c.Field, c.Old, c.New))
	}
	return out
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	r := func(n int, deadline, more string) string { return fmt.Sprintf(route, n, n, deadline, more) }
	const services = `{"name":"a"},{"name":"b"}`
	baseRoutes := r(1, "100", "") + "," + r(2, "100", "")
	base := body(1, baseRoutes, services, "")
	for _, test := range []struct {
		name, to string
		want     []string
	}{
		{"the version alone", body(2, baseRoutes, services, ""), []string{}},
		{
			"numbers by value, null as absent",
			body(2, r(1, "1e2", `,"prio":null`)+","+r(2, "100.0", ""), services, ""),
			[]string{},
		},
		{
			"a field",
			body(2, r(1, "100", "")+","+r(2, "250", `,"new_field":{"x":1}`), services, ""),
			[]string{"route r2 deadline_ms: 100 -> 250", `route r2 new_field:  -> {"x":1}`},
		},
		{
			"removed and added",
			body(2, r(3, "100", "")+","+r(1, "100", ""), `{"name":"a"}`, ""),
			[]string{
				`route r2 : {"name":"r2","hostname":"h","pfx":"/2/","kind":"readonly","deadline_ms":100,"svc":"a"} -> `,
				`route r3 :  -> {"name":"r3","hostname":"h","pfx":"/3/","kind":"readonly","deadline_ms":100,"svc":"a"}`,
				`service b : {"name":"b"} -> `,
			},
		},
		{
			"order",
			body(2, r(2, "100", "")+","+r(1, "100", ""), services, ""),
			[]string{`configuration  routing order: ["r1","r2"] -> ["r2","r1"]`},
		},
		{
			"the remaining fields",
			body(2, baseRoutes, `{"name":"a","runtime":{"capacity":4}},{"name":"b"}`,
				`,"caps":{"body_max_bytes":5},"zeal":[1]`),
			[]string{
				`service a runtime:  -> {"capacity":4}`,
				`caps  :  -> {"body_max_bytes":5}`,
				`configuration  zeal:  -> [1]`,
			},
		},
	} {
		changes := configdiff.Diff(document(c, base), document(c, test.to))
		c.Check(lines(changes), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}

func TestDiffInside(t *testing.T) {
	c := qt.New(t)
	with := func(shares, caps string) *routingconfig.Document {
		split := fmt.Sprintf(route, 1, 1, "5", `,"shares":`+shares)
		return document(c, body(1, split, `{"name":"a"},{"name":"b"}`, `,"caps":`+caps))
	}
	a := with(`[{"svc":"a","wt":90},{"svc":"b","wt":10}]`, `{"body_max_bytes":9007199254740993,"x":"\u0041"}`)
	b := with(`[{"svc":"a","wt":80},{"svc":"b","wt":20}]`, `{"body_max_bytes":9007199254740992,"x":"A"}`)
	c.Check(lines(configdiff.Diff(a, b)), qt.DeepEquals, []string{
		"route r1 shares[0].wt: 90 -> 80", "route r1 shares[1].wt: 10 -> 20",
		"caps  body_max_bytes: 9007199254740993 -> 9007199254740992",
	})
	one := with(`[{"svc":"a","wt":90}]`, `{}`)
	want := `route r1 shares: [{"svc":"a","wt":90},{"svc":"b","wt":10}] -> [{"svc":"a","wt":90}]`
	c.Check(lines(configdiff.Diff(a, one))[0], qt.Equals, want)
}

func TestDiffOfNothing(t *testing.T) {
	c := qt.New(t)
	c.Check(configdiff.Diff(nil, nil), qt.HasLen, 0)
	d := document(c, body(1, "", `{"name":"a"}`, ""))
	first := configdiff.Diff(nil, d)
	c.Assert(first, qt.HasLen, 1)
	c.Check(first[0].Added(), qt.IsTrue)
	c.Check(first[0].Removed(), qt.IsFalse)
	c.Check(configdiff.Diff(d, nil)[0].Removed(), qt.IsTrue)
}

// TestDiffAccounts: accounts are compared by name, and their keys are shown and compared by their hashes.
func TestDiffAccounts(t *testing.T) {
	c := qt.New(t)
	with := func(accounts string) *routingconfig.Document {
		return document(c, body(1, "", "", accounts))
	}
	hash := func(key string) string { return `"` + routingconfig.HashKey(key).String() + `"` }
	a, b, d := hash("secret-a"), hash("secret-b"), hash("secret-d")
	const base = `,"accounts":[{"name":"one","apikeys":["secret-a"],"rate_s":5},{"name":"two","apikeys":["secret-b"]}]`
	for _, test := range []struct {
		name, to string
		want     []string
	}{
		{"the same, written otherwise", `,"accounts":[{"rate_s":5.0,"apikeys":["s\u0065cret-a"],"name":"one"},` +
			`{"name":"two","apikeys":["secret-b"]}]`, []string{}},
		{"a key more, another key, a quota", `,"accounts":[{"name":"one","apikeys":["secret-a","secret-d"],"rate_s":9},` +
			`{"name":"two","apikeys":["secret-d2"]}]`, []string{
			"account one apikeys: [" + a + "] -> [" + a + "," + d + "]", "account one rate_s: 5 -> 9",
			"account two apikeys[0]: " + b + " -> " + hash("secret-d2"),
		}},
		{"added and removed", `,"accounts":[{"name":"two","apikeys":["secret-b"]},{"name":"new","apikeys":["secret-d"]}]`,
			[]string{
				`account one : {"name":"one","apikeys":[` + a + `],"rate_s":5} -> `,
				`account new :  -> {"name":"new","apikeys":[` + d + `]}`,
			}},
		{"order", `,"accounts":[{"name":"two","apikeys":["secret-b"]},{"name":"one","apikeys":["secret-a"],"rate_s":5}]`,
			[]string{`configuration  accounts order: ["one","two"] -> ["two","one"]`}},
		{"keys needed no more", "", []string{
			`account one : {"name":"one","apikeys":[` + a + `],"rate_s":5} -> `,
			`account two : {"name":"two","apikeys":[` + b + `]} -> `,
			`configuration  accounts: ["one","two"] -> `,
		}},
	} {
		changes := configdiff.Diff(with(base), with(test.to))
		c.Check(lines(changes), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
	// An empty list of accounts is a change too: requests need keys with it.
	c.Check(lines(configdiff.Diff(with(""), with(`,"accounts":[]`))), qt.DeepEquals,
		[]string{"configuration  accounts:  -> []"})
}
