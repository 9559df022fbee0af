package main

import (
	"bufio"
	"context"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/simulation"
)

// TestMemoryLimit: the soft limit of the garbage collector is a fraction of the process's memory limit, and is not set
// if that is unknown.
func TestMemoryLimit(t *testing.T) {
	c := qt.New(t)
	before := debug.SetMemoryLimit(-1)
	c.Cleanup(func() { debug.SetMemoryLimit(before) })
	debug.SetMemoryLimit(math.MaxInt64)
	configureRuntime(settings.Limits{})
	c.Assert(debug.SetMemoryLimit(-1), qt.Equals, int64(math.MaxInt64))
	const memoryMB = 72
	configureRuntime(settings.Limits{MemoryMB: memoryMB})
	limit := debug.SetMemoryLimit(-1)
	c.Assert(limit > memoryMB<<19 && limit < memoryMB<<20, qt.IsTrue, qt.Commentf("%d bytes of %d MB", limit, memoryMB))
}

// TestRetry: transient errors are retried with a backoff that grows to its maximum.
func TestRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		passing, lasting := errors.New("the disk is full"), errors.New("the schema is newer")
		passes := func(err error) bool { return errors.Is(err, passing) }
		ignore := func(error) {}
		tries, began := 0, time.Now()
		err := retryTransient(t.Context(), passes, ignore, func() error {
			if tries++; tries <= 8 {
				return passing
			}
			return nil
		})
		c.Assert(err, qt.IsNil)
		c.Assert(tries, qt.Equals, 9)
		c.Assert(time.Since(began), qt.Equals, (50+100+200+400+800+1000+1000+1000)*time.Millisecond)
		tries = 0
		err = retryTransient(t.Context(), passes, ignore, func() error { tries++; return lasting })
		c.Assert(err, qt.ErrorIs, lasting)
		c.Assert(tries, qt.Equals, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began = time.Now()
		err = retryTransient(ctx, passes, ignore, func() error { return passing })
		c.Assert(err, qt.ErrorIs, passing)
		c.Assert(time.Since(began), qt.Equals, 300*time.Millisecond)
	})
}

// loggedProgram is a process of the fleet whose log the test reads.
type loggedProgram struct {
	*qt.C
	cmd    *exec.Cmd
	reader *os.File
	lines  *bufio.Reader
}

