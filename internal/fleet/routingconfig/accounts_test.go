package routingconfig_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
)

// account returns the JSON of an account with the given keys.
func account(name string, keys ...string) string {
	return fmt.Sprintf(`{"name":%q,"apikeys":["%s"]}`, name, strings.Join(keys, `","`))
}

// withAccounts returns the JSON of a configuration of one route with the given accounts.
func withAccounts(version int, accounts ...string) string {
	const format = `{"ver":%d,"routing":[%s],"svcs":[%s],"accounts":[%s]}`
	return fmt.Sprintf(format, version, route("r", `,"svc":"a"`), service("a"), strings.Join(accounts, ","))
}

func TestAccountOfKey(t *testing.T) {
	c := qt.New(t)
	d := decode(t, withAccounts(3, account("one", "key-a", "key-b"), account("two", "key-c"), `{"name":"none"}`))
	x := routingconfig.NewIndex(d)
	c.Assert(x.KeysRequired(), qt.IsTrue)
	for key, name := range map[string]string{"key-a": "one", "key-b": "one", "key-c": "two"} {
		a, ok := x.AccountOfKey(key)
		c.Assert(ok, qt.IsTrue, qt.Commentf("%s", key))
		c.Assert(a.Name, qt.Equals, name)
	}
	for _, key := range []string{"", "key-", "key-A", "key-ab", "one", strings.Repeat("k", 1<<16)} {
		_, ok := x.AccountOfKey(key)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%.10s", key))
	}
	named, ok := x.Account("none")
	c.Assert(ok, qt.IsTrue)
	c.Assert(named.Limited(), qt.IsFalse)
}

// TestEmptyAccountsRequireKeys: an empty list of accounts isn't the same as no list: requests need a key, and no key is
// valid.
func TestEmptyAccountsRequireKeys(t *testing.T) {
	c := qt.New(t)
	c.Assert(routingconfig.NewIndex(decode(t, withAccounts(3))).KeysRequired(), qt.IsTrue)
	without := decode(t, configuration("", service("a")))
	c.Assert(routingconfig.NewIndex(without).KeysRequired(), qt.IsFalse)
	c.Assert(without.Accounts(), qt.IsNil)
}

func TestInvalidAccounts(t *testing.T) {
	for name, tc := range map[string]struct {
		accounts string
		want     string
	}{
		"a shared key":  {account("one", "k1") + "," + account("two", "k2", "k1"), `is a key of the account "one" too`},
		"no name":       {`{"apikeys":["k1"]}`, "must be given"},
		"name twice":    {account("one", "k1") + "," + account("one", "k2"), "is the name of"},
		"a key twice":   {`{"name":"one","apikeys":["k1"],"apikeys":["k2"]}`, "apikeys"},
		"an empty key":  {account("one", ""), "must be a string that is not empty"},
		"a number":      {`{"name":"one","apikeys":[7]}`, "must be a string that is not empty"},
		"no list":       {`{"name":"one","apikeys":"k1"}`, "must be a list"},
		"name of bytes": {`{"name":"one\r\nX: y","apikeys":[]}`, "printable ASCII"},
		"rate below 0":  {`{"name":"one","rate_s":-1}`, "must not be negative"},
		"burst below 0": {`{"name":"one","burst":-1}`, "must not be negative"},
		"prio below 0":  {`{"name":"one","prio":-1}`, "must not be negative"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, found := routingconfig.Decode([]byte(withAccounts(3, tc.accounts)))
			c.Assert(found, qt.Not(qt.HasLen), 0)
			c.Assert(found.String(), qt.Contains, tc.want)
			c.Assert(found.String(), qt.Not(qt.Contains), "k1", qt.Commentf("a key must not be shown"))
		})
	}
}

// TestKeyTwiceInOneAccount: a duplicate key in the list of one account isn't a key of two accounts.
func TestKeyTwiceInOneAccount(t *testing.T) {
	x := routingconfig.NewIndex(decode(t, withAccounts(3, account("one", "k1", "k1"))))
	a, ok := x.AccountOfKey("k1")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, a.Name, qt.Equals, "one")
}

func TestUpdateAccounts(t *testing.T) {
	c := qt.New(t)
	d := decode(t, withAccounts(3, account("one", "k1"), account("two", "k2"), account("three", "k3")))
	next := update(t, d, `{"ver":4,"upsert":{"accounts":[`+account("two", "k4")+`,`+account("four", "k1b")+
		`]},"remove":{"accounts":["three","unknown"]}}`)
	c.Assert(string(next.Show()), qt.Equals,
		withAccounts(4, account("one", "k1"), account("two", "k4"), account("four", "k1b")))
	c.Assert(string(d.Show()), qt.Equals,
		withAccounts(3, account("one", "k1"), account("two", "k2"), account("three", "k3")))
	x := routingconfig.NewIndex(next)
	for key, known := range map[string]bool{"k1": true, "k2": false, "k3": false, "k4": true, "k1b": true} {
		_, ok := x.AccountOfKey(key)
		c.Assert(ok, qt.Equals, known, qt.Commentf("%s", key))
	}
	// One update may move a key to another account; an update that adds it to a second account is rejected.
	moved := update(t, next, `{"ver":5,"upsert":{"accounts":[`+account("one", "k4")+`,`+account("two", "k1")+`]}}`)
	a, _ := routingconfig.NewIndex(moved).AccountOfKey("k1")
	c.Assert(a.Name, qt.Equals, "two")
	_, found := routingconfig.Update(moved, []byte(`{"ver":6,"upsert":{"accounts":[`+account("one", "k1")+`]}}`))
	c.Assert(found.String(), qt.Contains, "is a key of the account")
}

