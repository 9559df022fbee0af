package replication

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	deep = flag.Bool(
		"replication.deep", false, "search with larger budgets and twenty times the states, which takes minutes",
	)
	trial = flag.String(
		"replication.trial", "", "search only this shape: members=3,survive=1,joiners=1,calm,writes=1 ...",
	)
	searchLimit = flag.Int(
		"replication.states", 1_500_000, "maximum states of a search; twenty times as many with -replication.deep",
	)
)

// ruleBroken is the prefix of a search's failure message; finds looks for it.
const ruleBroken = "rule broken: "

// shape configures a search.
type shape struct {
	name               string
	members            int         // number of members at the beginning
	joiners            int         // machines that are not members yet; the budget starts them
	survive            int         // machines that may be lost at once; 1 if 0
	first              bool        // begin with machines that haven't started; else with a converged core
	small              bool        // a snapshot at every change
	chunkBytes         int         // size of the chunks of a record; 0: the default
	judged             bool        // changes are compared with the record first, as in the control plane
	controlPlaneTiming bool        // use the control plane's time-outs
	live               bool        // every state is live without further faults
	liveAfterLoss      bool        // every state is also live after a further loss
	liveLate           bool        // every state is also live when all messages in flight are delivered
	faults             []faultKind // faults while time passes
	// before are faults under each of which beforeTime passes before the search; no message stays in flight.
	before []networkFault
	begun  []networkFault // then time passes under each until a protocol state changes
	budget budget
	want   reach
}

// reach is the coverage that a search must have: values that some visited state must reach.
type reach struct {
	led      uint64 // the newest epoch in which a primary was ready
	acked    uint64 // the newest epoch in which a change was acknowledged
	joined   bool   // a machine that lost its disk held the record under its new identity
	refused  bool   // a change was refused
	released bool   // a process that shuts down was released
	fewest   int    // members of the smallest view
	most     int    // members of the largest view
	wipes    int    // disks lost on one path
}

