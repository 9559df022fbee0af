package routingconfig_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"molepaddle/internal/fleet/routingconfig"
)

// withTenants returns the JSON of a configuration with a service "a" and the given routes and tenants.
func withTenants(routes, tenants string) string {
	return `{"ver":3,"routing":[` + routes + `],"svcs":[` + service("a") + `],"tenants":[` + tenants + `]}`
}

// routeToA returns the JSON of a route to the service "a"; more is appended to its fields.
func routeToA(name, more string) string { return route(name, `,"svc":"a"`+more) }

func TestTenants(t *testing.T) {
	c := qt.New(t)
	routes := []string{
		routeToA("r", `,"tenant":"kobe","regions":["east"]`),
		routeToA("q", `,"tenant":"kobe"`),
		routeToA("p", `,"regions":["west"]`),
		routeToA("o", ""),
	}
	body := withTenants(strings.Join(routes, ","),
		`{"name":"kobe","regions":["east", "mid"],"since":7},{"name":"oita","regions":["mid"]}`)
	d := decode(t, body)
	c.Assert(string(d.Show()), qt.Equals, body)
	c.Assert(decode(t, string(d.Show())).Equal(d), qt.IsTrue)
	c.Assert(d.Tenants(), qt.HasLen, 2)
	c.Assert(*d.Tenants()[0], qt.DeepEquals, routingconfig.Tenant{Name: "kobe", Regions: []string{"east", "mid"}})
	c.Assert(d.Config().Tenants, qt.HasLen, 2)
	var names []string
	for _, r := range d.RoutesWithResidencyTerms() {
		names = append(names, r.Name)
	}
	c.Assert(names, qt.DeepEquals, []string{"r", "q", "p"})
	c.Assert(d.RoutesWithResidencyTerms()[0].Regions, qt.DeepEquals, []string{"east"})
	c.Assert(d.RoutesWithResidencyTerms()[1].Regions, qt.IsNil)
	c.Assert((*routingconfig.Document)(nil).Tenants(), qt.HasLen, 0)
	c.Assert((*routingconfig.Document)(nil).RoutesWithResidencyTerms(), qt.HasLen, 0)

	// No list is shown if none was sent; an empty list is shown.
	without := configuration(routeToA("o", ""), service("a"))
	c.Assert(string(decode(t, without).Show()), qt.Equals, without)
	empty := withTenants(routeToA("o", ""), "")
	c.Assert(string(decode(t, empty).Show()), qt.Equals, empty)
}

func TestTenantsUpdated(t *testing.T) {
	c := qt.New(t)
	d := decode(t, withTenants(routeToA("r", `,"tenant":"kobe","regions":["east"]`)+","+routeToA("q", `,"tenant":"oita"`),
		`{"name":"kobe","regions":["east","mid"]},{"name":"oita","regions":["mid"]}`))
	before := string(d.Show())

	next := update(t, d,
		`{"ver":4,"upsert":{"tenants":[{"name":"kobe","regions":["east"]},{"name":"nara","regions":["west"]}]}}`)
	c.Assert(string(next.Show()), qt.Contains, `"tenants":[{"name":"kobe","regions":["east"]},`+
		`{"name":"oita","regions":["mid"]},{"name":"nara","regions":["west"]}]`)
	c.Assert(string(d.Show()), qt.Equals, before)
	c.Assert(decode(t, string(next.Show())).Equal(next), qt.IsTrue)
	c.Assert(next.Equal(d), qt.IsFalse)

	next = update(t, next, `{"ver":5,"upsert":{"routing":[`+routeToA("q", "")+`]},"remove":{"tenants":["oita","gone"]}}`)
	c.Assert(next.Tenants(), qt.HasLen, 2)
	last := update(t, next, `{"ver":6,"upsert":{"routing":[`+routeToA("z", `,"tenant":"nara"`)+`]}}`)
	c.Assert(last.RoutesWithResidencyTerms(), qt.HasLen, 2)

	for name, test := range map[string]struct{ body, want string }{
		"withdrawn from under a route": {
			`{"ver":4,"upsert":{"tenants":[{"name":"kobe","regions":["mid"]}]}}`,
			`route "r".regions[0]: "east" is not among the regions of the tenant "kobe"`,
		},
		"removed from under a route": {
			`{"ver":4,"remove":{"tenants":["oita"]}}`,
			`route "q".tenant: the tenant "oita" is not listed`,
		},
		"route of an unknown one": {
			`{"ver":4,"upsert":{"routing":[` + routeToA("n", `,"tenant":"x"`) + `]}}`,
			`upsert.routing[0].tenant: the tenant "x" is not listed`,
		},
		"route beyond its tenant": {
			`{"ver":4,"upsert":{"routing":[` + routeToA("n", `,"tenant":"oita","regions":["mid","east"]`) + `]}}`,
			`upsert.routing[0].regions[1]: "east" is not among the regions of the tenant "oita"`,
		},
		"named twice": {
			`{"ver":4,"upsert":{"tenants":[{"name":"n","regions":["a"]},{"name":"n","regions":["a"]}]}}`,
			`upsert.tenants[1].name: "n" is the name of upsert.tenants[0] too`,
		},
		"removal no name": {`{"ver":4,"remove":{"tenants":[1]}}`, `remove.tenants[0]: must be a string`},
	} {
		t.Run(name, func(t *testing.T) {
			_, found := routingconfig.Update(d, []byte(test.body))
			qt.Assert(t, lines(found), qt.DeepEquals, []string{test.want})
		})
	}
	// The tenants share no memory with the body.
	body := []byte(`{"ver":4,"upsert":{"tenants":[{"name":"new","regions":["mid"]}]}}`)
	next, found := routingconfig.Update(d, body)
	c.Assert(found, qt.HasLen, 0)
	shown := string(next.Show())
	for i := range body {
		body[i] = '#'
	}
	c.Assert(string(next.Show()), qt.Equals, shown)
}

