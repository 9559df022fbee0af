package nodeagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

func TestListVersionsAreTranslated(t *testing.T) {
	c := qt.New(t)
	var l listVersionMap
	local := func(n uint64) distribution.Version { return distribution.Version{Epoch: 9, Count: n} }
	upstream := func(n uint64) distribution.Version { return distribution.Version{Epoch: 2, Count: n} }
	translated := func(local distribution.Version) distribution.Version {
		members := []distribution.Member{{Name: "a", ConfigVersion: 3, BackendListVersion: local}}
		return l.translate(members)[0].BackendListVersion
	}
	c.Assert(translated(distribution.Version{}), qt.Equals, distribution.Version{}, qt.Commentf("none yet"))
	l.record(local(1), upstream(10))
	l.record(local(4), upstream(11)) // the local count includes other resources
	c.Assert(translated(local(1)), qt.Equals, upstream(10))
	c.Assert(translated(local(4)), qt.Equals, upstream(11))
	c.Assert(translated(local(5)), qt.Equals, distribution.Version{}, qt.Commentf("polled here"))
	c.Assert(translated(distribution.Version{}), qt.Equals, distribution.Version{}, qt.Commentf("none yet"))
	for n := uint64(6); n < 6+retainedLists; n++ {
		l.record(local(n), upstream(n))
	}
	c.Assert(translated(local(4)), qt.Equals, distribution.Version{}, qt.Commentf("too far behind"))
	c.Assert(translated(local(6)), qt.Equals, upstream(6))
	c.Assert(l.translate([]distribution.Member{{Name: "a", ConfigVersion: 3}})[0].ConfigVersion, qt.Equals, int64(3))
}
