package main

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"molepaddle/internal/process/seat"
)

var agentOld = flag.String("upgrade.old", "",
	"path of molepaddle of an older build, from which and back to which TestRollingUpgrade replaces agents; "+
		"without it this build is restarted")

// Five far gateways that promise for each other, keep journals on disk and hold the council's seats are replaced one at
// a time by another build, and then back, while orders cross to them and machines are taken out for work. Nothing runs
// twice, no permit is lost, and each build opens what the other has stored. .ci/upgrade builds the older program.
func TestRollingUpgrade(t *testing.T) {
	for _, near := range []string{*agentOld, ""} {
		t.Run(map[bool]string{true: "near gateway of this build", false: "near gateway of the older build"}[near == ""], func(t *testing.T) {
			playAgentUpgrade(t, near)
		})
		if *agentOld == "" {
			return
		}
	}
}

func playAgentUpgrade(t *testing.T, near string) {
	all := []int{0, 1, 2, 3, 4}
	c := newCrossedOf(t, 5, 1, true, 30*time.Millisecond, *agentOld, near)
	c.settled(1, all...)
	c.load(16)
	c.moves("at first", 100)
	permits := map[uint64]string{}
	for direction, binary := range []string{"", *agentOld} {
		for step, i := range all {
			c.signal(syscall.SIGTERM, i)
			c.all[i].binary = binary
			c.start(i)
			c.agree(fmt.Sprintf("n%d is replaced", i), all...)
			c.settled(1, all...)
			c.moves(fmt.Sprintf("after n%d", i), 50)
			if step == 2 { // three of one build, two of the other
				id := fmt.Sprint("r", direction)
				if permit := c.takeOut(id, "h4", 0); permits[permit] != "" {
					t.Errorf("permit %d was %s's", permit, permits[permit])
				} else {
					permits[permit] = id
				}
			}
		}
		c.sits(0)
	}
	for _, i := range all {
		for direction := range 2 {
			c.comes(i, fmt.Sprint("r", direction), "done")
		}
	}
	o := c.end()
	t.Logf("%+v, permits %v", o, permits)
	if o.Late > 0 || o.Served < 600 || o.Failed > o.Served/10 {
		t.Errorf("%+v", o)
	}
}

// takeOut takes a machine out and brings it back, by calls at one agent; it returns the permit. A permit that was
// withdrawn before it was taken, since an agent that has just started does not yet say that it sends the machine
// nothing, is waited for again.
func (c *crossed) takeOut(id, machine string, at int) uint64 {
	c.t.Helper()
	c.ask(at, id, machine)
	var permit uint64
	const attempts = 5
	for attempt := 1; ; attempt++ {
		permit = c.comes(at, id, "granted").Permit
		_, err := c.call(at, 20*time.Second, seat.Call{Operation: seat.Take, ID: id, Permit: permit})
		if err == nil {
			break
		}
		if attempt == attempts {
			c.t.Fatalf("%s: no permit could be taken: %v", id, err)
		}
	}
	c.comes(at, id, "out")
	c.must(at, seat.Call{Operation: seat.Complete, ID: id})
	c.comes(at, id, "done")
	return permit
}
