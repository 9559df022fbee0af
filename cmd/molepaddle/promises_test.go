package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"molepaddle/internal/process/promise"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/rig/many"
	"molepaddle/internal/rig/standin"
	"molepaddle/internal/rig/testkit/sites"
	"molepaddle/internal/rig/wan"
)

// siteFleet is a fleet of far gateways, and a near gateway that forwards orders to them.
type siteFleet struct {
	*fleet
	listen string // of the near gateway
	cmd    *exec.Cmd
	out    *output

	mu      sync.Mutex
	answers []sites.Answer
	stop    chan struct{}
	wg      sync.WaitGroup
}

// longDeadlines replaces the time limits in the settings: orders of these tests have a deadline of six seconds.
var longDeadlines = strings.NewReplacer(`"aimMs":500,"giveUpMs":1000`, `"aimMs":3000,"giveUpMs":6000`)

// newSiteFleet starts n far gateways and the near one. Each far gateway has the given number of replicas (below 0:
// promises are off); with journal, replicas are stored on disk.
func newSiteFleet(t *testing.T, n, copies int, journal bool, work time.Duration) *siteFleet {
	return newSiteFleetOf(t, n, copies, journal, work, "", "")
}

// newSiteFleetOf starts the gateways like newSiteFleet, with the programs at these paths; an empty path is this build.
func newSiteFleetOf(t *testing.T, n, copies int, journal bool, work time.Duration, farBinary, nearBinary string) *siteFleet {
	c := &siteFleet{fleet: newFleet(t, n), stop: make(chan struct{})}
	for _, o := range c.members {
		o.binary = farBinary
	}
	c.server.Work(work)
	keys := func(table, name string) string {
		return fmt.Sprintf("[%s.keys]\nca = %q\ncert = %q\nkey = %q\n", table, filepath.Join(c.dir, "ca.pem"), filepath.Join(c.dir, name+".pem"), filepath.Join(c.dir, name+".key"))
	}
	near := "[gateway]\nname = \"near\"\nredial_min = \"50ms\"\nredial_max = \"500ms\"\n" + keys("gateway", "near") + "[[gateway.site]]\nname = \"b\"\nproof_within = \"3s\"\n"
	c.appendConfig(func(i int) string {
		host, _, _ := net.SplitHostPort(c.members[i].peers)
		links := freeAddressOn(t, host)
		near += fmt.Sprintf("[[gateway.site.peer]]\nname = \"n%d\"\naddress = %q\n", i, links)
		text := fmt.Sprintf("[gateway]\nname = \"n%d\"\nlisten = %q\npeers = [\"near\"]\n", i, links) + keys("gateway", c.members[i].name)
		text += fmt.Sprintf("[work]\nreplace_after = \"3s\"\nfolder = %q\n", c.folder(i))
		for k := range n {
			text += fmt.Sprintf("[[work.machine]]\nname = \"h%d\"\nzone = \"z%d\"\n", k, k%3)
		}
		if copies >= 0 {
			text += fmt.Sprintf("[promises]\non = true\ncopies = %d\n", copies)
			if journal {
				text += "journal = \"disk\"\n"
			}
		}
		return text
	})
	near += "[[gateway.route]]\nto = [\"b\"]\n"
	var all []int
	for i := range n {
		all = append(all, i)
	}
	c.start(all...)
	c.awaitAgreement("the far gateways find each other", all...)
	c.foundCouncil()
	file := filepath.Join(c.dir, "near.toml")
	write(t, file, near)
	c.listen = freeAddress(t)
	c.cmd, c.out, _ = startBuild(t, nearBinary, longDeadlines.Replace(agentConfig(c.listen, "127.0.0.1:1", "127.0.0.1:9")), "--operator", file)
	awaitReady(t, c.listen, c.out)
	t.Cleanup(func() {
		if t.Failed() {
			for _, o := range c.members {
				t.Logf("%s said last:\n%s", o.name, o.out.tail())
			}
			t.Logf("the near gateway said last:\n%s", c.out.tail())
		}
	})
	return c
}

// load sends orders from a number of concurrent clients until c.stop is closed.
func (c *siteFleet) load(clients int) {
	for range clients {
		c.wg.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				default:
				}
				a := sites.Ask(context.Background(), "http://"+c.listen, "order", 5900*time.Millisecond, []byte("body"))
				c.mu.Lock()
				c.answers = append(c.answers, a)
				c.mu.Unlock()
			}
		})
	}
}