// ciShapes are the searches that CI runs.
var ciShapes = []shape{
	{
		name:    "a write, a takeover and a restart",
		members: 3,
		budget:  budget{writes: 1, waits: 1, crashes: 1},
		want:    reach{led: 3, acked: 3},
	},
	{name: "two writes and a takeover", members: 3, budget: budget{writes: 2, waits: 1}, want: reach{led: 2, acked: 2}},
	{
		name:    "three writes and snapshots",
		members: 3,
		small:   true,
		budget:  budget{writes: 3, heartbeats: 1},
		want:    reach{led: 1, acked: 1},
	},
	{name: "two competing proposals", members: 3, budget: budget{writes: 1, waits: 2}, want: reach{led: 3, acked: 3}},
	{
		name:    "a write, a read and a takeover",
		members: 3,
		budget:  budget{writes: 1, reads: 1, heartbeats: 1, waits: 1},
		want:    reach{led: 2, acked: 2},
	},
	{
		name:    "a disk is lost",
		members: 3,
		budget:  budget{writes: 1, waits: 1, wipes: 1},
		want:    reach{led: 2, acked: 2, joined: true, wipes: 1},
	},
	{
		name:    "a lost disk is replaced",
		members: 3,
		budget:  budget{heartbeats: 1, waits: 1, wipes: 1},
		want:    reach{led: 2, acked: 1, joined: true, wipes: 1},
	},
	{
		name:    "four, a write and a takeover",
		members: 4,
		budget:  budget{writes: 1, waits: 1},
		want:    reach{led: 2, acked: 2},
	},
	{name: "four, two competing proposals", members: 4, budget: budget{waits: 2}, want: reach{led: 3, acked: 1}},
	{
		name:    "bootstrap",
		members: 3,
		first:   true,
		budget:  budget{writes: 1, waits: 1, starts: 3},
		want:    reach{led: 2, acked: 2, fewest: 2},
	},
	// With liveness checks, mostly with the control plane's time-outs.
	{
		name:               "a write and a takeover, then a loss",
		members:            3,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		liveLate:           true,
		budget:             budget{writes: 1, waits: 1},
		want:               reach{led: 2, acked: 2},
	},
	{
		name:               "a restart and a takeover",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		budget:             budget{waits: 1, crashes: 1},
		want:               reach{led: 3, acked: 1},
	},
	{
		name:               "a freeze, a read and a takeover",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		budget:             budget{reads: 1, waits: 1, freezes: 1},
		want:               reach{led: 2, acked: 1},
	},
	{
		name:               "links are cut in one direction",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultCut},
		budget:             budget{passes: 2},
		want:               reach{led: 2, acked: 1},
	},
	{
		name:               "a link is cut, a write and a read",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultCut},
		budget:             budget{writes: 1, reads: 1, passes: 1},
		want:               reach{led: 2, acked: 2},
	},
	{
		name:               "a machine is cut off or frozen",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultIsolated, faultFrozen},
		budget:             budget{writes: 1, reads: 1, passes: 1},
		want:               reach{led: 2, acked: 2},
	},
	{
		name:               "a disk is lost after another was replaced",
		members:            3,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		faults:             []faultKind{faultNone},
		budget:             budget{wipes: 2, passes: 2},
		want:               reach{led: 3, acked: 1, joined: true, wipes: 2},
	},
	{
		name:               "a machine joins",
		members:            3,
		joiners:            1,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		faults:             []faultKind{faultNone},
		budget:             budget{starts: 1, passes: 1},
		want:               reach{led: 2, acked: 1, most: 4},
	},
	{
		name:               "an unresponsive member is removed",
		members:            4,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		faults:             []faultKind{faultIsolated},
		budget:             budget{passes: 1},
		want:               reach{led: 2, acked: 1, fewest: 3},
	},
	{
		name:               "a machine leaves",
		members:            3,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		liveLate:           true,
		faults:             []faultKind{faultNone},
		budget:             budget{writes: 1, leaves: 1, passes: 1},
		want:               reach{led: 3, acked: 2, released: true},
	},
	{
		name:    "a machine leaves, a takeover",
		members: 3,
		budget:  budget{waits: 1, leaves: 1},
		want:    reach{led: 3, acked: 1, released: true},
	},
	{
		name:               "five, a takeover",
		members:            5,
		survive:            2,
		controlPlaneTiming: true,
		live:               true,
		budget:             budget{waits: 1},
		want:               reach{led: 2, acked: 1},
	},
	{
		name:               "five, a machine is cut off or frozen",
		members:            5,
		survive:            2,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultIsolated, faultFrozen},
		budget:             budget{passes: 1},
		want:               reach{led: 2, acked: 1},
	},
	{
		name:    "five, a read and a takeover",
		members: 5,
		survive: 2,
		budget:  budget{reads: 1, waits: 1},
		want:    reach{led: 2, acked: 1},
	},
	{
		name:    "four, a takeover while a member is removed",
		members: 4,
		begun:   []networkFault{{faultIsolated, 3, 0}},
		budget:  budget{waits: 1},
		want:    reach{led: 3, acked: 1, fewest: 3},
	},
	{
		name:    "a read at a slow primary",
		members: 3,
		before:  []networkFault{{faultSlow, 0, 0}},
		budget:  budget{writes: 1, reads: 2, freezes: 1},
		want:    reach{led: 2, acked: 2},
	},
	{
		name:               "a read at a slow primary, a takeover",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		before:             []networkFault{{faultSlow, 0, 0}},
		budget:             budget{writes: 1, reads: 1, waits: 1},
		want:               reach{led: 3, acked: 3},
	},
	{
		name:    "five, a read at a slow primary with a slow backup",
		members: 5,
		survive: 2,
		before:  []networkFault{{faultSlow, 0, 1}},
		budget:  budget{writes: 1, reads: 1, freezes: 1},
		want:    reach{led: 2, acked: 2},
	},
	{
		name:    "retried changes",
		members: 3,
		judged:  true,
		budget:  budget{writes: 2, retries: 1},
		want:    reach{led: 1, acked: 1, refused: true},
	},
	{
		name:    "a retried change, a takeover",
		members: 3,
		judged:  true,
		budget:  budget{writes: 1, retries: 1, waits: 1},
		want:    reach{led: 2, acked: 2},
	},
}

