package replication

import (
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// trialShape parses a shape, such as "members=3,joiners=1,survive=1,calm,served,cut,writes=1".
func trialShape(t *testing.T, words string) shape {
	c := qt.New(t)
	sh := shape{name: words}
	for word := range strings.SplitSeq(words, ",") {
		name, figure, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(figure)
		b := &sh.budget
		counts := map[string]*uint8{
			"writes":  &b.writes,
			"reads":   &b.reads,
			"beats":   &b.heartbeats,
			"waits":   &b.waits,
			"crashes": &b.crashes,
			"wipes":   &b.wipes,
			"starts":  &b.starts, "retries": &b.retries, "freezes": &b.freezes, "passes": &b.passes, "leaves": &b.leaves,
		}
		sizes := map[string]*int{"members": &sh.members, "joiners": &sh.joiners, "survive": &sh.survive}
		flags := map[string]*bool{
			"first": &sh.first, "small": &sh.small, "judged": &sh.judged, "served": &sh.controlPlaneTiming, "calm": &sh.live,
			"lossy": &sh.liveAfterLoss, "late": &sh.liveLate,
		}
		kinds := map[string]faultKind{
			"well": faultNone, "cut": faultCut, "isolated": faultIsolated, "frozen": faultFrozen, "split": faultSplit,
			"slow": faultSlow,
		}
		switch {
		case name == "before":
			sh.before = append(sh.before, trialFault(kinds, figure))
		case name == "begun":
			sh.begun = append(sh.begun, trialFault(kinds, figure))
		case counts[name] != nil:
			*counts[name] = uint8(n)
		case sizes[name] != nil:
			*sizes[name] = n
		case flags[name] != nil:
			*flags[name] = true
		default:
			kind, ok := kinds[name]
			c.Assert(ok, qt.IsTrue, qt.Commentf("%s", word))
			sh.faults = append(sh.faults, kind)
		}
	}
	return sh
}

// trialFault parses the machines of a fault, such as "slow:0:1".
func trialFault(kinds map[string]faultKind, figure string) networkFault {
	words := strings.Split(figure, ":")
	i, _ := strconv.Atoi(words[1])
	j, _ := strconv.Atoi(words[2])
	return networkFault{kinds[words[0]], uint8(i), uint8(j)}
}
