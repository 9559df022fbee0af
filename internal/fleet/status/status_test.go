package status

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAppliedEverywhere(t *testing.T) {
	c := qt.New(t)
	f := &Fleet{Confirmed: true, Agents: []Agent{{Name: "b", ConfigVersion: 7}, {Name: "a", ConfigVersion: 8}}}
	f.Sort()
	c.Assert(f.Agents[0].Name, qt.Equals, "a")
	c.Assert(f.AppliedEverywhere(7), qt.IsTrue, qt.Commentf("a newer version counts"))
	c.Assert(f.AppliedEverywhere(8), qt.IsFalse)
	c.Assert(f.Behind(8), qt.DeepEquals, []Agent{{Name: "b", ConfigVersion: 7}})
	for _, change := range []func(f *Fleet){
		func(f *Fleet) { f.CollectingLeases = true },
		func(f *Fleet) { f.Confirmed = false },
		func(f *Fleet) { f.Agents = nil },
	} {
		g := *f
		change(&g)
		c.Check(g.AppliedEverywhere(7), qt.IsFalse, qt.Commentf("%+v", g))
	}
}

func TestDecode(t *testing.T) {
	c := qt.New(t)
	f, err := Decode([]byte(`{"from":"core-1","agents":[{"name":"a","ver":7,"list":{"epoch":2,"count":3}}],"later":1}`))
	c.Assert(err, qt.IsNil)
	agent := Agent{Name: "a", ConfigVersion: 7, BackendListVersion: ListVersion{Epoch: 2, Count: 3}}
	c.Assert(f.Agents, qt.DeepEquals, []Agent{agent})
	_, err = Decode([]byte(`<html>`))
	c.Assert(err, qt.ErrorMatches, "status: .*")
}
