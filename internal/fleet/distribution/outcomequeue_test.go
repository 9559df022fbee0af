package distribution

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOutcomesAreBounded: reports that aren't taken are dropped in favor of newer ones.
func TestOutcomesAreBounded(t *testing.T) {
	c := qt.New(t)
	q := NewOutcomeQueue()
	for i := range 2 * maxOutcomeReports {
		q.Put(OutcomeReport{Proxy: fmt.Sprint(i)})
	}
	all := q.Take()
	c.Assert(all, qt.HasLen, maxOutcomeReports)
	c.Assert(all[len(all)-1].Proxy, qt.Equals, fmt.Sprint(2*maxOutcomeReports-1))
	c.Assert(q.Take(), qt.HasLen, 0)
}