// invalidTenants has bodies with invalid tenants or regions, and the findings.
var invalidTenants = map[string]struct{ body, want string }{
	"not a list":    {strings.Replace(withTenants("", ""), "[]}", "{}}", 1), "tenants: must be a list"},
	"not an object": {withTenants("", `7`), "tenants[0]: must be an object"},
	"no name":       {withTenants("", `{"regions":["a"]}`), "tenants[0].name: must be given and not be empty"},
	"no regions":    {withTenants("", `{"name":"n"}`), "tenants[0].regions: must be given"},
	"null regions": {
		withTenants("", `{"name":"n","regions":null}`),
		"tenants[0].regions: must be a list (leave it out where anywhere will do)",
	},
	"empty regions":    {withTenants("", `{"name":"n","regions":[ ]}`), "tenants[0].regions: must name a region"},
	"regions a string": {withTenants("", `{"name":"n","regions":"a"}`), "tenants[0].regions: must be a list"},
	"a region no string": {
		withTenants("", `{"name":"n","regions":["a",2]}`),
		"tenants[0].regions[1]: must be a string",
	},
	"a region empty": {
		withTenants("", `{"name":"n","regions":[""]}`),
		"tenants[0].regions[0]: must not be empty",
	},
	"a region null": {
		withTenants("", `{"name":"n","regions":[null]}`),
		"tenants[0].regions[0]: must be a string",
	},
	"a region twice": {
		withTenants("", `{"name":"n","regions":["a","a"]}`),
		`tenants[0].regions[1]: "a" is there already`,
	},
	"name twice": {
		withTenants("", `{"name":"n","regions":["a"]},{"name":"n","regions":["b"]}`),
		`tenants[1].name: "n" is the name of tenants[0] too`,
	},
	"tenant not listed": {
		withTenants(routeToA("r", `,"tenant":"x"`), ""),
		`routing[0].tenant: the tenant "x" is not listed`,
	},
	"no tenants at all": {
		configuration(routeToA("r", `,"tenant":"x"`), service("a")),
		`routing[0].tenant: the tenant "x" is not listed`,
	},
	"tenant no string": {
		withTenants(routeToA("r", `,"tenant":["n"]`), `{"name":"n","regions":["a"]}`),
		"routing[0].tenant: must be a string",
	},
	"tenant empty": {
		withTenants(routeToA("r", `,"tenant":""`), ""),
		"routing[0].tenant: must be given and not be empty",
	},
	"tenant null": {
		withTenants(routeToA("r", `,"tenant":null`), ""),
		"routing[0].tenant: must be a string (leave it out where there is no tenant)",
	},
	"route's regions empty": {
		withTenants(routeToA("r", `,"regions":[]`), ""),
		"routing[0].regions: must name a region",
	},
	"route's regions null": {
		withTenants(routeToA("r", `,"regions":null`), ""),
		"routing[0].regions: must be a list (leave it out where anywhere will do)",
	},
	"route beyond tenant": {
		withTenants(routeToA("r", `,"tenant":"n","regions":["b"]`), `{"name":"n","regions":["a"]}`),
		`routing[0].regions[0]: "b" is not among the regions of the tenant "n"`,
	},
	"regions of a wrong type": {
		withTenants(routeToA("r", `,"regions":{"a":1}`), ""),
		"routing[0].regions: must be a list",
	},
}

func TestInvalidTenants(t *testing.T) {
	for name, test := range invalidTenants {
		t.Run(name, func(t *testing.T) {
			d, found := routingconfig.Decode([]byte(test.body))
			qt.Assert(t, d, qt.IsNil)
			qt.Assert(t, lines(found), qt.DeepEquals, strings.Split(test.want, "|"))
		})
	}
}

