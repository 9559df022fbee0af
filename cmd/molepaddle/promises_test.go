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

// crossed is far gateways that are one fleet, and a near gateway whose orders cross to them.
type crossed struct {
	*fleet
	listen string // of the near gateway
	cmd    *exec.Cmd
	out    *output

	mu      sync.Mutex
	answers []sites.Answer
	stop    chan struct{}
	wg      sync.WaitGroup
}

// patient are the settings of the tests, whose orders have six seconds.
var patient = strings.NewReplacer(`"aimMs":500,"giveUpMs":1000`, `"aimMs":3000,"giveUpMs":6000`)

// newCrossed starts n far gateways, of which each has so many copies (below 0: promises are off), and the near one. What
// is held for others is on disks where journal says so.
func newCrossed(t *testing.T, n, copies int, journal bool, work time.Duration) *crossed {
	return newCrossedOf(t, n, copies, journal, work, "", "")
}

// newCrossedOf does so with the programs at these paths; an empty path stands for this build.
func newCrossedOf(t *testing.T, n, copies int, journal bool, work time.Duration, farBinary, nearBinary string) *crossed {
	c := &crossed{fleet: newFleet(t, n), stop: make(chan struct{})}
	for _, o := range c.all {
		o.binary = farBinary
	}
	c.server.Work(work)
	keys := func(table, name string) string {
		return fmt.Sprintf("[%s.keys]\nca = %q\ncert = %q\nkey = %q\n", table, filepath.Join(c.dir, "ca.pem"), filepath.Join(c.dir, name+".pem"), filepath.Join(c.dir, name+".key"))
	}
	near := "[gateway]\nname = \"near\"\nredial_min = \"50ms\"\nredial_max = \"500ms\"\n" + keys("gateway", "near") + "[[gateway.site]]\nname = \"b\"\nproof_within = \"3s\"\n"
	c.add(func(i int) string {
		host, _, _ := net.SplitHostPort(c.all[i].peers)
		links := own(t, host)
		near += fmt.Sprintf("[[gateway.site.peer]]\nname = \"n%d\"\naddress = %q\n", i, links)
		text := fmt.Sprintf("[gateway]\nname = \"n%d\"\nlisten = %q\npeers = [\"near\"]\n", i, links) + keys("gateway", c.all[i].name)
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
	c.agree("the far gateways find each other", all...)
	c.council()
	file := filepath.Join(c.dir, "near.toml")
	write(t, file, near)
	c.listen = freeAddress(t)
	c.cmd, c.out, _ = childBy(t, nearBinary, patient.Replace(wholeConfig(c.listen, "127.0.0.1:1", "127.0.0.1:9")), "--operator", file)
	awaitReady(t, c.listen, c.out)
	t.Cleanup(func() {
		if t.Failed() {
			for _, o := range c.all {
				t.Logf("%s said last:\n%s", o.name, o.out.last())
			}
			t.Logf("the near gateway said last:\n%s", c.out.last())
		}
	})
	return c
}

// load sends orders, so many at once, until it is ended.
func (c *crossed) load(clients int) {
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

func (c *crossed) served() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.Status == http.StatusOK {
			n++
		}
	}
	return n
}

// moves waits until so many more orders were served.
func (c *crossed) moves(what string, n int) {
	c.t.Helper()
	before := c.served()
	eventually(c.t, "orders cross "+what, c.out, func() bool { return c.served() > before+n })
}

// promised is what a far gateway says of its promises.
func (c *crossed) promised(i int) (r promise.Report) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + c.all[i].door + "/api/promises")
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&r)
	return r
}

// settled waits until these have an epoch with so many copies.
func (c *crossed) settled(copies int, these ...int) {
	c.t.Helper()
	for _, i := range these {
		eventually(c.t, fmt.Sprintf("n%d has an epoch", i), c.all[i].out, func() bool {
			r := c.promised(i)
			return r.EpochActive && len(r.HolderReplicas) == copies
		})
	}
}

