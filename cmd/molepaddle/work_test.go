package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"molepaddle/internal/decide/work"
	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/rig/standin"
	"molepaddle/internal/rig/testkit"
)

// newWorkers prepares n agents on machines h0, h1, ..., of which the first with folders may sit in a council of
// three, and order servers s-1, s-2, ... on machines of their own, v1, v2, ...
func newWorkers(t *testing.T, n, folders, servers int) *fleet {
	return newWorkersOf(t, n, folders, servers, 100*time.Millisecond)
}

func newWorkersOf(t *testing.T, n, folders, servers int, period time.Duration) *fleet {
	f := newFleetOf(t, n, period)
	for k := range servers - 1 {
		s, err := standin.NewServer(fmt.Sprint("server-", k+2), time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		f.more = append(f.more, s)
	}
	f.add(func(i int) string {
		text := "[work]\nreplace_after = \"3s\"\npatience = \"2s\"\nagent_share = 0.5\n"
		if i < folders {
			text += fmt.Sprintf("folder = %q\n", f.folder(i))
		}
		for k := range n {
			text += fmt.Sprintf("[[work.machine]]\nname = \"h%d\"\nzone = \"z%d\"\n", k, k%3)
		}
		for k := range servers {
			text += fmt.Sprintf("[[work.machine]]\nname = \"v%d\"\nzone = \"y\"\nkind = \"server\"\nservers = [\"s-%d\"]\n", k+1, k+1)
		}
		return text + fmt.Sprintf("[[work.need]]\namount = %d\n", servers/2)
	})
	return f
}

func (f *fleet) folder(i int) string {
	dir := filepath.Join(f.dir, fmt.Sprint("seat", i))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		f.t.Fatal(err)
	}
	return dir
}

var tokens atomic.Uint64

// token is one of a call, or of a request, that no other has.
func token() uint64 { return uint64(time.Now().UnixNano())&^0xffff | tokens.Add(1)&0xffff }

// call makes a call at an agent, for at most so long.
func (f *fleet) call(i int, within time.Duration, c seat.Call) (*seat.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if c.Token == 0 {
		c.Token = token() | 1<<63
	}
	return agent.CallWork(ctx, f.all[i].door, c)
}

func (f *fleet) must(i int, c seat.Call) *seat.Report {
	f.t.Helper()
	r, err := f.call(i, 20*time.Second, c)
	if err != nil {
		f.t.Fatalf("%+v at n%d: %v; it said %s", c, i, err, f.all[i].out)
	}
	return r
}

func (f *fleet) ask(i int, id, machine string) {
	f.t.Helper()
	f.must(i, seat.Call{Operation: seat.Submit, Ask: &work.Ask{ID: id, Machine: machine, Seconds: 60, By: "test"}})
}

// comes waits until a request is in a phase, as an agent tells it.
func (f *fleet) comes(i int, id, phase string) (q seat.Request) {
	f.t.Helper()
	last := ""
	defer func() {
		if f.t.Failed() {
			f.t.Log(id, "is", last)
		}
	}()
	began := time.Now()
	eventually(f.t, id+" is "+phase, f.all[i].out, func() bool {
		r, err := f.call(i, 2*time.Second, seat.Call{Operation: seat.Show})
		if err != nil {
			last = err.Error()
			return false
		}
		p := r.Find(id)
		if p != nil {
			q, last = *p, p.Why+" ("+fmt.Sprint(p.Missing)+")"
		}
		return p != nil && p.Phase == phase
	})
	f.t.Logf("%s is %s: %v", id, phase, time.Since(began).Round(10*time.Millisecond))
	return q
}