// TestKnownRegions: regions that the deployment doesn't have are rejected if its regions are known.
func TestKnownRegions(t *testing.T) {
	c := qt.New(t)
	body := []byte(withTenants(routeToA("r", `,"regions":["b"]`), `{"name":"n","regions":["a","c"]}`))
	known := routingconfig.KnownRegions(map[string]string{"z1": "a", "z2": "a", "z3": ""})
	_, found := routingconfig.Decode(body, known)
	c.Assert(lines(found), qt.DeepEquals, []string{
		`tenants[0].regions[1]: the deployment has no region "c"`,
		`routing[0].regions[0]: the deployment has no region "b"`,
	})
	for _, checks := range [][]routingconfig.Check{nil, {routingconfig.KnownRegions(nil)}, {{}}} {
		_, found = routingconfig.Decode(body, checks...)
		c.Assert(found, qt.HasLen, 0)
	}
	d := decode(t, string(body))
	unknown := `{"ver":4,"upsert":{"tenants":[{"name":"m","regions":["d"]}],"routing":[` +
		routeToA("s", `,"regions":["a","e"]`) + `]}}`
	_, found = routingconfig.Update(d, []byte(unknown), known)
	c.Assert(lines(found), qt.DeepEquals, []string{
		`upsert.tenants[0].regions[0]: the deployment has no region "d"`,
		`upsert.routing[0].regions[1]: the deployment has no region "e"`,
	})
	// The configuration in force is not checked again: an operator may correct one item at a time.
	_, found = routingconfig.Update(d, []byte(`{"ver":4,"remove":{"routing":["r"]}}`), known)
	c.Assert(found, qt.HasLen, 0)
}

// TestUpdatesKeepResidencyTerms applies random updates: an accepted document never has a route with regions that its
// tenant doesn't have, and decodes again to an equal document.
func TestUpdatesKeepResidencyTerms(t *testing.T) {
	regions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string])
	list := func(names []string) string { return `["` + strings.Join(names, `","`) + `"]` }
	rapid.Check(t, func(r *rapid.T) {
		var d *routingconfig.Document
		service := `"svcs":[{"name":"a"}]`
		for v := 1; v < 12; v++ {
			var routes, tenants, removedRoutes, removedTenants []string
			for _, name := range []string{"r", "q", "p"} {
				switch rapid.IntRange(0, 4).Draw(r, "route") {
				case 0:
					removedRoutes = append(removedRoutes, name)
				case 1:
					tenant := rapid.SampledFrom([]string{"t", "u"}).Draw(r, "of")
					routes = append(routes, routeToA(name, `,"tenant":"`+tenant+`"`))
				case 2:
					routes = append(routes, routeToA(name, `,"tenant":"t","regions":`+list(regions.Draw(r, "own"))))
				}
			}
			for _, name := range []string{"t", "u"} {
				switch rapid.IntRange(0, 3).Draw(r, "tenant") {
				case 0:
					removedTenants = append(removedTenants, name)
				case 1:
					tenants = append(tenants, `{"name":"`+name+`","regions":`+list(regions.Draw(r, "regions"))+`}`)
				}
			}
			quoted := func(all []string) string {
				if len(all) == 0 {
					return "[]"
				}
				return list(all)
			}
			body := `{"ver":` + strings.Repeat("1", v) + `,"upsert":{` + service + `,"routing":[` +
				strings.Join(routes, ",") + `],"tenants":[` + strings.Join(tenants, ",") +
				`]},"remove":{"routing":` + quoted(removedRoutes) + `,"tenants":` + quoted(removedTenants) + `}}`
			next, found := routingconfig.Update(d, []byte(body))
			if len(found) > 0 {
				continue
			}
			d = next
			again, found := routingconfig.Decode(d.Show())
			if len(found) > 0 || !again.Equal(d) {
				r.Fatalf("%s: %v", d.Show(), found)
			}
			requireResidencyTerms(r, d)
		}
	})
}

// requireResidencyTerms fails the test if a route has regions that its tenant doesn't have.
func requireResidencyTerms(r *rapid.T, d *routingconfig.Document) {
	tenants := map[string][]string{}
	for _, tenant := range d.Tenants() {
		tenants[tenant.Name] = tenant.Regions
	}
	for _, route := range d.RoutesWithResidencyTerms() {
		regions, ok := tenants[route.Tenant]
		if route.Tenant != "" && !ok {
			r.Fatalf("%s names %s", route.Name, route.Tenant)
		}
		for _, region := range route.Regions {
			if route.Tenant != "" && !strings.Contains(strings.Join(regions, " "), region) {
				r.Fatalf("%s may be stored in %s, its tenant's data not", route.Name, region)
			}
		}
	}
}

// TestOperatorsPage decodes the example configuration and the example update of the operators' page.
func TestOperatorsPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/operators/regions.md")
	c.Assert(err, qt.IsNil)
	var blocks []string
	for i, part := range strings.Split(string(page), "```") {
		if body, ok := strings.CutPrefix(part, "json\n"); ok && i%2 == 1 {
			blocks = append(blocks, body)
		}
	}
	c.Assert(blocks, qt.HasLen, 2)
	known := routingconfig.KnownRegions(map[string]string{"a": "kerala-central", "b": "kerala-north"})
	d, found := routingconfig.Decode([]byte(blocks[0]), known)
	c.Assert(found, qt.HasLen, 0)
	_, found = routingconfig.Update(d, []byte(blocks[1]), known)
	c.Assert(found, qt.HasLen, 0)
}
