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

// newWorkers prepares n agents on machines h0, h1, ..., and order servers s-1, s-2, ... on machines v1, v2, ...
// Only the first agents, those with folders, may have a seat in the council of three.
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
		f.extraServers = append(f.extraServers, s)
	}
	f.appendConfig(func(i int) string {
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

// token returns a unique token for a call or a request.
func token() uint64 { return uint64(time.Now().UnixNano())&^0xffff | tokens.Add(1)&0xffff }

// call sends a call to agent i, with a time limit.
func (f *fleet) call(i int, within time.Duration, c seat.Call) (*seat.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if c.Token == 0 {
		c.Token = token() | 1<<63
	}
	return agent.CallWork(ctx, f.members[i].management, c)
}

func (f *fleet) mustCall(i int, c seat.Call) *seat.Report {
	f.t.Helper()
	r, err := f.call(i, 20*time.Second, c)
	if err != nil {
		f.t.Fatalf("%+v at n%d: %v; it said %s", c, i, err, f.members[i].out)
	}
	return r
}

func (f *fleet) ask(i int, id, machine string) {
	f.t.Helper()
	f.mustCall(i, seat.Call{Operation: seat.Submit, Ask: &work.Ask{ID: id, Machine: machine, Seconds: 60, By: "test"}})
}

// awaitPhase waits until agent i reports the request in the phase.
func (f *fleet) awaitPhase(i int, id, phase string) (q seat.Request) {
	f.t.Helper()
	last := ""
	defer func() {
		if f.t.Failed() {
			f.t.Log(id, "is", last)
		}
	}()
	began := time.Now()
	eventually(f.t, id+" is "+phase, f.members[i].out, func() bool {
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

// foundCouncil founds a council at n0 and waits until it has three voters.
func (f *fleet) foundCouncil() {
	f.t.Helper()
	f.mustCall(0, seat.Call{Operation: seat.Bootstrap})
	began := time.Now()
	eventually(f.t, "the council has three voters", f.members[0].out, func() bool {
		r, err := f.call(0, 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && len(r.Learners) == 0
	})
	f.t.Logf("three voters after %v", time.Since(began).Round(10*time.Millisecond))
}

// awaitLeader waits until one of these reports a leader among them, and returns it.
func (f *fleet) awaitLeader(these ...int) (leader int) {
	f.t.Helper()
	eventually(f.t, "a leader is elected", f.members[these[0]].out, func() bool {
		for _, i := range these {
			if r, err := f.call(i, time.Second, seat.Call{Operation: seat.Show}); err == nil && r.Leader != "" && r.LeaderAgeMs < 1000 {
				leader = slices.IndexFunc(f.members, func(o *member) bool { return o.name == r.Leader })
				return slices.Contains(these, leader)
			}
		}
		return false
	})
	return leader
}

// readyStatus returns the status code of agent i's readiness endpoint; 0: no answer.
func (f *fleet) readyStatus(i int) int {
	resp, err := testkit.Client.Get("http://" + f.members[i].listen + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// sendRequests sends n sendRequests through agent i, all of which must succeed.
func (f *fleet) sendRequests(i, n int) {
	f.t.Helper()
	for k := range n {
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/order/u%d", f.members[i].listen, k), strings.NewReader("x"))
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

// Six agents, four servers. A server's machine is requested at an agent outside the council, all agents stop
// sending to it, its permit is granted, it goes out and comes back. The leader is partitioned between grant and
// take, then killed. An agent's own machine goes out, and its seat moves. No committed decision is lost.
func TestWork(t *testing.T) {
	f := newWorkers(t, 6, 5, 4)
	all := []int{0, 1, 2, 3, 4, 5}
	f.start(all...)
	f.awaitAgreement("six find each other", all...)
	if _, err := f.call(5, 2*time.Second, seat.Call{Operation: seat.Show}); err == nil || !strings.Contains(err.Error(), "work found") {
		t.Errorf("with no council: %v", err)
	}
	f.foundCouncil()
	if _, err := f.call(3, 5*time.Second, seat.Call{Operation: seat.Bootstrap}); err == nil || !strings.Contains(err.Error(), "found: th") {
		t.Errorf("a second council: %v", err)
	}

	f.ask(5, "r2", "v2")
	q := f.awaitPhase(5, "r2", "granted")
	if q.Permit == 0 || strings.Contains(q.Why, "have not said") {
		t.Errorf("%+v", q)
	}
	f.extraServers[0].Counts()
	for _, i := range all {
		f.sendRequests(i, 20)
	}
	if came, _, _ := f.extraServers[0].Counts(); came > 0 {
		t.Errorf("%d requests reached a machine that all agents reported to have drained", came)
	}

	// The leader is partitioned from all others: it commits nothing more and reports so; the others go on.
	lead := f.awaitLeader(all...)
	parts := make([]int, 6)
	parts[lead] = 1
	f.mesh.Split(parts...)
	if _, err := f.call(lead, 3*time.Second, seat.Call{Operation: seat.Take, ID: "r2", Permit: q.Permit}); err == nil {
		t.Error("the minority took a permit")
	}
	rest := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.awaitLeader(rest...)
	f.mustCall(rest[0], seat.Call{Operation: seat.Take, ID: "r2", Permit: q.Permit})
	if _, err := f.call(rest[1], 10*time.Second, seat.Call{Operation: seat.Cancel, ID: "r2"}); err == nil {
		t.Error("a request whose machine is out was cancelled")
	}
	if r, err := f.call(lead, 5*time.Second, seat.Call{Operation: seat.Show}); err != nil || r.Find("r2").Phase != "granted" || r.LeaderAgeMs < 200 {
		t.Errorf("the minority shows %+v, %v", r, err)
	}
	f.mesh.Split(make([]int, 6)...)
	f.awaitAgreement("the partition heals", all...)
	f.awaitPhase(lead, "r2", "out")
	f.mustCall(lead, seat.Call{Operation: seat.Complete, ID: "r2"})
	f.awaitPhase(5, "r2", "done")
	eventually(t, "the server gets requests again", f.members[5].out, func() bool {
		f.sendRequests(5, 8)
		came, _, _ := f.extraServers[0].Counts()
		return came > 0
	})

	// The leader is killed for good: another is elected soon, with all committed decisions.
	lead = f.awaitLeader(all...)
	f.signal(syscall.SIGKILL, lead)
	began := time.Now()
	rest = slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.awaitLeader(rest...)
	t.Logf("another leads after %v", time.Since(began).Round(10*time.Millisecond))
	if q := f.awaitPhase(rest[0], "r2", "done"); q.Permit == 0 {
		t.Errorf("%+v", q)
	}
	eventually(t, "another agent has its seat", f.members[rest[0]].out, func() bool {
		r, err := f.call(rest[0], 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && !slices.Contains(r.Voters, f.members[lead].name) && len(r.Learners) == 0 &&
			!strings.Contains(strings.Join(r.Voters, " "), "seat ") // of a seat without an agent
	})
	if err := os.RemoveAll(f.folder(lead)); err != nil {
		t.Fatal(err)
	}
	f.folder(lead)
	f.start(lead) // without its disk it is a new member
	f.awaitAgreement("it comes back without its disk", all...)

	// The machine of a voter goes out under 'work run': its clients are sent away, its seat moves to another agent,
	// and it restarts while the command waits.
	r := f.mustCall(5, seat.Call{Operation: seat.Show})
	sits := slices.IndexFunc(f.members, func(o *member) bool { return o.name == r.Voters[0] })
	other := rest[slices.IndexFunc(rest, func(i int) bool { return i != sits })]
	hold := filepath.Join(f.dir, "hold")
	write(t, hold, "")
	var said output
	ended := make(chan error, 1)
	go func() {
		ended <- run([]string{"work", "run", "--door", f.members[other].management, "--id", "rh", "--for", "10s", fmt.Sprint("h", sits), "--", "sh", "-c", "echo at work on $WORK_MACHINE; while test -e " + hold + "; do sleep 0.05; done"}, &said)
	}()
	f.awaitPhase(other, "rh", "out")
	if status := f.readyStatus(sits); status != 503 {
		t.Errorf("the agent of a machine that is out answers %d", status)
	}
	if r := f.mustCall(other, seat.Call{Operation: seat.Show}); slices.Contains(r.Voters, f.members[sits].name) {
		t.Errorf("the machine is out and the voters are %v, still with %s", r.Voters, f.members[sits].name)
	}
	// A surplus seat of an earlier step may still be removed: while the machine is out, there are three voters.
	eventually(t, "three voters, none of them out", f.members[other].out, func() bool {
		r, err := f.call(other, 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && !slices.Contains(r.Voters, f.members[sits].name)
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
	f.awaitPhase(other, "rh", "done")
	eventually(t, "it accepts clients", f.members[sits].out, func() bool { return f.readyStatus(sits) == 200 })

	for _, c := range []struct{ args, want string }{
		{"show", "rh "}, {"plan", "FROM"}, {"record", "granted -> out: taken under permit"}, {"why rh", "is done"}, {"why r9", "no request"},
		{"ask h9", "no machine"}, {"take rh 77", "permit 77 is not one of"}, {"cancel rh", "is done"}, {"ask v1 --id c1", "c1"}, {"cancel c1", "cancelled"}, {"take c1 x", "no permit's number"},
	} {
		var out output
		err := run(append(append([]string{"work"}, strings.Fields(c.args)...), "--door", f.members[other].management), &out)
		if text := fmt.Sprint(out.String(), err); !strings.Contains(text, c.want) {
			t.Errorf("work %s: %s", c.args, text)
		}
	}
	f.signal(syscall.SIGTERM, all...)
}

// Faults during maintenance, one after the other: a server fails while a permit is not yet taken; all agents are
// killed at once; the leader is suspended; the leader's disk is full; the machines of all voters are requested;
// all agents of a machine are dead.
func TestWorkFaults(t *testing.T) {
	f := newWorkers(t, 6, 5, 4)
	all := []int{0, 1, 2, 3, 4, 5}
	f.start(all...)
	f.awaitAgreement("six find each other", all...)
	f.foundCouncil()
	lead := f.awaitLeader(all...)

	// A server stops answering, and only agents other than the leader notice: the permit that was not yet taken is
	// withdrawn, and its number never becomes valid again.
	f.ask(5, "r2", "v2")
	q := f.awaitPhase(5, "r2", "granted")
	f.extraServers[1].Close()
	eventually(t, "r2 is withdrawn", f.members[lead].out, func() bool {
		for i := range all {
			if i != lead {
				f.sendRequests(i, 2)
			}
		}
		r := f.mustCall(5, seat.Call{Operation: seat.Show}).Find("r2")
		return r.Phase == "asked" && strings.Contains(r.Why, "would be left for a need")
	})
	if _, err := f.call(5, 10*time.Second, seat.Call{Operation: seat.Take, ID: "r2", Permit: q.Permit}); err == nil || !strings.Contains(err.Error(), "is not one of") {
		t.Errorf("a permit that was withdrawn: %v", err)
	}
	f.mustCall(5, seat.Call{Operation: seat.Cancel, ID: "r2"})
	f.ask(5, "r3", "v3") // the failed server does not count against the need
	q = f.awaitPhase(5, "r3", "granted")
	f.mustCall(5, seat.Call{Operation: seat.Take, ID: "r3", Permit: q.Permit})

	// All agents are killed at once: the committed decisions survive.
	f.signal(syscall.SIGKILL, all...)
	f.start(all...)
	f.awaitAgreement("all are killed and started", all...)
	lead = f.awaitLeader(all...)
	if r := f.awaitPhase(4, "r3", "out"); r.Permit != q.Permit {
		t.Errorf("%+v", r)
	}

	// The leader is suspended and resumes as a follower.
	f.signal(syscall.SIGSTOP, lead)
	rest := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.awaitLeader(rest...)
	f.mustCall(rest[0], seat.Call{Operation: seat.Fail, ID: "r3"})
	f.signal(syscall.SIGCONT, lead)
	f.awaitPhase(lead, "r3", "failed")

	// The leader's disk is full: it leaves the council, logs one line, and goes on serving; another gets its seat.
	lead = f.awaitLeader(all...)
	full := &unix.Rlimit{Cur: 1, Max: 1}
	if err := unix.Prlimit(f.members[lead].cmd.Process.Pid, unix.RLIMIT_FSIZE, full, nil); err != nil {
		t.Fatal(err)
	}
	rest = slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
	f.ask(rest[0], "h", "h5")
	eventually(t, "the agent with a full disk leaves the council", f.members[lead].out, func() bool {
		return strings.Contains(f.members[lead].out.String(), "this agent leaves the council")
	})
	f.sendRequests(lead, 5)
	if n := strings.Count(f.members[lead].out.String(), "this agent leaves the council"); n != 1 {
		t.Errorf("it logs %d lines about leaving, want 1", n)
	}
	f.awaitLeader(rest...)
	eventually(t, "another agent has its seat", f.members[rest[0]].out, func() bool {
		r, err := f.call(rest[0], 2*time.Second, seat.Call{Operation: seat.Show})
		return err == nil && len(r.Voters) == 3 && !slices.Contains(r.Voters, f.members[lead].name) && len(r.Learners) == 0 &&
			!strings.Contains(strings.Join(r.Voters, " "), "seat ") // of a seat without an agent
	})
	f.mustCall(rest[0], seat.Call{Operation: seat.Cancel, ID: "h"})

	// The machines of all voters at once: they go out as the bounds allow, and the council keeps three voters.
	r := f.mustCall(rest[0], seat.Call{Operation: seat.Show})
	var ids []string
	for _, name := range r.Voters {
		id := "seat-" + name
		ids = append(ids, id)
		f.ask(rest[0], id, "h"+name[1:])
	}
	for len(ids) > 0 {
		var id string
		var permit uint64
		eventually(t, fmt.Sprint("one of ", ids, " goes"), f.members[rest[0]].out, func() bool {
			r, err := f.call(rest[0], 2*time.Second, seat.Call{Operation: seat.Show})
			if err != nil {
				return false
			}
			if len(r.Voters) < 3 {
				t.Errorf("voters %v, want at least 3", r.Voters)
			}
			for _, q := range r.Requests {
				if q.Phase == "granted" {
					id, permit = q.ID, q.Permit
				}
			}
			return id != ""
		})
		f.mustCall(rest[0], seat.Call{Operation: seat.Take, ID: id, Permit: permit})
		f.mustCall(rest[0], seat.Call{Operation: seat.Complete, ID: id})
		f.awaitPhase(rest[0], id, "done")
		back, _ := strconv.Atoi(id[len("seat-n"):])
		eventually(t, "it accepts clients", f.members[back].out, func() bool { return f.readyStatus(back) == 200 })
		ids = slices.DeleteFunc(ids, func(o string) bool { return o == id })
	}

	// A machine whose agents are all dead gets its permit without their confirmation.
	f.signal(syscall.SIGKILL, lead)
	dead := f.members[lead].name
	eventually(t, "it is believed dead", f.members[rest[0]].out, func() bool {
		v, err := f.view(rest[0])
		return err == nil && states(&v)[dead] == "dead"
	})
	f.ask(rest[0], "dead", "h"+dead[1:])
	f.awaitPhase(rest[0], "dead", "granted")
	f.signal(syscall.SIGTERM, rest...)
}

var workMeasure = flag.Bool("work.measure", false, "measure permits and leaders of 3, 5 and 9 processes at a period of 500 ms")

// TestWorkMeasure prints the times of the design note: from request to permit without contention, and from
// the leader's kill until another is elected.
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
		f.awaitAgreement("they find each other", all...)
		f.foundCouncil()
		var permits, leaders []time.Duration
		for k := range 10 {
			id := fmt.Sprint("r", k)
			began := time.Now()
			f.ask(k%n, id, "v2")
			f.awaitPhase(k%n, id, "granted")
			permits = append(permits, time.Since(began))
			f.mustCall(k%n, seat.Call{Operation: seat.Cancel, ID: id})
		}
		for range 5 {
			lead := f.awaitLeader(all...)
			f.signal(syscall.SIGKILL, lead)
			rest := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lead })
			began := time.Now()
			eventually(t, "another leads", f.members[rest[0]].out, func() bool {
				for _, i := range rest {
					r, err := f.call(i, 200*time.Millisecond, seat.Call{Operation: seat.Show})
					if err == nil && r.Leader != "" && r.Leader != f.members[lead].name && r.LeaderAgeMs < 1000 {
						return true
					}
				}
				return false
			})
			leaders = append(leaders, time.Since(began))
			f.start(lead)
			f.awaitAgreement("it is back", all...)
		}
		slices.Sort(permits)
		slices.Sort(leaders)
		fmt.Printf("| %d | %.2f, at most %.2f s | %.2f, at most %.2f s |\n", n, permits[5].Seconds(), permits[9].Seconds(), leaders[2].Seconds(), leaders[4].Seconds())
		f.signal(syscall.SIGKILL, all...)
	}
}