// deepShapes are searches with larger budgets, run with -replication.deep.
var deepShapes = []shape{
	{
		name:    "two writes, a takeover and a restart",
		members: 3,
		budget:  budget{writes: 2, waits: 1, crashes: 1},
		want:    reach{led: 3, acked: 3},
	},
	{
		name:    "snapshots, two writes, a takeover and a restart",
		members: 3,
		small:   true,
		budget:  budget{writes: 2, waits: 1, crashes: 1},
		want:    reach{led: 3, acked: 3},
	},
	{
		name:    "two takeovers and a read",
		members: 3,
		budget:  budget{reads: 1, waits: 2, heartbeats: 1},
		want:    reach{led: 3, acked: 1},
	},
	{
		name:    "two competing proposals, a restart",
		members: 3,
		budget:  budget{writes: 1, waits: 2, crashes: 1},
		want:    reach{led: 3, acked: 2},
	},
	{
		name:    "a disk is lost",
		members: 3,
		budget:  budget{writes: 1, heartbeats: 1, waits: 1, wipes: 1},
		want:    reach{led: 2, acked: 2, joined: true, wipes: 1},
	},
	{
		name:    "four, a write, a takeover and a restart",
		members: 4,
		budget:  budget{writes: 1, waits: 1, crashes: 1},
		want:    reach{led: 3, acked: 3},
	},
	{
		name:    "four, two competing proposals, a write",
		members: 4,
		budget:  budget{writes: 1, waits: 2},
		want:    reach{led: 3, acked: 2},
	},
	{
		name:    "bootstrap, a restart",
		members: 3,
		first:   true,
		budget:  budget{waits: 1, crashes: 1, starts: 3},
		want:    reach{led: 2, fewest: 2},
	},
	{
		name:               "an unresponsive member is removed, a write",
		members:            4,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		faults:             []faultKind{faultIsolated},
		budget:             budget{writes: 1, passes: 1},
		want:               reach{led: 2, acked: 2, fewest: 3},
	},
	{
		name:               "a freeze, a write, a read and a takeover",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		budget:             budget{writes: 1, reads: 1, waits: 1, freezes: 1},
		want:               reach{led: 2, acked: 2},
	},
	{
		name:    "retried changes, a takeover",
		members: 3,
		judged:  true,
		budget:  budget{writes: 2, retries: 1, waits: 1},
		want:    reach{led: 2, acked: 2, refused: true},
	},
	{
		name:               "two machines join",
		members:            3,
		joiners:            2,
		controlPlaneTiming: true,
		faults:             []faultKind{faultNone},
		budget:             budget{starts: 2, passes: 1},
		want:               reach{led: 2, acked: 1, most: 5},
	},
	{
		name:               "a write, a restart and a takeover, then liveness",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		budget:             budget{writes: 1, waits: 1, crashes: 1},
		want:               reach{led: 3, acked: 2},
	},
	{
		name:               "a machine joins, a write",
		members:            3,
		joiners:            1,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		faults:             []faultKind{faultNone},
		budget:             budget{writes: 1, starts: 1, passes: 1},
		want:               reach{led: 2, acked: 2, most: 4},
	},
	{
		name:               "two competing proposals, then liveness",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		budget:             budget{writes: 1, waits: 2},
		want:               reach{led: 3, acked: 3},
	},
	{
		name:               "machines are cut off and frozen",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultNone, faultIsolated, faultFrozen},
		budget:             budget{passes: 2},
		want:               reach{led: 3, acked: 1},
	},
	{
		name:               "disks are lost one after the other",
		members:            3,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultNone},
		budget:             budget{wipes: 2, passes: 3},
		want:               reach{led: 4, acked: 1, joined: true, wipes: 2},
	},
	{
		name:               "a machine joins, a takeover",
		members:            3,
		joiners:            1,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultNone},
		budget:             budget{waits: 1, starts: 1, passes: 1},
		want:               reach{led: 3, acked: 1, most: 4},
	},
	{
		name:               "unresponsive members are removed",
		members:            4,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultIsolated},
		budget:             budget{passes: 2},
		want:               reach{led: 3, acked: 1, fewest: 3},
	},
	{
		name:               "five, a write and a takeover",
		members:            5,
		survive:            2,
		controlPlaneTiming: true,
		live:               true,
		budget:             budget{writes: 1, waits: 1},
		want:               reach{led: 2, acked: 2},
	},
	{
		name:               "five, a takeover, then two are lost",
		members:            5,
		survive:            2,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		budget:             budget{waits: 1},
		want:               reach{led: 2, acked: 1},
	},
	{
		name:               "two machines leave",
		members:            3,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		faults:             []faultKind{faultNone},
		budget:             budget{leaves: 2, passes: 1},
		want:               reach{led: 3, acked: 1, released: true},
	},
	{
		name:               "four, a machine leaves",
		members:            4,
		controlPlaneTiming: true,
		liveAfterLoss:      true,
		faults:             []faultKind{faultNone},
		budget:             budget{writes: 1, leaves: 1, passes: 1},
		want:               reach{led: 3, acked: 2, fewest: 3, released: true},
	},
	{
		name:               "five, a machine leaves",
		members:            5,
		survive:            2,
		controlPlaneTiming: true,
		faults:             []faultKind{faultNone},
		budget:             budget{leaves: 1, passes: 1},
		want:               reach{led: 2, acked: 1, released: true},
	},
	{
		name:               "five, a disk is lost",
		members:            5,
		survive:            2,
		controlPlaneTiming: true,
		live:               true,
		faults:             []faultKind{faultNone},
		budget:             budget{wipes: 1, passes: 1},
		want:               reach{led: 2, acked: 1, joined: true, wipes: 1},
	},
	{
		name:               "five, two disks are lost",
		members:            5,
		survive:            2,
		controlPlaneTiming: true,
		faults:             []faultKind{faultNone},
		budget:             budget{wipes: 2, passes: 1},
		want:               reach{led: 2, acked: 1, joined: true, wipes: 2},
	},
	{
		name:    "retried changes over a freeze and a restart",
		members: 3,
		judged:  true,
		budget:  budget{writes: 1, retries: 1, waits: 1, freezes: 1, crashes: 1},
		want:    reach{led: 3, acked: 3},
	},
}