// sits waits until three sit who are there, by the word of one.
func (c *crossed) sits(i int, not ...string) {
	c.t.Helper()
	eventually(c.t, "three sit who are there", c.all[i].out, func() bool {
		r, err := c.call(i, 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && len(r.Learners) == 0 && !slices.ContainsFunc(r.Voters, func(name string) bool {
			return strings.HasPrefix(name, "seat ") || slices.Contains(not, name)
		})
	})
}

// kill ends all processes.
func (c *crossed) kill() {
	for _, one := range c.all {
		_ = one.cmd.Process.Kill()
	}
	_ = c.cmd.Process.Kill()
}

// outcome is what became of all orders.
type outcome struct {
	Served, Refused, Failed int
	Late                    int // failed only at their deadline
	Slow                    time.Duration
}

// end ends the load and holds what clients were told against what the servers saw.
func (c *crossed) end() (o outcome) {
	t := c.t
	t.Helper()
	close(c.stop)
	c.wg.Wait()
	heldTo(t, c.answers, append([]*standin.Server{c.server}, c.more...)...)
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

// A far gateway is lost for good, with its folder, while orders are on their way through it: none runs twice, none
// waits for its deadline, what had not begun is served by others. One is stopped, wakes in a sealed epoch, and
// is another process; the copy is killed, and another holds. Then a machine with the holder and its only copy: no
// false proof.
func TestPromises(t *testing.T) {
	c := newCrossed(t, 5, 1, false, 30*time.Millisecond)
	c.settled(1, 0, 1, 2, 3, 4)
	c.load(24)
	c.moves("at first", 100)

	c.signal(syscall.SIGKILL, 1)
	os.RemoveAll(c.folder(1))
	c.moves("with one lost", 200)
	c.sits(0, "n1")

	// Stopped: its links are up and silent. What it has not begun goes elsewhere; it wakes sealed.
	c.signal(syscall.SIGSTOP, 2)
	c.moves("with one stopped", 200)
	eventually(t, "somebody has sealed it", c.all[0].out, func() bool {
		return strings.Contains(c.all[0].out.String()+c.all[3].out.String()+c.all[4].out.String(), "is sealed\" agent=n0 holder=n2")
	})
	c.signal(syscall.SIGCONT, 2)
	eventually(t, "it wakes as another process", c.all[2].out, func() bool {
		return strings.Contains(c.all[2].out.String(), "sealed while this process was unreachable") && c.promised(2).EpochActive
	})
	c.moves("with it back", 100)
	c.sits(0)

	// A copy is killed: its holder has another.
	var copies []string
	eventually(t, "n0 has an epoch", c.all[0].out, func() bool {
		r := c.promised(0)
		copies = r.HolderReplicas
		return r.EpochActive && len(copies) == 1
	})
	copyOf0 := slices.IndexFunc(c.all, func(o *one) bool { return o.name == copies[0] })
	c.signal(syscall.SIGKILL, copyOf0)
	eventually(t, "another holds for n0", c.all[0].out, func() bool {
		r := c.promised(0)
		return r.EpochActive && len(r.HolderReplicas) == 1 && r.HolderReplicas[0] != c.all[copyOf0].name
	})
	c.moves("with another copy", 100)
	o := c.end()
	t.Logf("%+v", o)
	var shown output
	if err := run([]string{"promises", "show", "--door", c.all[0].door, "--if", "h3"}, &shown); err != nil || !strings.Contains(shown.String(), "n0 promises: epoch ") || !strings.Contains(shown.String(), "sealed") {
		t.Errorf("%v; it reads %s", err, &shown)
	}
	if o.Late > 0 || o.Served < 600 || o.Failed > o.Served/10 {
		t.Errorf("%+v", o)
	}
	if r, err := c.call(0, 5*time.Second, seat.Call{Operation: seat.ReplicaSets}); err != nil || len(r.ReplicaSets) < 4 {
		t.Errorf("%+v, %v", r, err)
	}
}

// cut has the power go at all far gateways at once, under load, and come back; proofs is how many earlier processes
// were sealed by what was read.
func cut(t *testing.T, journal bool) (o outcome, proofs int) {
	c := newCrossed(t, 5, 1, journal, 40*time.Millisecond)
	all := []int{0, 1, 2, 3, 4}
	c.settled(1, all...)
	c.load(64)
	c.moves("at first", 200)
	c.signal(syscall.SIGKILL, all...)
	c.start(all...)
	c.moves("with all back", 200)
	c.settled(1, all...)
	for _, i := range all {
		for _, h := range c.promised(i).Replicas {
			if h.Read && h.Sealed {
				proofs++
			}
		}
	}
	o = c.end()
	c.kill()
	return o, proofs
}

// The power goes: who has written what it held proves with it what had not begun, which is served; nothing runs twice,
// and nothing waits for its deadline.
func TestPromisesPowerCut(t *testing.T) {
	o, proofs := cut(t, true)
	t.Logf("%+v, %d earlier processes sealed by what was read", o, proofs)
	if o.Late > 0 || o.Failed > 64 || proofs == 0 {
		t.Errorf("%+v, %d earlier processes sealed by what was read", o, proofs)
	}
}

var (
	promiseSchedules = flag.Int("promises.schedules", 1, "schedules of faults to draw and play on far gateways under load")
	promiseFrom      = flag.Uint64("promises.from", 1, "the first seed of them")
	promiseMeasure   = flag.Bool("promises.measure", false, "measure orders in flight through a gateway that is lost, and what promises cost")
)

// Drawn schedules of faults on five far gateways under load, with one copy or two; who is killed loses its disk half of
// the time: no order runs twice, none that ran is said never to have, each has one answer.
func TestPromisesDrawn(t *testing.T) {
	for k := range *promiseSchedules {
		seed := *promiseFrom + uint64(k)
		rng := rand.New(rand.NewPCG(seed, 0x70726f6d))
		copies := 1 + rng.IntN(2)
		c := newCrossed(t, 5, copies, rng.IntN(2) == 0, time.Duration(5+rng.IntN(40))*time.Millisecond)
		c.settled(copies, 0, 1, 2, 3, 4)
		c.load(8 + rng.IntN(24))
		c.moves("at first", 30)
		s := many.Draw(seed, 5)
		c.lost = func(i int) {
			if rng.IntN(2) == 0 {
				os.RemoveAll(c.folder(i))
				c.folder(i)
			}
		}
		left := c.faults(s)
		for i := range c.all {
			if !slices.Contains(left, i) {
				c.start(i)
			}
		}
		c.moves("once all is whole", 30)
		o := c.end()
		t.Logf("seed %d, %d copies, %d faults: %+v", seed, copies, len(s.Faults), o)
		if t.Failed() {
			t.Fatal(s)
		}
		c.kill()
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
			c := newCrossed(t, 5, copies, false, 40*time.Millisecond)
			if copies > 0 {
				c.settled(copies, 0, 1, 2, 3, 4)
			}
			c.load(64)
			c.moves("at first", 200)
			for _, i := range []int{1, 2} {
				c.signal(syscall.SIGKILL, i)
				os.RemoveAll(c.folder(i))
				lost++
				c.moves("with one lost", 300)
				if i == 1 {
					c.sits(0, "n1")
				}
			}
			o := c.end()
			sum.Served, sum.Failed, sum.Late, sum.Refused = sum.Served+o.Served, sum.Failed+o.Failed, sum.Late+o.Late, sum.Refused+o.Refused
			sum.Slow = max(sum.Slow, o.Slow)
			c.kill()
		}
		fmt.Printf("| %d | %d | %d | %d | %d | %v |\n", max(copies, 0), lost, sum.Served, sum.Failed-sum.Late, sum.Late, sum.Slow.Round(time.Millisecond))
	}
	fmt.Println("| power cut, on disk | served | failed at once | failed at the deadline | slowest served |")
	for _, journal := range []bool{false, true} {
		sum := outcome{}
		for range 3 {
			o, _ := cut(t, journal)
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
			c := newCrossed(t, 5, copies, how.journal, time.Millisecond)
			for i := range c.all {
				for j := range c.all {
					if i != j {
						c.mesh.Pair(i, j).Set(wan.There, wan.Path{Delay: delay})
						c.mesh.Pair(i, j).Set(wan.Back, wan.Path{Delay: delay})
					}
				}
			}
			if copies > 0 {
				c.settled(copies, 0, 1, 2, 3, 4)
			}
			for _, clients := range []int{1, 16, 64} {
				c.stop, c.answers = make(chan struct{}), nil
				c.load(clients)
				c.moves("to warm up", 20*clients)
				c.mu.Lock()
				from, began := len(c.answers), time.Now()
				c.mu.Unlock()
				c.moves("measured", 40*clients+400)
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
			c.kill()
		}
	}
}