// council founds one at n0 and waits until it has three members.
func (f *fleet) council() {
	f.t.Helper()
	f.must(0, seat.Call{Operation: seat.Bootstrap})
	began := time.Now()
	eventually(f.t, "three sit", f.all[0].out, func() bool {
		r, err := f.call(0, 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && len(r.Learners) == 0
	})
	f.t.Logf("three sit: %v", time.Since(began).Round(10*time.Millisecond))
}

// leader is who leads by the word of one of these.
func (f *fleet) leader(these ...int) (leader int) {
	f.t.Helper()
	eventually(f.t, "somebody leads", f.all[these[0]].out, func() bool {
		for _, i := range these {
			if r, err := f.call(i, time.Second, seat.Call{Operation: seat.Show}); err == nil && r.Leader != "" && r.LeaderAgeMs < 1000 {
				leader = slices.IndexFunc(f.all, func(o *one) bool { return o.name == r.Leader })
				return slices.Contains(these, leader)
			}
		}
		return false
	})
	return leader
}

// ready is what an agent answers clients that ask whether it is; 0: nothing.
func (f *fleet) ready(i int) int {
	resp, err := testkit.Client.Get("http://" + f.all[i].listen + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// requests sends some through an agent; all are served.
func (f *fleet) requests(i, n int) {
	f.t.Helper()
	for k := range n {
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/order/u%d", f.all[i].listen, k), strings.NewReader("x"))
		req.Header.Set("Request-Id", fmt.Sprint("w", tokens.Add(1)))
		req.Header.Set("Request-Timeout", "30000m")
		resp, err := testkit.Client.Do(req)
		if err != nil {
			f.t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			f.t.Errorf("a request through n%d got %s", i, resp.Status)
		}
	}
}

// Six agents, four servers: a machine with a server is asked for at an agent that sits nowhere, everybody leaves it
// alone, its permit comes, it goes and comes back; the leader is cut off between grant and take, then
// killed; an agent's own machine goes, with its seat; nothing that was settled is forgotten.
func TestWork(t *testing.T) {
	f := newWorkers(t, 6, 5, 4)
	all := []int{0, 1, 2, 3, 4, 5}
	f.start(all...)
	f.agree("six find each other", all...)
	if _, err := f.call(5, 2*time.Second, seat.Call{Operation: seat.Show}); err == nil || !strings.Contains(err.Error(), "work found") {
		t.Errorf("with no council: %v", err)
	}
	f.council()
	if _, err := f.call(3, 5*time.Second, seat.Call{Operation: seat.Bootstrap}); err == nil || !strings.Contains(err.Error(), "found: th") {
		t.Errorf("a second council: %v", err)
	}

	f.ask(5, "r2", "v2")
	q := f.comes(5, "r2", "granted")
	if q.Permit == 0 || strings.Contains(q.Why, "have not said") {
		t.Errorf("%+v", q)
	}
	f.more[0].Counts()
	for _, i := range all {
		f.requests(i, 20)
	}
	if came, _, _ := f.more[0].Counts(); came > 0 {
		t.Errorf("%d requests came to a machine that all said they leave alone", came)
	}

	// The leader is cut off from all: it grants nothing more and says so; the others go on.
	lead := f.leader(all...)
	parts := make([]int, 6)
	parts[lead] = 1
	f.mesh.Split(parts...)
	if _, err := f.call(lead, 3*time.Second, seat.Call{Operation: seat.Take, ID: "r2", Permit: q.Permit}); err == nil {
		t.Error("the smaller part took a permit")
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.leader(rest...)
	f.must(rest[0], seat.Call{Operation: seat.Take, ID: "r2", Permit: q.Permit})
	if _, err := f.call(rest[1], 10*time.Second, seat.Call{Operation: seat.Cancel, ID: "r2"}); err == nil {
		t.Error("what is out was called off")
	}
	if r, err := f.call(lead, 5*time.Second, seat.Call{Operation: seat.Show}); err != nil || r.Find("r2").Phase != "granted" || r.LeaderAgeMs < 200 {
		t.Errorf("the smaller part shows %+v, %v", r, err)
	}
	f.mesh.Split(make([]int, 6)...)
	f.agree("the parts heal", all...)
	f.comes(lead, "r2", "out")
	f.must(lead, seat.Call{Operation: seat.Complete, ID: "r2"})
	f.comes(5, "r2", "done")
	eventually(t, "the server is sent to again", f.all[5].out, func() bool {
		f.requests(5, 8)
		came, _, _ := f.more[0].Counts()
		return came > 0
	})

	// The leader is killed for good: another leads soon, with all that was settled.
	lead = f.leader(all...)
	f.signal(syscall.SIGKILL, lead)
	began := time.Now()
	rest = slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.leader(rest...)
	t.Logf("another leads after %v", time.Since(began).Round(10*time.Millisecond))
	if q := f.comes(rest[0], "r2", "done"); q.Permit == 0 {
		t.Errorf("%+v", q)
	}
	eventually(t, "another has its seat", f.all[rest[0]].out, func() bool {
		r, err := f.call(rest[0], 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && !slices.Contains(r.Voters, f.all[lead].name) && len(r.Learners) == 0 &&
			!strings.Contains(strings.Join(r.Voters, " "), "seat ") // of one that nobody has
	})
	if err := os.RemoveAll(f.folder(lead)); err != nil {
		t.Fatal(err)
	}
	f.folder(lead)
	f.start(lead) // without its disk: another member, if ever
	f.agree("it comes back without its disk", all...)

	// The machine of an agent that sits: its clients are sent away, its seat goes elsewhere, it ends and comes
	// back, all under a command that waits for it.
	r := f.must(5, seat.Call{Operation: seat.Show})
	sits := slices.IndexFunc(f.all, func(o *one) bool { return o.name == r.Voters[0] })
	other := rest[slices.IndexFunc(rest, func(i int) bool { return i != sits })]
	hold := filepath.Join(f.dir, "hold")
	write(t, hold, "")
	var said output
	ended := make(chan error, 1)
	go func() {
		ended <- run([]string{"work", "run", "--door", f.all[other].door, "--id", "rh", "--for", "10s", fmt.Sprint("h", sits), "--", "sh", "-c", "echo at work on $WORK_MACHINE; while test -e " + hold + "; do sleep 0.05; done"}, &said)
	}()
	f.comes(other, "rh", "out")
	if status := f.ready(sits); status != 503 {
		t.Errorf("the agent of a machine that is out answers %d", status)
	}
	if r := f.must(other, seat.Call{Operation: seat.Show}); slices.Contains(r.Voters, f.all[sits].name) {
		t.Errorf("out, and %v sit, %s before", r.Voters, f.all[sits].name)
	}
	// A seat that an earlier step gave besides may still have to go: while the machine is out, three sit.
	eventually(t, "three sit, none of them out", f.all[other].out, func() bool {
		r, err := f.call(other, 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && !slices.Contains(r.Voters, f.all[sits].name)
	})
	f.signal(syscall.SIGTERM, sits)
	f.start(sits)
	os.Remove(hold)
	if err := <-ended; err != nil {
		t.Errorf("%v; it printed %s", err, said.String())
	}
	if text := said.String(); !strings.Contains(text, fmt.Sprintf("h%d is out under permit", sits)) || !strings.Contains(text, fmt.Sprintf("at work on h%d", sits)) || !strings.Contains(text, "rh done") {
		t.Errorf("it printed %s", text)
	}
	f.comes(other, "rh", "done")
	eventually(t, "its clients may come", f.all[sits].out, func() bool { return f.ready(sits) == 200 })

	for _, c := range []struct{ args, want string }{
		{"show", "rh "}, {"plan", "FROM"}, {"record", "granted -> out: taken under permit"}, {"why rh", "is done"}, {"why r9", "no request"},
		{"ask h9", "no machine"}, {"take rh 77", "permit 77 is not one of"}, {"cancel rh", "is done"}, {"ask v1 --id c1", "c1"}, {"cancel c1", "cancelled"}, {"take c1 x", "no permit's number"},
	} {
		var out output
		err := run(append(append([]string{"work"}, strings.Fields(c.args)...), "--door", f.all[other].door), &out)
		if text := fmt.Sprint(out.String(), err); !strings.Contains(text, c.want) {
			t.Errorf("work %s: %s", c.args, text)
		}
	}
	f.signal(syscall.SIGTERM, all...)
}

// What goes wrong on a night of work, one after the other: something breaks while a permit waits to be taken; all
// agents are killed at once; the member that leads is stopped, its disk is full; the machines of all
// that sit are asked for; a machine's agents are all dead.
func TestWorkGoesWrong(t *testing.T) {
	f := newWorkers(t, 6, 5, 4)
	all := []int{0, 1, 2, 3, 4, 5}
	f.start(all...)
	f.agree("six find each other", all...)
	f.council()
	lead := f.leader(all...)

	// A server falls silent, and only agents that don't lead find out: the permit that nobody has taken is withdrawn, and its
	// number never counts again.
	f.ask(5, "r2", "v2")
	q := f.comes(5, "r2", "granted")
	f.more[1].Close()
	eventually(t, "r2 is withdrawn", f.all[lead].out, func() bool {
		for i := range all {
			if i != lead {
				f.requests(i, 2)
			}
		}
		r := f.must(5, seat.Call{Operation: seat.Show}).Find("r2")
		return r.Phase == "asked" && strings.Contains(r.Why, "would be left for a need")
	})
	if _, err := f.call(5, 10*time.Second, seat.Call{Operation: seat.Take, ID: "r2", Permit: q.Permit}); err == nil || !strings.Contains(err.Error(), "is not one of") {
		t.Errorf("a permit that was withdrawn: %v", err)
	}
	f.must(5, seat.Call{Operation: seat.Cancel, ID: "r2"})
	f.ask(5, "r3", "v3") // the one that is silent takes nothing away
	q = f.comes(5, "r3", "granted")
	f.must(5, seat.Call{Operation: seat.Take, ID: "r3", Permit: q.Permit})

	// All at once: what was settled is there again.
	f.signal(syscall.SIGKILL, all...)
	f.start(all...)
	f.agree("all are killed and started", all...)
	lead = f.leader(all...)
	if r := f.comes(4, "r3", "out"); r.Permit != q.Permit {
		t.Errorf("%+v", r)
	}

	// The member that leads is stopped, wakes, and follows.
	f.signal(syscall.SIGSTOP, lead)
	rest := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.leader(rest...)
	f.must(rest[0], seat.Call{Operation: seat.Fail, ID: "r3"})
	f.signal(syscall.SIGCONT, lead)
	f.comes(lead, "r3", "failed")

	// Its disk is full: it leaves the council, says so in one line, and serves on; another takes its seat.
	lead = f.leader(all...)
	full := &unix.Rlimit{Cur: 1, Max: 1}
	if err := unix.Prlimit(f.all[lead].cmd.Process.Pid, unix.RLIMIT_FSIZE, full, nil); err != nil {
		t.Fatal(err)
	}
	rest = slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.ask(rest[0], "h", "h5")
	eventually(t, "the one with a full disk leaves", f.all[lead].out, func() bool {
		return strings.Contains(f.all[lead].out.String(), "this agent leaves the council")
	})
	f.requests(lead, 5)
	if n := strings.Count(f.all[lead].out.String(), "this agent leaves the council"); n != 1 {
		t.Errorf("it says so %d times", n)
	}
	f.leader(rest...)
	eventually(t, "another has its seat", f.all[rest[0]].out, func() bool {
		r, err := f.call(rest[0], 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && !slices.Contains(r.Voters, f.all[lead].name) && len(r.Learners) == 0 &&
			!strings.Contains(strings.Join(r.Voters, " "), "seat ") // of one that nobody has
	})
	f.must(rest[0], seat.Call{Operation: seat.Cancel, ID: "h"})

	// The machines of all that sit, at once: they go as the bounds allow, and the council stands throughout.
	r := f.must(rest[0], seat.Call{Operation: seat.Show})
	var ids []string
	for _, name := range r.Voters {
		id := "seat-" + name
		ids = append(ids, id)
		f.ask(rest[0], id, "h"+name[1:])
	}
	for len(ids) > 0 {
		var id string
		var permit uint64
		eventually(t, fmt.Sprint("one of ", ids, " goes"), f.all[rest[0]].out, func() bool {
			r, err := f.call(rest[0], 2*time.Second, seat.Call{Operation: seat.Show})
			if err != nil {
				return false
			}
			if len(r.Voters) < 3 {
				t.Errorf("%v sit", r.Voters)
			}
			for _, q := range r.Requests {
				if q.Phase == "granted" {
					id, permit = q.ID, q.Permit
				}
			}
			return id != ""
		})
		f.must(rest[0], seat.Call{Operation: seat.Take, ID: id, Permit: permit})
		f.must(rest[0], seat.Call{Operation: seat.Complete, ID: id})
		f.comes(rest[0], id, "done")
		back, _ := strconv.Atoi(id[len("seat-n"):])
		eventually(t, "its clients may come", f.all[back].out, func() bool { return f.ready(back) == 200 })
		ids = slices.DeleteFunc(ids, func(o string) bool { return o == id })
	}

	// Agents that are all dead hold nothing: their machine's permit waits for nobody.
	f.signal(syscall.SIGKILL, lead)
	dead := f.all[lead].name
	eventually(t, "it is believed dead", f.all[rest[0]].out, func() bool {
		v, err := f.view(rest[0])
		return err == nil && states(&v)[dead] == "dead"
	})
	f.ask(rest[0], "dead", "h"+dead[1:])
	f.comes(rest[0], "dead", "granted")
	f.signal(syscall.SIGTERM, rest...)
}

var workMeasure = flag.Bool("work.measure", false, "measure permits and leaders of 3, 5 and 9 processes at a period of 500 ms")

// TestWorkMeasure prints what the design note has of times: from ask to permit with nothing in the way, and from
// the leader's kill until another leads.
func TestWorkMeasure(t *testing.T) {
	if !*workMeasure {
		t.Skip("a measure: -work.measure")
	}
	fmt.Println("| processes | ask to permit | another leads |")
	for _, n := range []int{3, 5, 9} {
		f := newWorkersOf(t, n, n, 4, 500*time.Millisecond)
		var all []int
		for i := range n {
			all = append(all, i)
		}
		f.start(all...)
		f.agree("they find each other", all...)
		f.council()
		var permits, leaders []time.Duration
		for k := range 10 {
			id := fmt.Sprint("r", k)
			began := time.Now()
			f.ask(k%n, id, "v2")
			f.comes(k%n, id, "granted")
			permits = append(permits, time.Since(began))
			f.must(k%n, seat.Call{Operation: seat.Cancel, ID: id})
		}
		for range 5 {
			lead := f.leader(all...)
			f.signal(syscall.SIGKILL, lead)
			rest := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
			began := time.Now()
			eventually(t, "another leads", f.all[rest[0]].out, func() bool {
				for _, i := range rest {
					r, err := f.call(i, 200*time.Millisecond, seat.Call{Operation: seat.Show})
					if err == nil && r.Leader != "" && r.Leader != f.all[lead].name && r.LeaderAgeMs < 1000 {
						return true
					}
				}
				return false
			})
			leaders = append(leaders, time.Since(began))
			f.start(lead)
			f.agree("it is back", all...)
		}
		slices.Sort(permits)
		slices.Sort(leaders)
		fmt.Printf("| %d | %.2f, at most %.2f s | %.2f, at most %.2f s |\n", n, permits[5].Seconds(), permits[9].Seconds(), leaders[2].Seconds(), leaders[4].Seconds())
		f.signal(syscall.SIGKILL, all...)
	}
}
