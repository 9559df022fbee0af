package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/protocol/peers"
	"molepaddle/internal/rig/many"
	"molepaddle/internal/rig/standin"
	"molepaddle/internal/rig/wan"
)

// fleet is a set of processes of the program, connected by a simulated network.
type fleet struct {
	t            *testing.T
	mesh         *wan.Mesh
	server       *standin.Server
	extraServers []*standin.Server // s-2, s-3, ..., each on its own machine
	dir          string
	members      []*member
	onKill       func(i int) // called with each member that a schedule kills; may be nil
}

// member is a member of a fleet: its addresses stay the same when its process is restarted.
type member struct {
	name, listen, peers, management, file string
	binary                                string // path of another build's program; empty: this build's
	cmd                                   *exec.Cmd
	out                                   *output
}

// ports counts the ports that freeAddressOn has returned.
var ports atomic.Int32

// freeAddressOn returns a free address on a loopback host, outside the system's range of local ports for outgoing
// connections: one of those may be in use when the process starts to listen.
func freeAddressOn(t *testing.T, host string) string {
	t.Helper()
	for range 1000 {
		at := fmt.Sprintf("%s:%d", host, 10000+ports.Add(1)%20000)
		if ln, err := net.Listen("tcp", at); err == nil {
			ln.Close()
			return at
		}
	}
	t.Fatal("no address is free")
	return ""
}

// appendConfig appends text to the operator's file of each member, before the members start.
func (f *fleet) appendConfig(text func(i int) string) {
	for i, o := range f.members {
		was, err := os.ReadFile(o.file)
		if err != nil {
			f.t.Fatal(err)
		}
		write(f.t, o.file, string(was)+text(i))
	}
}

// newFleet prepares n members with TLS in three zones, the first two of them seeds, and starts none.
func newFleet(t *testing.T, n int) *fleet { return newFleetOf(t, n, 100*time.Millisecond) }

func newFleetOf(t *testing.T, n int, period time.Duration) *fleet {
	f := &fleet{t: t, dir: t.TempDir()}
	var err error
	if f.server, err = standin.NewServer("server-1", time.Millisecond); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.server.Close() })
	names, targets := []string{"keys", "make", f.dir, "near"}, []string{}
	for i := range n {
		host := fmt.Sprintf("127.77.%d.%d", os.Getpid()%250, i+1) // separate from other tests that run at the same time
		o := &member{name: fmt.Sprintf("n%d", i), listen: freeAddressOn(t, host), peers: freeAddressOn(t, host), management: freeAddressOn(t, host)}
		f.members = append(f.members, o)
		names, targets = append(names, o.name), append(targets, o.peers)
	}
	if err := run(names, &output{}); err != nil {
		t.Fatal(err)
	}
	if f.mesh, err = wan.NewMesh(targets, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.mesh.Close)
	for i, o := range f.members {
		o.file = filepath.Join(f.dir, o.name+".toml")
		text := fmt.Sprintf("[fleet]\non = true\n[peers]\nname = %q\nmachine = \"h%d\"\nzone = \"z%d\"\nlisten = %q\nadvertise = %q\nperiod = \"%v\"\nforget = \"1h\"\n", o.name, i, i%3, o.peers, f.mesh.Addrs[i], period)
		for s := range 2 {
			text += fmt.Sprintf("[[peers.seed]]\nname = %q\naddress = %q\n", f.members[s].name, f.mesh.Addrs[s])
		}
		text += fmt.Sprintf("[peers.keys]\nca = %q\ncert = %q\nkey = %q\n", filepath.Join(f.dir, "ca.pem"), filepath.Join(f.dir, o.name+".pem"), filepath.Join(f.dir, o.name+".key"))
		write(t, o.file, text)
	}
	return f
}

func (f *fleet) start(these ...int) {
	for _, i := range these {
		o := f.members[i]
		hosts := ""
		for k, s := range f.extraServers {
			hosts += fmt.Sprintf(`,{"host":"s-%d","dial":%q,"site":"a","class":"k","health":"ready","share":1}`, k+2, s.Addr)
		}
		config := strings.Replace(agentConfig(o.listen, "127.0.0.1:1", f.server.Addr), `"seed"`, fmt.Sprintf(`"management":%q,"seed"`, o.management), 1)
		config = strings.Replace(config, `"share":1}]`, `"share":1}`+hosts+"]", 1)
		o.cmd, o.out, _ = startBuild(f.t, o.binary, config, "--operator", o.file)
	}
}