// startLogged starts a program. It is killed after a time limit, so that no read of its log blocks forever.
func startLogged(c *qt.C, boot simulation.BootFile, args ...string) *loggedProgram {
	self, err := os.Executable()
	c.Assert(err, qt.IsNil)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	cmd := exec.CommandContext(ctx, self, args...)
	cmd.Env = []string{settings.EnvFile + "=" + boot.Path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = writer, writer
	c.Assert(cmd.Start(), qt.IsNil)
	writer.Close()
	c.Cleanup(func() {
		cancel()
		_ = cmd.Wait()
		reader.Close()
	})
	return &loggedProgram{C: c, cmd: cmd, reader: reader, lines: bufio.NewReader(reader)}
}

// awaitLine reads the log up to a line that contains text.
func (p *loggedProgram) awaitLine(text string) {
	p.Helper()
	var log strings.Builder
	for {
		line, err := p.lines.ReadString('\n')
		log.WriteString(line)
		p.Assert(err, qt.IsNil, qt.Commentf("no line with %q; the log: %s", text, &log))
		if strings.Contains(line, text) {
			return
		}
	}
}

// awaitCleanExit sends SIGTERM and asserts that the program exits without an error.
func (p *loggedProgram) awaitCleanExit() {
	p.Helper()
	p.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	p.Assert(p.cmd.Wait(), qt.IsNil)
}

// TestLogReaderClosesPipe closes the pipe to which a program logs: the program continues to work, and ends only on a
// signal.
func TestLogReaderClosesPipe(t *testing.T) {
	c := qt.New(t)
	const coreIP = "127.0.1.61"
	ports := simulation.ChoosePorts(c, 4, "127.0.0.1", coreIP)
	// The agent's peer closes each connection: the agent logs that and connects again.
	peer, err := net.Listen("tcp", net.JoinHostPort(coreIP, strconv.Itoa(ports.First+1)))
	c.Assert(err, qt.IsNil)
	defer peer.Close()
	boot := simulation.Boot(c, simulation.BootSettings{Role: "node-agent", Roles: []string{}, Ports: ports,
		Peers: []string{net.JoinHostPort(coreIP, strconv.Itoa(ports.Ctl))}})
	p := startLogged(c, boot, "--log-level=debug", "node-agent")
	p.awaitLine("started")
	c.Assert(p.reader.Close(), qt.IsNil)
	const calls = 5 // each but the last was followed by a write to the log
	for i := range calls {
		c.Assert(peer.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
		conn, err := peer.Accept()
		c.Assert(err, qt.IsNil, qt.Commentf("call %d", i))
		conn.Close()
	}
	p.awaitCleanExit()
}

// TestControlPlaneRetriesStateStore starts a control server on a disk on which files can't be created. It keeps
// running, and serves once the disk works.
func TestControlPlaneRetriesStateStore(t *testing.T) {
	c := qt.New(t)
	const ip = "127.0.1.62"
	dir := t.TempDir()
	inTheWay := filepath.Join(dir, "control.db")
	c.Assert(os.Mkdir(inTheWay, 0o700), qt.IsNil)
	ports := simulation.ChoosePorts(c, 4, ip)
	boot := simulation.Boot(c, simulation.BootSettings{
		Tier:      "core",
		Role:      "control-plane",
		IP:        ip,
		Ports:     ports,
		DataDir:   dir,
		Voting:    true,
		Bootstrap: true,
		Peers:     []string{net.JoinHostPort(ip, strconv.Itoa(ports.Ctl))},
	})
	p := startLogged(c, boot, "control-plane")
	p.awaitLine("can't be opened, retrying")
	p.awaitLine("can't be opened, retrying")
	c.Assert(os.Remove(inTheWay), qt.IsNil)
	p.awaitLine("started")
	p.awaitCleanExit()
}

// TestControlPlaneShutdownDuringStateStoreRetry shuts down a control server while no file can be created on its disk.
func TestControlPlaneShutdownDuringStateStoreRetry(t *testing.T) {
	c := qt.New(t)
	const ip = "127.0.1.63"
	dir := t.TempDir()
	c.Assert(os.Mkdir(filepath.Join(dir, "control.db"), 0o700), qt.IsNil)
	boot := simulation.Boot(c, simulation.BootSettings{
		Tier:      "core",
		Role:      "control-plane",
		IP:        ip,
		Ports:     simulation.ChoosePorts(c, 4, ip),
		DataDir:   dir,
		Voting:    true,
		Bootstrap: true,
		Peers:     []string{net.JoinHostPort(ip, "9")},
	})
	p := startLogged(c, boot, "control-plane")
	p.awaitLine("can't be opened, retrying")
	p.awaitCleanExit()
}

// TestHangUpIsIgnored sends SIGHUP to every program of a fleet while requests are in flight: all requests are served,
// and the programs keep running.
func TestHangUpIsIgnored(t *testing.T) {
	f := newFleet(t, fleetOptions{})
	var releases []func()
	for _, e := range slices.Concat(f.decode, f.plain) {
		releases = append(releases, e.Hold())
	}
	was := startedRuns(f.engines())
	var open []<-chan simulation.Result
	for i := range f.edge {
		for _, r := range []simulation.Request{hazard(), report(), bulletin(1000, 3), lookup()} {
			open = append(open, f.doAsync(i, r))
		}
	}
	f.eventually(testTimeout, "all have begun", func() bool { return startedRuns(f.engines()) >= was+len(open) })
	for _, m := range append(slices.Clone(f.core), f.edge...) {
		for _, p := range m.programs {
			p.Signal(syscall.SIGHUP)
		}
	}
	for _, release := range releases {
		release()
	}
	for _, ch := range open {
		f.checkServed(<-ch, "under way at SIGHUP")
	}
	f.applyAddRoute(2)
	for i := range f.edge {
		f.awaitInForce(i, 2, time.Now().Add(testTimeout))
		f.checkServed(f.clients[i].Do(f.ctx, lookup()), "after SIGHUP")
	}
	f.checkRules()
}
