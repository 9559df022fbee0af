package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"molepaddle/internal/process/handover"
	"molepaddle/internal/rig/testkit"
	"molepaddle/internal/rig/testkit/crowd"
)

const serviceSettings = `{"classes":[
 {"name":"look","aimMs":5000,"giveUpMs":9000,"credit":1,"effect":"free"},
 {"name":"send","aimMs":5000,"giveUpMs":9000,"credit":1,"effect":"guarded","group":"all","keyTtlMs":9000},
 {"name":"order","aimMs":5000,"giveUpMs":9000,"credit":1,"effect":"single_shot"}],
 "membershipMode":"on_request","limits":{"maxAttempts":3,"connectTimeoutMs":5000,"keepaliveMs":30000,"maxRetryAfterMs":600},
 "contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "replicasOfMe":1,"roundMs":5,"weights":"nominal","failureDomains":["a"],"shapes":["k"]}`

// inService is an agent's processes, one after the other, at one address.
type inService struct {
	t            *testing.T
	listen, dir  string
	config, addr string // the newest one's configuration and door
	cmd          *exec.Cmd
	out          *output
}

// started starts the first process, before a server that takes a moment for each answer.
func started(t *testing.T) (*inService, *crowd.Server) {
	t.Helper()
	s, err := crowd.Serve(2 * time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	p := &inService{t: t, listen: freeAddress(t), dir: t.TempDir()}
	p.config = strings.Replace(wholeConfig(p.listen, "127.0.0.1:1", s.Addr), settings, serviceSettings, 1)
	p.next()
	p.awaitYes()
	return p, s
}

// next starts another process beside the one that runs.
func (p *inService) next(env ...string) {
	p.addr = freeAddress(p.t)
	p.cmd, p.out, _ = childIn(p.t, p.config, append([]string{"TMPDIR=" + p.dir, "EDGE_MANAGEMENT=" + p.addr}, env...))
}

// call calls the newest process's door; 0: it is not there.
func (p *inService) call(method, path string) int {
	req, _ := http.NewRequest(method, "http://"+p.addr+path, nil)
	resp, err := testkit.Client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (p *inService) awaitYes() {
	p.t.Helper()
	eventually(p.t, "the process's yes", p.out, func() bool { return p.call("GET", "/api/ready") == 200 })
}

// end ends a process, which must be in good order.
func end(t *testing.T, cmd *exec.Cmd, out *output) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; it said %s", err, out)
	}
}

// A process that is replaced fifty times under load loses nothing, runs nothing twice, and ends no
// request at the door: the listening socket is there all the time.
func TestReplacedFiftyTimes(t *testing.T) {
	p, s := started(t)
	c := crowd.Start(p.listen, 12, nil, "look", "send", "order")
	memory, sockets := 0, 0 // of both together, at the most
	for i := range 50 {
		old, out, before := p.cmd, p.out, c.Count().Served
		p.next()
		p.awaitYes()
		if i%5 == 0 { // while both are there
			eventually(t, "service", p.out, func() bool { return c.Count().Served > before+20 })
			m1, s1 := held(t, old.Process.Pid)
			m2, s2 := held(t, p.cmd.Process.Pid)
			memory, sockets = max(memory, m1+m2), max(sockets, s1+s2)
		}
		end(t, old, out)
	}
	n := c.Stop()
	if len(n.Lost) > 0 || n.Door > 0 || n.Other > 0 || n.Refused > 0 || n.Served < 1000 {
		t.Errorf("served %d, refused %d, other %d, at the door %d, sent again %d, lost %v", n.Served, n.Refused, n.Other, n.Door, n.Resent, n.Lost)
	}
	if twice := s.Twice(); len(twice) > 0 {
		t.Error("ran twice:", twice)
	}
	t.Logf("served %d, sent again after a close %d; both processes together at most %d MB and %d descriptors", n.Served, n.Resent, memory>>10, sockets)
	if sockets > 1024 || !raceDetector && memory > 192<<10 {
		t.Error("over one agent's limits")
	}
	end(t, p.cmd, p.out)
	if left, _ := filepath.Glob(filepath.Join(p.dir, "*")); len(left) > 0 {
		t.Error("left behind:", left)
	}
}

// Of a second process that dies at any point the first takes everything back; a socket that nobody
// answers, or that is no socket, or a directory that can't be written, keeps no process from starting.
func TestReplacementThatFails(t *testing.T) {
	p, s := started(t)
	c := &crowd.Crowd{Once: true} // a killed process's clients can't tell what it had read
	c.Start(p.listen, 6, "look", "send", "order")
	first, out, door := p.cmd, p.out, p.addr
	for i := range 6 {
		p.next()
		if i%2 == 0 {
			p.awaitYes()
		} else {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond) // anywhere in its start: any moment is right
		}
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.addr = door
		eventually(t, "the first process's yes", out, func() bool { return p.call("GET", "/api/ready") == 200 })
		before := c.Count().Served
		eventually(t, "service", out, func() bool { return c.Count().Served > before+10 })
	}
	// A drain goes on in the second process, which is as much away until the operators call back.
	if p.call("POST", "/api/evacuate") != 200 {
		t.Fatal("evacuate")
	}
	p.next()
	eventually(t, "taken over", p.out, func() bool { return strings.Contains(p.out.String(), "msg=started") })
	if got := p.call("GET", "/api/ready"); got != 503 {
		t.Errorf("the second process says %d in a drain; it said %s; the first %s", got, p.out, out)
	}
	if got := p.call("POST", "/api/rejoin"); got != 200 || p.call("GET", "/api/ready") != 200 {
		t.Errorf("rejoin: %d", got)
	}
	end(t, first, out)
	n := c.Stop()
	// What the killed processes held is lost; nothing else is.
	if n.Served < 100 || len(s.Twice()) > 0 {
		t.Errorf("%+v, twice %v", n, s.Twice())
	}
	end(t, p.cmd, p.out)

	path := handover.Path(p.dir, p.listen)
	for name, leave := range map[string]func(){
		"a file":            func() { write(t, path, "garbage") },
		"a stale socket":    func() { stale(t, path) },
		"a directory there": func() { _ = os.Mkdir(path, 0o700) },
	} {
		leave()
		p.next()
		p.awaitYes()
		end(t, p.cmd, p.out)
		_ = os.RemoveAll(path)
		t.Log("started over", name)
	}
	p.next("TMPDIR=/nowhere/at/all")
	p.awaitYes()
	old, out := p.cmd, p.out
	p.next("TMPDIR=" + p.dir + "/" + strings.Repeat("x", 120)) // beside it, over SO_REUSEPORT
	p.awaitYes()
	end(t, old, out)
	if p.call("GET", "/api/ready") != 200 {
		t.Error("the second process stopped with the first")
	}
	end(t, p.cmd, p.out)
}

// held is the memory that a process holds, in KB, and its descriptors.
func held(t *testing.T, pid int) (kb, descriptors int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ = strconv.Atoi(strings.Fields(line)[1])
		}
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return kb, len(fds)
}

// stale leaves a socket that nobody listens on.
func stale(t *testing.T, path string) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrUnix{Name: path}); err != nil {
		t.Fatal(err)
	}
	syscall.Close(fd)
}