func (f *fleet) signal(sig syscall.Signal, these ...int) {
	for _, i := range these {
		if err := f.members[i].cmd.Process.Signal(sig); err != nil {
			f.t.Fatal(err)
		}
		if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
			err := f.members[i].cmd.Wait()
			if sig == syscall.SIGTERM && err != nil {
				f.t.Errorf("%s ended with %v; it said %s", f.members[i].name, err, f.members[i].out)
			}
		}
	}
}

func (f *fleet) view(i int) (v agent.FleetView, err error) {
	err = agent.ReadFleet(f.members[i].management, "/api/fleet", &v)
	return v, err
}

// states returns the state of the latest incarnation of each name in a view.
func states(v *agent.FleetView) map[string]string {
	all, last := map[string]string{}, map[string]uint64{}
	for _, m := range v.Members {
		if m.Incarnation > last[m.Name] {
			last[m.Name], all[m.Name] = m.Incarnation, m.State
		}
	}
	return all
}

// awaitAgreement waits until all of these have the same settled view, in which they and no others are alive.
func (f *fleet) awaitAgreement(what string, these ...int) {
	f.t.Helper()
	began := time.Now()
	last := ""
	defer func() {
		if f.t.Failed() {
			f.t.Log(last)
		}
	}()
	eventually(f.t, what, f.members[these[0]].out, func() bool {
		digest := ""
		last = ""
		for _, i := range these {
			v, err := f.view(i)
			if err != nil {
				last = fmt.Sprint(err)
				return false
			}
			if digest == "" {
				digest = v.Digest
			}
			var b strings.Builder
			v.Print(&b)
			last += b.String()
			if !v.Converged || v.Digest != digest {
				return false
			}
			for k, o := range f.members {
				if (states(&v)[o.name] == "alive") != slices.Contains(these, k) {
					return false
				}
			}
		}
		return true
	})
	f.t.Logf("%s: %v", what, time.Since(began).Round(10*time.Millisecond))
}

// declaredDead returns the names that member i has ever declared dead, from its log.
func (f *fleet) declaredDead(i int) (names []string) {
	var events []peers.Event
	if err := agent.ReadFleet(f.members[i].management, "/api/fleet/log", &events); err != nil {
		f.t.Fatal(err)
	}
	for _, e := range events {
		if e.State == "dead" {
			names = append(names, e.Who...)
		}
	}
	return names
}

// Six processes with TLS over a simulated network: they join, one crashes and restarts, a partition heals, one is
// suspended and resumed, and one leaves. After each step the views converge, and no reachable member is ever
// declared dead.
func TestFleet(t *testing.T) {
	f := newFleet(t, 6)
	all := []int{0, 1, 2, 3, 4, 5}
	f.start(all...)
	f.awaitAgreement("six find each other", all...)

	f.mesh.OneWay(2, 3) // 3 receives nothing from 2; all others do
	eventually(t, "3 suspects 2", f.members[0].out, func() bool {
		v, err := f.view(0)
		return err == nil && states(&v)["n2"] == "suspect"
	})
	f.mesh.Heal(2, 3)
	f.awaitAgreement("one direction is lost and healed", all...)
	for i := range all {
		if d := f.declaredDead(i); len(d) > 0 {
			t.Errorf("%s believed %v dead", f.members[i].name, d)
		}
	}

	f.signal(syscall.SIGKILL, 5)
	f.awaitAgreement("one is killed", 0, 1, 2, 3, 4)
	f.start(5)
	f.awaitAgreement("it restarts as another process", all...)

	f.mesh.Split(0, 0, 0, 0, 1, 1)
	f.awaitAgreement("four are partitioned from two", 0, 1, 2, 3)
	for _, i := range []int{4, 5} {
		eventually(t, "two doubt themselves", f.members[i].out, func() bool {
			v, err := f.view(i)
			return err == nil && !v.Converged && strings.Contains(v.SelfSuspicion, "I see 2 of 6")
		})
		if d := f.declaredDead(i); slices.Contains(d, "n0") || slices.Contains(d, "n4") {
			t.Errorf("%s, one of two, believed %v dead", f.members[i].name, d)
		}
	}
	f.mesh.Split(0, 0, 0, 0, 0, 0)
	f.awaitAgreement("the partition heals", all...)

	f.signal(syscall.SIGSTOP, 1)
	f.awaitAgreement("a seed is suspended", 0, 2, 3, 4, 5)
	before := f.declaredDead(0)
	f.signal(syscall.SIGCONT, 1)
	f.awaitAgreement("it resumes", all...)
	if now := f.declaredDead(0); len(now) != len(before) || len(f.declaredDead(1)) != 0 && f.declaredDead(1)[0] != "n5" {
		t.Errorf("after a stop: %v, then %v; it believed %v dead", before, now, f.declaredDead(1))
	}

	f.signal(syscall.SIGTERM, 4)
	f.awaitAgreement("one leaves", 0, 1, 2, 3, 5)
	v, err := f.view(0)
	if err != nil || states(&v)["n4"] != "left" {
		t.Errorf("who left is %v, %v", states(&v), err)
	}
	var shown, logged output
	for _, c := range []struct {
		args []string
		out  *output
		want string
	}{
		{[]string{"fleet", "show", "--door", f.members[0].management}, &shown, "n0 sees 5 of 5, settled"},
		{[]string{"fleet", "log", "--door", f.members[0].management}, &logged, "left     n4: it has said so"},
	} {
		if err := run(c.args, c.out); err != nil || !strings.Contains(c.out.String(), c.want) {
			t.Errorf("%v: %v; it reads %s", c.args, err, c.out)
		}
	}
	f.signal(syscall.SIGTERM, 0, 1, 2, 3, 5)
}

