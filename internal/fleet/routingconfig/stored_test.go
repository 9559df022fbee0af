package routingconfig_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
)

// TestStoredAccountsOfEarlierBuilds guards rule LOST: a control server didn't start with a stored configuration whose
// accounts are invalid; an earlier build, which didn't read accounts, had accepted it.
func TestStoredAccountsOfEarlierBuilds(t *testing.T) {
	for name, body := range map[string]string{
		"a shared key": withAccounts(3, account("one", "k1", "k2"), account("two", "k2"), account("three", "k2", "k3")),
		"a bad rank":   withAccounts(3, account("one", "k1"), `{"name":"two","prio":-1}`, account("three", "k3")),
		"no list":      `{"ver":3,"routing":[],"svcs":[],"accounts":{"a":1}}`,
		"no object":    withAccounts(3, account("one", "k1"), `7`, account("three", "k3")),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, found := routingconfig.Decode([]byte(body))
			c.Assert(found, qt.Not(qt.HasLen), 0)
			d, found := routingconfig.Decode([]byte(body), routingconfig.Stored())
			c.Assert(found, qt.HasLen, 0)
			x := routingconfig.NewIndex(d)
			_, shared := x.AccountOfKey("k2")
			c.Assert(shared, qt.IsFalse)
			if name != "no list" {
				one, ok := x.AccountOfKey("k1")
				c.Assert(ok, qt.IsTrue)
				c.Assert(one.Name, qt.Equals, "one")
				c.Assert(string(d.Show()), qt.Equals, body)
			}
		})
	}
}

// TestStoredUpdatesOfEarlierBuilds: an update that an earlier build accepted is applied when it is read from the log.
func TestStoredUpdatesOfEarlierBuilds(t *testing.T) {
	d := decode(t, configuration("", service("a")))
	for _, body := range []string{
		`{"ver":4,"accounts":[{"name":"a"}]}`, `{"ver":4,"tenants":[1]}`, `{"ver":4,"upsert":{"ver":9}}`,
	} {
		c := qt.New(t)
		_, found := routingconfig.Update(d, []byte(body))
		c.Assert(found, qt.Not(qt.HasLen), 0, qt.Commentf("%s", body))
		next, found := routingconfig.Update(d, []byte(body), routingconfig.Stored())
		c.Assert(found, qt.HasLen, 0, qt.Commentf("%s", body))
		c.Assert(next.Version(), qt.Equals, int64(4))
		again, found := routingconfig.Decode(next.Show())
		c.Assert(found, qt.HasLen, 0, qt.Commentf("%s", body))
		c.Assert(again.Equal(next), qt.IsTrue)
	}
}