func (c *siteFleet) served() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.Status == http.StatusOK {
			n++
		}
	}
	return n
}

// awaitServed waits until n more orders are served.
func (c *siteFleet) awaitServed(what string, n int) {
	c.t.Helper()
	before := c.served()
	eventually(c.t, "orders cross "+what, c.out, func() bool { return c.served() > before+n })
}

// promiseReport returns the promise report of a far gateway, or a zero report if it doesn't answer.
func (c *siteFleet) promiseReport(i int) (r promise.Report) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + c.members[i].management + "/api/promises")
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&r)
	return r
}

// awaitSettled waits until each of these has a settled epoch with the number of replicas.
func (c *siteFleet) awaitSettled(copies int, these ...int) {
	c.t.Helper()
	for _, i := range these {
		eventually(c.t, fmt.Sprintf("n%d has an epoch", i), c.members[i].out, func() bool {
			r := c.promiseReport(i)
			return r.EpochActive && len(r.HolderReplicas) == copies
		})
	}
}

// awaitVoters waits until agent i reports a council of three running voters, none of them listed in not.
func (c *siteFleet) awaitVoters(i int, not ...string) {
	c.t.Helper()
	eventually(c.t, "the council has three running voters", c.members[i].out, func() bool {
		r, err := c.call(i, 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && len(r.Learners) == 0 && !slices.ContainsFunc(r.Voters, func(name string) bool {
			return strings.HasPrefix(name, "seat ") || slices.Contains(not, name)
		})
	})
}

// killAll kills all processes.
func (c *siteFleet) killAll() {
	for _, one := range c.members {
		_ = one.cmd.Process.Kill()
	}
	_ = c.cmd.Process.Kill()
}

// outcome counts the results of all orders.
type outcome struct {
	Served, Refused, Failed int
	Late                    int // failed only at their deadline
	Slow                    time.Duration
}

// stopLoad stops the load and compares the clients' answers with the requests that the servers received.
func (c *siteFleet) stopLoad() (o outcome) {
	t := c.t
	t.Helper()
	close(c.stop)
	c.wg.Wait()
	checkAnswers(t, c.answers, append([]*standin.Server{c.server}, c.extraServers...)...)
	for _, a := range c.answers {
		switch a.Status {
		case http.StatusOK:
			o.Served++
			o.Slow = max(o.Slow, a.Took)
		case http.StatusServiceUnavailable:
			o.Refused++
		default:
			if o.Failed++; a.Took > 5500*time.Millisecond {
				o.Late++
			}
		}
	}
	return o
}

// A far gateway is lost for good, with its folder, while orders are in flight through it: none runs twice, none
// waits for its deadline, and those not yet begun are served by others. Another is suspended, resumes in a sealed
// epoch, and rejoins as a new incarnation. Then a replica is killed, and its holder gets another one.
func TestPromises(t *testing.T) {
	c := newSiteFleet(t, 5, 1, false, 30*time.Millisecond)
	c.awaitSettled(1, 0, 1, 2, 3, 4)
	c.load(24)
	c.awaitServed("at first", 100)

	c.signal(syscall.SIGKILL, 1)
	os.RemoveAll(c.folder(1))
	c.awaitServed("with one lost", 200)
	c.awaitVoters(0, "n1")

	// Suspended: its links are up but silent. Orders that it has not begun are served elsewhere; it resumes sealed.
	c.signal(syscall.SIGSTOP, 2)
	c.awaitServed("with one stopped", 200)
	eventually(t, "its epoch is sealed", c.members[0].out, func() bool {
		return strings.Contains(c.members[0].out.String()+c.members[3].out.String()+c.members[4].out.String(), "is sealed\" agent=n0 holder=n2")
	})
	c.signal(syscall.SIGCONT, 2)
	eventually(t, "it rejoins as a new incarnation", c.members[2].out, func() bool {
		return strings.Contains(c.members[2].out.String(), "sealed while this process was unreachable") && c.promiseReport(2).EpochActive
	})
	c.awaitServed("with it back", 100)
	c.awaitVoters(0)

	// A replica is killed: its holder gets another one.
	var copies []string
	eventually(t, "n0 has an epoch", c.members[0].out, func() bool {
		r := c.promiseReport(0)
		copies = r.HolderReplicas
		return r.EpochActive && len(copies) == 1
	})
	copyOf0 := slices.IndexFunc(c.members, func(o *member) bool { return o.name == copies[0] })
	c.signal(syscall.SIGKILL, copyOf0)
	eventually(t, "n0 has another replica", c.members[0].out, func() bool {
		r := c.promiseReport(0)
		return r.EpochActive && len(r.HolderReplicas) == 1 && r.HolderReplicas[0] != c.members[copyOf0].name
	})
	c.awaitServed("with another copy", 100)
	o := c.stopLoad()
	t.Logf("%+v", o)
	var shown output
	if err := run([]string{"promises", "show", "--door", c.members[0].management, "--if", "h3"}, &shown); err != nil || !strings.Contains(shown.String(), "n0 promises: epoch ") || !strings.Contains(shown.String(), "sealed") {
		t.Errorf("%v; it reads %s", err, &shown)
	}
	if o.Late > 0 || o.Served < 600 || o.Failed > o.Served/10 {
		t.Errorf("%+v", o)
	}
	if r, err := c.call(0, 5*time.Second, seat.Call{Operation: seat.ReplicaSets}); err != nil || len(r.ReplicaSets) < 4 {
		t.Errorf("%+v, %v", r, err)
	}
}

// playPowerCut kills all far gateways at once under load, as a power playPowerCut does, and restarts them. proofs is the number of
// earlier incarnations that were sealed by journals read from disk.
func playPowerCut(t *testing.T, journal bool) (o outcome, proofs int) {
	c := newSiteFleet(t, 5, 1, journal, 40*time.Millisecond)
	all := []int{0, 1, 2, 3, 4}
	c.awaitSettled(1, all...)
	c.load(64)
	c.awaitServed("at first", 200)
	c.signal(syscall.SIGKILL, all...)
	c.start(all...)
	c.awaitServed("with all back", 200)
	c.awaitSettled(1, all...)
	for _, i := range all {
		for _, h := range c.promiseReport(i).Replicas {
			if h.Read && h.Sealed {
				proofs++
			}
		}
	}
	o = c.stopLoad()
	c.killAll()
	return o, proofs
}

// After a power cut, the journals on disk prove which orders had not begun, and these are served; no order runs
// twice, and none waits for its deadline.
func TestPromisesPowerCut(t *testing.T) {
	o, proofs := playPowerCut(t, true)
	t.Logf("%+v, %d earlier incarnations sealed by journals", o, proofs)
	if o.Late > 0 || o.Failed > 64 || proofs == 0 {
		t.Errorf("%+v, %d earlier incarnations sealed by journals", o, proofs)
	}
}

var (
	promiseSchedules = flag.Int("promises.schedules", 1, "schedules of faults to draw and play on far gateways under load")
	promiseFrom      = flag.Uint64("promises.from", 1, "the first seed of them")
	promiseMeasure   = flag.Bool("promises.measure", false, "measure orders in flight through a gateway that is lost, and what promises cost")
)

// Random schedules of faults on five far gateways under load, with one replica or two; a killed gateway loses its
// disk half of the time. No order runs twice, none that ran is reported as never begun, and each has one answer.
func TestPromisesDrawn(t *testing.T) {
	for k := range *promiseSchedules {
		seed := *promiseFrom + uint64(k)
		rng := rand.New(rand.NewPCG(seed, 0x70726f6d))
		copies := 1 + rng.IntN(2)
		c := newSiteFleet(t, 5, copies, rng.IntN(2) == 0, time.Duration(5+rng.IntN(40))*time.Millisecond)
		c.awaitSettled(copies, 0, 1, 2, 3, 4)
		c.load(8 + rng.IntN(24))
		c.awaitServed("at first", 30)
		s := many.Draw(seed, 5)
		c.onKill = func(i int) {
			if rng.IntN(2) == 0 {
				os.RemoveAll(c.folder(i))
				c.folder(i)
			}
		}
		left := c.playFaults(s)
		for i := range c.members {
			if !slices.Contains(left, i) {
				c.start(i)
			}
		}
		c.awaitServed("after all faults end", 30)
		o := c.stopLoad()
		t.Logf("seed %d, %d copies, %d faults: %+v", seed, copies, len(s.Faults), o)
		if t.Failed() {
			t.Fatal(s)
		}
		c.killAll()
	}
}

// TestPromisesMeasure prints the tables of the design note.
func TestPromisesMeasure(t *testing.T) {
	if !*promiseMeasure {
		t.Skip("a measure: -promises.measure")
	}
	quantile := func(all []time.Duration, q float64) time.Duration {
		slices.Sort(all)
		return all[int(q*float64(len(all)-1))].Round(10 * time.Microsecond)
	}
	fmt.Println("| copies | lost | served | failed at once | failed at the deadline | slowest served |")
	for _, copies := range []int{-1, 1, 2} {
		sum, lost := outcome{}, 0
		for range 3 {
			c := newSiteFleet(t, 5, copies, false, 40*time.Millisecond)
			if copies > 0 {
				c.awaitSettled(copies, 0, 1, 2, 3, 4)
			}
			c.load(64)
			c.awaitServed("at first", 200)
			for _, i := range []int{1, 2} {
				c.signal(syscall.SIGKILL, i)
				os.RemoveAll(c.folder(i))
				lost++
				c.awaitServed("with one lost", 300)
				if i == 1 {
					c.awaitVoters(0, "n1")
				}
			}
			o := c.stopLoad()
			sum.Served, sum.Failed, sum.Late, sum.Refused = sum.Served+o.Served, sum.Failed+o.Failed, sum.Late+o.Late, sum.Refused+o.Refused
			sum.Slow = max(sum.Slow, o.Slow)
			c.killAll()
		}
		fmt.Printf("| %d | %d | %d | %d | %d | %v |\n", max(copies, 0), lost, sum.Served, sum.Failed-sum.Late, sum.Late, sum.Slow.Round(time.Millisecond))
	}
	fmt.Println("| power cut, on disk | served | failed at once | failed at the deadline | slowest served |")
	for _, journal := range []bool{false, true} {
		sum := outcome{}
		for range 3 {
			o, _ := playPowerCut(t, journal)
			sum.Served, sum.Failed, sum.Late, sum.Slow = sum.Served+o.Served, sum.Failed+o.Failed, sum.Late+o.Late, max(sum.Slow, o.Slow)
		}
		fmt.Printf("| %v | %d | %d | %d | %v |\n", journal, sum.Served, sum.Failed-sum.Late, sum.Late, sum.Slow.Round(time.Millisecond))
	}
	fmt.Println("| copies | on disk | delay one way | at once | median | 99th | a second |")
	for _, delay := range []time.Duration{0, time.Millisecond} {
		for _, how := range []struct {
			copies  int
			journal bool
		}{{-1, false}, {1, false}, {1, true}, {2, false}, {2, true}} {
			copies := how.copies
			c := newSiteFleet(t, 5, copies, how.journal, time.Millisecond)
			for i := range c.members {
				for j := range c.members {
					if i != j {
						c.mesh.Pair(i, j).Set(wan.There, wan.Path{Delay: delay})
						c.mesh.Pair(i, j).Set(wan.Back, wan.Path{Delay: delay})
					}
				}
			}
			if copies > 0 {
				c.awaitSettled(copies, 0, 1, 2, 3, 4)
			}
			for _, clients := range []int{1, 16, 64} {
				c.stop, c.answers = make(chan struct{}), nil
				c.load(clients)
				c.awaitServed("to warm up", 20*clients)
				c.mu.Lock()
				from, began := len(c.answers), time.Now()
				c.mu.Unlock()
				c.awaitServed("measured", 40*clients+400)
				c.mu.Lock()
				span := time.Since(began)
				var took []time.Duration
				for _, a := range c.answers[from:] {
					took = append(took, a.Took)
				}
				c.mu.Unlock()
				close(c.stop)
				c.wg.Wait()
				fmt.Printf("| %d | %v | %v | %d | %v | %v | %.0f |\n", max(copies, 0), how.journal, delay, clients, quantile(took, 0.5), quantile(took, 0.99), float64(len(took))/span.Seconds())
			}
			c.killAll()
		}
	}
}