var (
	fleetSchedules = flag.Int("fleet.schedules", 1, "schedules of faults to draw and play on processes")
	fleetFrom      = flag.Uint64("fleet.from", 1, "the first seed of them")
	fleetMeasure   = flag.Bool("fleet.measure", false, "measure views of 5, 12 and 40 processes at a period of 500 ms")
	fleetMembers   = flag.Int("fleet.members", 6, "processes of each")
)

// Random schedules of faults on processes: partitions, one-way loss, kills, suspensions, graceful shutdowns and
// restarts. After the last fault all running members converge to one settled view.
func TestFleetDrawn(t *testing.T) {
	for k := range *fleetSchedules {
		s := many.Draw(*fleetFrom+uint64(k), *fleetMembers)
		f := newFleet(t, s.Members)
		var all []int
		for i := range s.Members {
			all = append(all, i)
		}
		f.start(all...)
		f.awaitAgreement("at first", all...)
		f.play(s)
		if t.Failed() {
			t.Fatal(s)
		}
	}
}

// play runs a schedule of faults, waits until the views converge, and kills the fleet.
func (f *fleet) play(s *many.Schedule) {
	left := f.playFaults(s)
	f.awaitAgreement(s.String(), left...)
	f.signal(syscall.SIGKILL, left...)
}

// playFaults runs a schedule five times as fast as it was drawn, since the period here is a fifth, heals the
// network, and returns the running members.
func (f *fleet) playFaults(s *many.Schedule) (left []int) {
	up, stopped := map[int]bool{}, map[int]bool{}
	for i := range f.members {
		up[i] = true
	}
	began := time.Now()
	for _, x := range s.Faults {
		time.Sleep(time.Until(began.Add((x.At - s.Faults[0].At) / 5))) // the schedule's own time
		switch i := x.Who; {
		case x.What == "parts":
			f.mesh.Split(x.Parts...)
		case x.What == "one-way":
			f.mesh.OneWay(i, (i+1)%len(f.members))
		case x.What == "stop" && up[i]:
			f.signal(syscall.SIGSTOP, i)
			stopped[i] = true
		case x.What == "continue" && up[i]:
			f.signal(syscall.SIGCONT, i)
			delete(stopped, i)
		case (x.What == "kill" || x.What == "crash") && up[i]:
			f.signal(syscall.SIGKILL, i)
			delete(up, i)
			delete(stopped, i)
			if f.onKill != nil {
				f.onKill(i)
			}
		case x.What == "leave" && up[i] && !stopped[i]:
			f.signal(syscall.SIGTERM, i)
			delete(up, i)
		case x.What == "start" && !up[i]:
			f.start(i)
			up[i] = true
		}
	}
	f.mesh.Split(make([]int, len(f.members))...)
	for i := range f.members {
		if stopped[i] {
			f.signal(syscall.SIGCONT, i)
		}
		// Half of a fleet or less reports that it may be partitioned, which is correct: start more members.
		if !up[i] && len(up) <= len(f.members)/2 {
			f.start(i)
			up[i] = true
		}
		if up[i] {
			left = append(left, i)
		}
	}
	return left
}

