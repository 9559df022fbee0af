package nodeagent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

func TestListVersionsAreTranslated(t *testing.T) {
	c := qt.New(t)
	var l listVersionMap
	at := func(n uint64) distribution.Version { return distribution.Version{Epoch: 9, Count: n} }
	there := func(n uint64) distribution.Version { return distribution.Version{Epoch: 2, Count: n} }
	told := func(had distribution.Version) distribution.Version {
		return l.translate([]distribution.Member{{Name: "a", ConfigVersion: 3, BackendListVersion: had}})[0].BackendListVersion
	}
	c.Assert(told(distribution.Version{}), qt.Equals, distribution.Version{}, qt.Commentf("none yet"))
	l.record(at(1), there(10))
	l.record(at(4), there(11)) // what is counted here counts other sources as well
	c.Assert(told(at(1)), qt.Equals, there(10))
	c.Assert(told(at(4)), qt.Equals, there(11))
	c.Assert(told(at(5)), qt.Equals, distribution.Version{}, qt.Commentf("polled here"))
	c.Assert(told(distribution.Version{}), qt.Equals, distribution.Version{}, qt.Commentf("none yet"))
	for n := uint64(6); n < 6+retainedLists; n++ {
		l.record(at(n), there(n))
	}
	c.Assert(told(at(4)), qt.Equals, distribution.Version{}, qt.Commentf("too far behind"))
	c.Assert(told(at(6)), qt.Equals, there(6))
	c.Assert(l.translate([]distribution.Member{{Name: "a", ConfigVersion: 3}})[0].ConfigVersion, qt.Equals, int64(3))
}
