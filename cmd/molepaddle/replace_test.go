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

// replacedAgent is an agent at one address whose process is replaced by successors.
type replacedAgent struct {
	t            *testing.T
	listen, dir  string
	config, addr string // configuration and management address of the newest process
	cmd          *exec.Cmd
	out          *output
}

// newReplacedAgent starts the first process, with a server that takes 2 ms for each answer.
func newReplacedAgent(t *testing.T) (*replacedAgent, *crowd.Server) {
	t.Helper()
	s, err := crowd.Serve(2 * time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	p := &replacedAgent{t: t, listen: freeAddress(t), dir: t.TempDir()}
	p.config = strings.Replace(agentConfig(p.listen, "127.0.0.1:1", s.Addr), settings, serviceSettings, 1)
	p.startNext()
	p.awaitReady()
	return p, s
}

// startNext starts another process while the current one runs.
func (p *replacedAgent) startNext(env ...string) {
	p.addr = freeAddress(p.t)
	p.cmd, p.out, _ = startChildEnv(p.t, p.config, append([]string{"TMPDIR=" + p.dir, "EDGE_MANAGEMENT=" + p.addr}, env...))
}

// call sends a request to the newest process's management address and returns the status code; 0: no answer.
func (p *replacedAgent) call(method, path string) int {
	req, _ := http.NewRequest(method, "http://"+p.addr+path, nil)
	resp, err := testkit.Client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (p *replacedAgent) awaitReady() {
	p.t.Helper()
	eventually(p.t, "the process is ready", p.out, func() bool { return p.call("GET", "/api/ready") == 200 })
}

// terminate terminates a process with SIGTERM; it must exit with code 0.
func terminate(t *testing.T, cmd *exec.Cmd, out *output) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; it said %s", err, out)
	}
}

// A process that is replaced fifty times under load loses no request, runs none twice, and refuses no connection:
// the listening socket stays open throughout.
func TestReplacedFiftyTimes(t *testing.T) {
	p, s := newReplacedAgent(t)
	c := crowd.Start(p.listen, 12, nil, "look", "send", "order")
	memory, sockets := 0, 0 // maximum of both processes together
	for i := range 50 {
		old, out, before := p.cmd, p.out, c.Count().Served
		p.startNext()
		p.awaitReady()
		if i%5 == 0 { // while both processes run
			eventually(t, "service", p.out, func() bool { return c.Count().Served > before+20 })
			m1, s1 := processUsage(t, old.Process.Pid)
			m2, s2 := processUsage(t, p.cmd.Process.Pid)
			memory, sockets = max(memory, m1+m2), max(sockets, s1+s2)
		}
		terminate(t, old, out)
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
	terminate(t, p.cmd, p.out)
	if left, _ := filepath.Glob(filepath.Join(p.dir, "*")); len(left) > 0 {
		t.Error("files left behind:", left)
	}
}

// If the second process dies at any point of a handover, the first one resumes its role. A stale handover socket, a
// file or directory at its path, or a directory that can't be written, does not prevent a process from starting.
func TestReplacementThatFails(t *testing.T) {
	p, s := newReplacedAgent(t)
	c := &crowd.Crowd{Once: true} // clients of a killed process can't know which requests it had read
	c.Start(p.listen, 6, "look", "send", "order")
	first, out, door := p.cmd, p.out, p.addr
	for i := range 6 {
		p.startNext()
		if i%2 == 0 {
			p.awaitReady()
		} else {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond) // kill it at different points of its start
		}
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.addr = door
		eventually(t, "the first process is ready again", out, func() bool { return p.call("GET", "/api/ready") == 200 })
		before := c.Count().Served
		eventually(t, "service", out, func() bool { return c.Count().Served > before+10 })
	}
	// An evacuation continues in the second process until the operators send rejoin.
	if p.call("POST", "/api/evacuate") != 200 {
		t.Fatal("evacuate")
	}
	p.startNext()
	eventually(t, "taken over", p.out, func() bool { return strings.Contains(p.out.String(), "msg=started") })
	if got := p.call("GET", "/api/ready"); got != 503 {
		t.Errorf("the second process says %d in a drain; it said %s; the first %s", got, p.out, out)
	}
	if got := p.call("POST", "/api/rejoin"); got != 200 || p.call("GET", "/api/ready") != 200 {
		t.Errorf("rejoin: %d", got)
	}
	terminate(t, first, out)
	n := c.Stop()
	// Only requests pending in the killed processes are lost.
	if n.Served < 100 || len(s.Twice()) > 0 {
		t.Errorf("%+v, twice %v", n, s.Twice())
	}
	terminate(t, p.cmd, p.out)

	path := handover.Path(p.dir, p.listen)
	for name, leave := range map[string]func(){
		"a file":            func() { write(t, path, "garbage") },
		"a stale socket":    func() { makeStaleSocket(t, path) },
		"a directory there": func() { _ = os.Mkdir(path, 0o700) },
	} {
		leave()
		p.startNext()
		p.awaitReady()
		terminate(t, p.cmd, p.out)
		_ = os.RemoveAll(path)
		t.Log("started over", name)
	}
	p.startNext("TMPDIR=/nowhere/at/all")
	p.awaitReady()
	old, out := p.cmd, p.out
	p.startNext("TMPDIR=" + p.dir + "/" + strings.Repeat("x", 120)) // the path is too long for a socket: both listen with SO_REUSEPORT
	p.awaitReady()
	terminate(t, old, out)
	if p.call("GET", "/api/ready") != 200 {
		t.Error("the second process stopped with the first")
	}
	terminate(t, p.cmd, p.out)
}

// processUsage returns the resident memory of a process, in KB, and its number of file descriptors.
func processUsage(t *testing.T, pid int) (kb, descriptors int) {
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

// makeStaleSocket creates a socket file on which no process listens.
func makeStaleSocket(t *testing.T, path string) {
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
