package live

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/config"
	"molepaddle/internal/rig/lab/choose"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/scenario"
)

// agentRun is one run of an agent, as a process or in this process.
type agentRun struct {
	name   string // number of the agent and of its start
	listen string
	base   string
	client *http.Client
	since  float64 // start time, in ms of the play

	output   tail
	cmd      *exec.Cmd
	exited   chan struct{} // closed when the agent has ended
	shutdown func(planned bool)
	once     sync.Once

	mu        sync.Mutex
	killed    bool // by the timeline
	lastUsage measure.Agent
	hasUsage  bool
}

// tail keeps the end of a process's output.
type tail struct {
	mu   sync.Mutex
	text []byte
}

const tailBytes = 4096

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if over := len(t.text) - tailBytes; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(p), nil
}

// lastLine returns the last line of the output.
func (t *tail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.text)), "\n")
	return lines[len(lines)-1]
}

func newClient(s *scenario.Scenario) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Limits.Sockets / 3,
		MaxConnsPerHost: s.Limits.Sockets,
		IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
}

// wasKilled reports whether the timeline killed the agent.
func (a *agentRun) wasKilled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.killed
}

// startProcess starts the agent as a process.
func (a *agentRun) startProcess(binary, config, operator string) error {
	var args []string
	if operator != "" {
		args = []string{"--operator", operator}
	}
	a.cmd = exec.Command(binary, args...)
	a.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	a.cmd.Stderr, a.cmd.Stdout = &a.output, &a.output
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := a.cmd.Start(); err != nil {
		return err
	}
	a.exited = make(chan struct{})
	go func() { a.cmd.Wait(); close(a.exited) }()
	a.shutdown = func(planned bool) {
		a.readUsage()
		if planned {
			a.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-a.exited:
				return
			case <-time.After(5 * time.Second):
			}
		}
		a.cmd.Process.Kill()
		<-a.exited
	}
	return nil
}

// startInProcess starts an agent in this process, with the chooser of the play.
func (a *agentRun) startInProcess(w *world, index int, text []byte) error {
	conf, err := config.Parse(text)
	if err != nil {
		return err
	}
	decide := func(set settings.Settings, seed uint64) (core.Decider, error) {
		return choose.New(w.o.Chooser, set, seed, truth{w})
	}
	log := slog.New(slog.NewTextHandler(&a.output, &slog.HandlerOptions{Level: slog.LevelError}))
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := w.dial(ctx, network, addr)
		if err == nil {
			w.mu.Lock()
			w.agentByConn[c.LocalAddr().String()] = a.name
			w.mu.Unlock()
		}
		return c, err
	}
	g, err := agent.NewWith(conf, w.oper, agent.Network{Dial: dial}, decide, log)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		g.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.exited = make(chan struct{})
	go func() { defer close(a.exited); g.Serve(ctx, ln) }()
	a.shutdown = func(planned bool) {
		if planned {
			cancel()
			select {
			case <-a.exited:
				return
			case <-time.After(5 * time.Second):
			}
		}
		g.Close()
		cancel()
		ln.Close()
		<-a.exited
	}
	return nil
}

// ready waits until the agent's readiness check succeeds.
func (a *agentRun) ready(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	said := "nothing"
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, a.base+"/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := a.client.Do(req); err == nil {
			io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			said = resp.Status
		} else if !errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() == nil {
			said = err.Error()
		}
		select {
		case <-a.exited:
			return fmt.Errorf("ended before it was ready: %q", a.output.lastLine())
		case <-ctx.Done():
			return fmt.Errorf("not ready after %v, last answer %q: %w", within, said, context.Cause(ctx))
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// stop shuts the agent down gracefully, kill at once.
func (a *agentRun) stop() { a.finish(true) }
func (a *agentRun) kill() { a.finish(false) }

func (a *agentRun) finish(planned bool) {
	a.once.Do(func() {
		if a.shutdown != nil {
			a.shutdown(planned)
		}
		a.client.CloseIdleConnections()
	})
}

// readUsage records the resource usage of the process.
func (a *agentRun) readUsage() {
	if a.cmd == nil || a.cmd.Process == nil {
		return
	}
	u, ok := processUsage(a.cmd.Process.Pid)
	if !ok {
		return
	}
	a.mu.Lock()
	a.lastUsage, a.hasUsage = u, true
	a.mu.Unlock()
}

func (a *agentRun) usage() (measure.Agent, bool) {
	select {
	case <-a.exited:
	default:
		a.readUsage()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastUsage, a.hasUsage
}

// processUsage returns a process's peak memory and its mean number of busy cores since its start.
func processUsage(pid int) (u measure.Agent, ok bool) {
	status, err := os.ReadFile(fmt.Sprint("/proc/", pid, "/status"))
	if err != nil {
		return u, false
	}
	for line := range bytes.Lines(status) {
		if rest, found := bytes.CutPrefix(line, []byte("VmHWM:")); found {
			kb, _ := strconv.ParseFloat(string(bytes.Fields(rest)[0]), 64)
			u.MemoryMB = kb / 1024
		}
	}
	stat, err := os.ReadFile(fmt.Sprint("/proc/", pid, "/stat"))
	uptime, err2 := os.ReadFile("/proc/uptime")
	_, rest, found := strings.Cut(string(stat), ") ") // the process name may contain any character
	fields := strings.Fields(rest)
	if err != nil || err2 != nil || !found || len(fields) < 20 {
		return u, false
	}
	const ticks = 100 // per second, on Linux
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	began, _ := strconv.ParseFloat(fields[19], 64)
	up, _ := strconv.ParseFloat(strings.Fields(string(uptime))[0], 64)
	if age := up - began/ticks; age > 0 {
		u.CPU = (user + system) / ticks / age
	}
	return u, true
}

// cpu returns the CPU time of this process, in seconds.
func (w *world) cpu() float64 {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return float64(r.Utime.Nano()+r.Stime.Nano()) / 1e9
}