// TestFleetMeasure prints the design note's table for real processes: the time until all views have a change.
func TestFleetMeasure(t *testing.T) {
	if !*fleetMeasure {
		t.Skip("a measure: -fleet.measure")
	}
	fmt.Println("| processes | all join | a death | halves | healed |")
	for _, n := range []int{5, 12, 40} {
		f := newFleetOf(t, n, 500*time.Millisecond)
		var all, rest, parts []int
		for i := range n {
			all, parts = append(all, i), append(parts, 2*i/(n-1))
		}
		rest, parts = all[:n-1], parts[:n-1]
		half := slices.Index(parts, 1)
		// until polls until the members of each group have exactly their group alive, and returns the seconds it took.
		want := "alive" // or "dead": the others must be dead
		until := func(groups ...[]int) float64 {
			began := time.Now()
			eventually(t, "all believe it", f.members[0].out, func() bool {
				for _, these := range groups {
					for _, i := range these {
						v, err := f.view(i)
						if err != nil {
							return false
						}
						for k, o := range f.members {
							if is := states(&v)[o.name]; (is == "alive") != slices.Contains(these, k) || want == "dead" && is != "alive" && is != want {
								return false
							}
						}
					}
				}
				return true
			})
			return time.Since(began).Seconds()
		}
		f.start(all...)
		fmt.Printf("| %d | %.2f |", n, until(all))
		time.Sleep(8 * time.Second) // until all are witnesses
		f.signal(syscall.SIGKILL, n-1)
		want = "dead"
		fmt.Printf(" %.2f |", until(rest))
		want = "alive"
		f.mesh.Split(append(slices.Clone(parts), 0)...)
		fmt.Printf(" %.2f |", until(rest[:half], rest[half:]))
		f.mesh.Split(make([]int, n)...)
		fmt.Printf(" %.2f |\n", until(rest))
		f.signal(syscall.SIGKILL, rest...)
	}
}

// A second process takes over under the same name: the first leaves the fleet, the second replaces it, no member
// is declared dead, and no name has two processes.
func TestFleetTakenOver(t *testing.T) {
	f := newWorkers(t, 3, 3, 2)
	o, dir := f.members[0], t.TempDir()
	config := agentConfig(o.listen, "127.0.0.1:1", f.server.Addr)
	begin := func() {
		o.management = freeAddressOn(t, fmt.Sprintf("127.77.%d.1", os.Getpid()%250))
		o.cmd, o.out, _ = startChildEnv(t, config, []string{"TMPDIR=" + dir, "EDGE_MANAGEMENT=" + o.management}, "--operator", o.file)
	}
	begin()
	f.start(1, 2)
	f.awaitAgreement("three find each other", 0, 1, 2)
	first := func(v *agent.FleetView) (n uint64) {
		for _, m := range v.Members {
			if m.Name == "n0" {
				n = max(n, m.Incarnation)
			}
		}
		return n
	}
	v, err := f.view(1)
	if err != nil {
		t.Fatal(err)
	}
	f.foundCouncil()
	before, old, oldOut := first(&v), o.cmd, o.out
	begin()
	eventually(t, "the second replaces the first", o.out, func() bool {
		v, err := f.view(1)
		return err == nil && first(&v) > before && states(&v)["n0"] == "alive"
	})
	terminate(t, old, oldOut)
	f.awaitAgreement("the second is one of three", 0, 1, 2)
	f.ask(0, "r", "h2") // it keeps the first one's seat in the council, and its disk
	f.awaitPhase(2, "r", "granted")
	if r := f.mustCall(0, seat.Call{Operation: seat.Show}); len(r.Voters) != 3 || !slices.Contains(r.Voters, "n0") {
		t.Errorf("voters %v, want three with n0", r.Voters)
	}
	v, _ = f.view(2)
	for _, m := range v.Members {
		if m.Twin || m.Name == "n0" && m.Incarnation == before {
			t.Errorf("%+v", m)
		}
	}
	if d := f.declaredDead(1); len(d) > 0 {
		t.Errorf("believed dead: %v", d)
	}
	f.signal(syscall.SIGTERM, 0, 1, 2)
}