// TestUpdateOfUnknownLists guards rule CONFIG: an update of an unknown list was acknowledged, but not applied.
func TestUpdateOfUnknownLists(t *testing.T) {
	c := qt.New(t)
	config := func(version int, rest string) string {
		return fmt.Sprintf(`{"ver":%d,"routing":[],"svcs":[]%s}`, version, rest)
	}
	for name, tc := range map[string]struct{ before, change, after string }{
		"items by name": {
			`,"zz":[{"name":"a","v":1},{"name":"b"},{"name":"c"}]`,
			`"upsert":{"zz":[{"name":"b","v":2},{"name":"d"}]},"remove":{"zz":["a","x"]}`,
			`,"zz":[{"name":"b","v":2},{"name":"c"},{"name":"d"}]`,
		},
		"a new list": {``, `"upsert":{"zz":[{"name":"d"}]}`, `,"zz":[{"name":"d"}]`},
		"an object":  {`,"zz":{"a":1}`, `"upsert":{"zz":{"b":2}}`, `,"zz":{"b":2}`},
		"null":       {`,"zz":[{"name":"a"}]`, `"upsert":{"zz":null}`, `,"zz":[{"name":"a"}]`},
		"kept in its place": {
			`,"zz":[{"name":"a"},{"name":"b"}]`,
			`"upsert":{"zz":[{"name":"a","v":1}]},"remove":{"zz":["a"]}`,
			`,"zz":[{"name":"a","v":1},{"name":"b"}]`,
		},
		"removed and added": {`,"zz":[{"name":"a"}]`, `"upsert":{"zz":[{"name":"a","v":1}]},"remove":{"zz":["a"]}`, `,"zz":[{"name":"a","v":1}]`},
		"nothing to remove": {`,"zz":{"a":1}`, `"remove":{"zz":["a"]}`, `,"zz":{"a":1}`},
		"left alone":        {`,"zz":[{"name":"a"}],"yy":3`, `"upsert":{"xx":1}`, `,"zz":[{"name":"a"}],"yy":3,"xx":1`},
	} {
		c.Run(name, func(c *qt.C) {
			d := decode(c, config(3, tc.before))
			c.Assert(string(update(c, d, `{"ver":4,`+tc.change+`}`).Show()), qt.Equals, config(4, tc.after))
			c.Assert(string(d.Show()), qt.Equals, config(3, tc.before))
		})
	}
}

// TestUnknownListsThatCannotBeChanged guards rule CONFIG: an update that can't be applied isn't acknowledged.
func TestUnknownListsThatCannotBeChanged(t *testing.T) {
	for name, tc := range map[string]struct{ before, change string }{
		"items without name": {`[1,2]`, `"upsert":{"zz":[3]}`},
		"names twice":        {`[{"name":"a"},{"name":"a"}]`, `"upsert":{"zz":[{"name":"b"}]}`},
		"removed by name":    {`[{"x":1}]`, `"remove":{"zz":["a"]}`},
		"an object for it":   {`[{"name":"a"}]`, `"upsert":{"zz":{"a":1}}`},
		"the version":        {`[]`, `"upsert":{"ver":5}`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d := decode(c, `{"ver":3,"routing":[],"svcs":[],"zz":`+tc.before+`}`)
			next, found := routingconfig.Update(d, []byte(`{"ver":4,`+tc.change+`}`))
			c.Assert(found, qt.Not(qt.HasLen), 0)
			c.Assert(next, qt.IsNil)
		})
	}
}

// TestRemovedAccountsRequireNoKeys guards rule CONFIG: after the removal of an account from a configuration without
// accounts, every request was rejected with 401.
func TestRemovedAccountsRequireNoKeys(t *testing.T) {
	c := qt.New(t)
	d := decode(c, configuration("", service("a")))
	next := update(c, d, `{"ver":4,"remove":{"accounts":["x"]}}`)
	c.Assert(routingconfig.NewIndex(next).KeysRequired(), qt.IsFalse)
	c.Assert(string(next.Show()), qt.Equals, strings.Replace(string(d.Show()), `"ver":3`, `"ver":4`, 1))
}

// TestHashKeyAllocatesNothing: a proxy hashes an API key for every request.
func TestHashKeyAllocatesNothing(t *testing.T) {
	x := routingconfig.NewIndex(decode(t, withAccounts(3, account("one", "timaj3nr26tta828m82t"))))
	key := "timaj3nr26tta828m82t"
	allocations := testing.AllocsPerRun(100, func() { x.AccountOfKey(key) })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

func BenchmarkAccountOfKey(b *testing.B) {
	accounts := make([]string, 10_000)
	for i := range accounts {
		accounts[i] = account(fmt.Sprint("account-", i), fmt.Sprintf("%020d", i))
	}
	x := routingconfig.NewIndex(decode(b, withAccounts(3, accounts...)))
	key := fmt.Sprintf("%020d", 5_000)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := x.AccountOfKey(key); !ok {
			b.Fatal("not known")
		}
	}
}
