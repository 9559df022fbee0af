package routingconfig_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
)

// TestShowRedacted: no part of a key is shown, wherever in an account it is, and everything else is as the operator
// sent it.
func TestShowRedacted(t *testing.T) {
	c := qt.New(t)
	hash := func(key string) string { return routingconfig.HashKey(key).String() }
	const more = `,"prio":1,"rate_s":2.50,"next":{"secret-c":["secret-d",7,null,true]},"apikeys":["secret-a","secr\u0065t-b"]`
	d := decode(t, withAccounts(3, `{ "name" : "one"`+more+`}`, `{"name":"none"}`))
	want := withAccounts(3, `{"name":"one","prio":1,"rate_s":2.50,"next":{"`+hash("secret-c")+`":["`+hash("secret-d")+
		`",7,null,true]},"apikeys":["`+hash("secret-a")+`","`+hash("secret-b")+`"]}`, `{"name":"none"}`)
	c.Assert(string(d.ShowRedacted()), qt.Equals, want)
	c.Assert(string(d.Show()), qt.Contains, "secret-a", qt.Commentf("the document itself is as it was"))
	c.Assert(d.NumAPIKeys(), qt.DeepEquals, []int{2, 0})
	without := decode(t, configuration("", service("a")))
	c.Assert(string(without.ShowRedacted()), qt.Equals, string(without.Show()))
	c.Assert(without.NumAPIKeys(), qt.IsNil)
	var none *routingconfig.Document
	c.Assert(string(none.ShowRedacted()), qt.Equals, string(none.Show()))
}

// TestKeysAsNamesStandInNoFinding: API keys given as names of fields are invalid, and the finding about a duplicate
// name doesn't show them.
func TestKeysAsNamesStandInNoFinding(t *testing.T) {
	body := withAccounts(3, `{"name":"one","apikeys":{"secret-a":{"secret-b":1,"secret-b":2},"secret-a":1}}`)
	_, found := routingconfig.Decode([]byte(body))
	qt.Assert(t, strings.Count(found.String(), "is given twice"), qt.Equals, 2, qt.Commentf("%s", found))
	qt.Assert(t, found.String(), qt.Contains, "accounts[0].apikeys."+routingconfig.HashKey("secret-a").String()+": ")
	qt.Assert(t, found.String(), qt.Not(qt.Contains), "secret")
}
