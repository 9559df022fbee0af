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

// Five far gateways, which keep replicas for each other and journals on disk and form the council, are replaced one
// at a time by another build, and then back, while orders are forwarded to them and machines are taken out for
// maintenance. No order runs twice, no permit is lost, and each build reads the other's stored data. .ci/upgrade
// builds the older program.
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
	c := newSiteFleetOf(t, 5, 1, true, 30*time.Millisecond, *agentOld, near)
	c.awaitSettled(1, all...)
	c.load(16)
	c.awaitServed("at first", 100)
	permits := map[uint64]string{}
	for direction, binary := range []string{"", *agentOld} {
		for step, i := range all {
			c.signal(syscall.SIGTERM, i)
			c.members[i].binary = binary
			c.start(i)
			c.awaitAgreement(fmt.Sprintf("n%d is replaced", i), all...)
			c.awaitSettled(1, all...)
			c.awaitServed(fmt.Sprintf("after n%d", i), 50)
			if step == 2 { // three of one build, two of the other
				id := fmt.Sprint("r", direction)
				if permit := c.takeOut(id, "h4", 0); permits[permit] != "" {
					t.Errorf("permit %d was already given to %s", permit, permits[permit])
				} else {
					permits[permit] = id
				}
			}
		}
		c.awaitVoters(0)
	}
	for _, i := range all {
		for direction := range 2 {
			c.awaitPhase(i, fmt.Sprint("r", direction), "done")
		}
	}
	o := c.stopLoad()
	t.Logf("%+v, permits %v", o, permits)
	if o.Late > 0 || o.Served < 600 || o.Failed > o.Served/10 {
		t.Errorf("%+v", o)
	}
}

// takeOut takes a machine out and brings it back, by calls at one agent, and returns the permit. It waits for a new
// permit if one is withdrawn before it is taken, which happens when an agent has just started and has not yet
// confirmed that it sends no requests to the machine.
func (c *siteFleet) takeOut(id, machine string, at int) uint64 {
	c.t.Helper()
	c.ask(at, id, machine)
	var permit uint64
	const attempts = 5
	for attempt := 1; ; attempt++ {
		permit = c.awaitPhase(at, id, "granted").Permit
		_, err := c.call(at, 20*time.Second, seat.Call{Operation: seat.Take, ID: id, Permit: permit})
		if err == nil {
			break
		}
		if attempt == attempts {
			c.t.Fatalf("%s: no permit could be taken: %v", id, err)
		}
	}
	c.awaitPhase(at, id, "out")
	c.mustCall(at, seat.Call{Operation: seat.Complete, ID: id})
	c.awaitPhase(at, id, "done")
	return permit
}