// beforeTime is the duration of each fault before the search: longer than a takeover or the removal of an unresponsive
// member.
const beforeTime = 5 * time.Second

// explorer returns the search of a shape and its initial state.
func (sh *shape) explorer(limit int) (*explorer, modelState, error) {
	x := newExplorer(sh.members+sh.joiners, FailureTolerance{Nodes: max(sh.survive, 1)}, sh.small, limit)
	x.founders, x.judged, x.kinds = sh.members, sh.judged, sh.faults
	x.liveLate, x.chunkBytes = sh.liveLate, sh.chunkBytes
	if sh.controlPlaneTiming {
		x.timing = productionTiming
	}
	switch {
	case sh.liveAfterLoss:
		x.check = x.checkLivenessAfterLoss
	case sh.live:
		x.check = x.checkLiveness
	}
	var w modelState
	var err error
	if sh.first {
		w = x.emptyState(sh.members)
	} else {
		w, err = x.steadyState()
	}
	for _, f := range sh.before {
		if err == nil {
			w, err = x.passFor(&w, f, beforeTime)
		}
	}
	for _, f := range sh.begun {
		next, violation, ok := x.applyPass(&w, step{stepPass, f.i, f.arg()})
		if err == nil && (!ok || violation != "") {
			err = fmt.Errorf("no protocol state changes while %v: %s", f, violation)
		}
		w = next
	}
	w.left = sh.budget
	return x, w, err
}

func search(t *testing.T, sh shape) {
	limit := *searchLimit
	if *deep {
		limit *= 20
	}
	x, w, err := sh.explorer(limit)
	qt.Assert(t, err, qt.IsNil)
	res := x.run(w)
	t.Logf("%s: %v", sh.name, &res)
	if res.violation != "" {
		t.Fatalf("%s%s:\n  %s", ruleBroken, res.violation, strings.Join(res.trace, "\n  "))
	}
	if *trial != "" {
		return
	}
	qt.Check(t, res.exhausted || *deep, qt.IsTrue, qt.Commentf("%d states are too few", limit))
	want := sh.want
	if want.fewest == 0 {
		want.fewest = sh.members
	}
	if want.most == 0 {
		want.most = sh.members
	}
	got := reach{
		led:      min(res.led, want.led),
		acked:    min(res.acked, want.acked),
		joined:   res.joined,
		refused:  res.refused,
		released: res.released,
		fewest:   res.fewest, most: res.most, wipes: res.wipes,
	}
	qt.Check(t, got, qt.Equals, want)
}

// TestSearch checks the rules in every state that small cores can reach within the budgets.
func TestSearch(t *testing.T) {
	list := ciShapes
	if *deep {
		list = deepShapes
	}
	if *trial != "" {
		list = []shape{trialShape(t, *trial)}
	}
	for _, sh := range list {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			search(t, sh)
		})
	}
}
