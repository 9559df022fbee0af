package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/distribution"
)

// choosePorts finds a range that is free on all addresses, below those that Linux gives to outgoing connections.
func choosePorts(n int, ips ...string) (int, error) {
	for range 200 {
		from := 12_000 + rand.IntN(20_000-n)
		if !slices.ContainsFunc(ips, func(ip string) bool {
			for port := from; port < from+n; port++ {
				ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
				if err != nil {
					return true
				}
				ln.Close()
			}
			return false
		}) {
			return from, nil
		}
	}
	return 0, errors.Errorf("no %d free ports in a row", n)
}

// portsEach is how many ports in a row a run takes on each of its addresses.
const portsEach = 8

// Where in a run's range the ports stand that settings name by themselves.
const (
	controlPort = 4
	edgePort    = 5
	readyPort   = 6
)

// layout is where the programs of one run are.
type layout struct {
	dir      string // of settings files and disks
	first    int    // port
	base     machine
	pulls    []string // where control servers answer pulls
	controls []string // where they take the operator's calls
}

// at is an address of the run.
func (l *layout) at(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(l.first+offset))
}

// setUp starts all programs and waits until every agent has the first configuration.
func (t *Trial) setUp(ctx context.Context, dir string) error {
	var err error
	if t.platform, err = ServePlatform(Backends(t.Backends), t.Page); err != nil {
		return err
	}
	l, err := t.layOut(dir)
	if err != nil {
		return err
	}
	if err := t.startControl(dir); err != nil {
		return err
	}
	if err := t.firstConfiguration(ctx, l); err != nil {
		return err
	}
	began := time.Now()
	if err := t.startProbes(l); err != nil {
		return err
	}
	if err := t.startAgents(l); err != nil {
		return err
	}
	config, err := t.await(ctx, func(e *Event) bool {
		return e.What == distribution.ConfigType && e.Count >= t.op.changes
	})
	if err != nil {
		return errors.Wrap(err, "configuration to all")
	}
	t.spread("start: configuration at all agents, from the start of the agents", began, config)
	return nil
}

// layOut chooses ports and names the control servers.
func (t *Trial) layOut(dir string) (*layout, error) {
	ips := []string{"127.0.0.1"}
	for i := range cores {
		ips = append(ips, fmt.Sprintf("127.77.0.%d", i+1))
	}
	first, err := choosePorts(portsEach, ips...)
	if err != nil {
		return nil, err
	}
	l := &layout{dir: dir, first: first}
	l.base = machine{
		ports:     [2]int{first, first + 3},
		provider:  t.platform.Address(),
		rate:      t.Rate,
		heartbeat: t.Heartbeat,
		apply:     t.Apply,
	}
	for _, ip := range ips[1:] {
		l.controls = append(l.controls, l.at(ip, controlPort))
		l.pulls = append(l.pulls, distribution.PullAddr(ip, l.base.ports))
	}
	l.base.seeds = l.controls
	for i, ip := range ips[1:] {
		name := fmt.Sprint("core-", i)
		m := l.base
		m.name, m.zone, m.ip, m.control = name, Zone(i), ip, l.at(ip, controlPort)
		m.bootstrap, m.dataDir = true, filepath.Join(dir, name)
		if err := os.Mkdir(m.dataDir, 0o700); err != nil {
			return nil, err
		}
		t.machines = append(t.machines, m)
	}
	return l, nil
}

// startControl starts the control servers; only this start is a first one.
func (t *Trial) startControl(dir string) error {
	for i := range t.machines {
		path, err := t.machines[i].write(dir)
		if err != nil {
			return err
		}
		t.settings = append(t.settings, path)
		t.observers = append(t.observers, nil)
		if err := t.observe(i); err != nil {
			return err
		}
		t.machines[i].bootstrap = false
	}
	return nil
}

// firstConfiguration has the control servers take the first configuration.
func (t *Trial) firstConfiguration(ctx context.Context, l *layout) error {
	t.op = newOperator(l.controls)
	bound, cancel := context.WithTimeout(ctx, t.Within)
	defer cancel()
	began := time.Now()
	if err := t.op.replace(bound, t.Routes); err != nil {
		return err
	}
	t.say("start: first configuration acknowledged after %v", since(began))
	for i := range t.machines {
		if _, err := t.machines[i].write(l.dir); err != nil {
			return err
		}
	}
	return nil
}

// startProbes starts a real node agent and a real proxy.
func (t *Trial) startProbes(l *layout) error {
	for _, role := range []string{"node-agent", "proxy"} {
		m := l.base
		m.name, m.zone, m.ip = "edge-real-"+role, Zone(0), "127.0.0.1"
		m.edge, m.ready = l.at("127.0.0.1", edgePort), l.at("127.0.0.1", readyPort)
		path, err := m.write(l.dir)
		if err != nil {
			return err
		}
		p, _, err := start(role, t.Program, []string{role}, t.env(path), func(*process, []byte) {})
		if err != nil {
			return err
		}
		t.probes = append(t.probes, p)
	}
	return nil
}

// startAgents starts the processes that the hollow agents share.
func (t *Trial) startAgents(l *layout) error {
	for i := range t.Crews {
		from, to := i*t.Agents/t.Crews, (i+1)*t.Agents/t.Crews
		args := t.CrewArgs(from, to-from, l.pulls)
		note := func(_ *process, line []byte) { t.note(i, line) }
		p, in, err := start(fmt.Sprint("agents-", i), t.Self, args, nil, note)
		if err != nil {
			return err
		}
		t.crews, t.commands = append(t.crews, p), append(t.commands, in)
	}
	return nil
}

// note takes a line that a process of agents wrote.
func (t *Trial) note(crew int, line []byte) {
	var e Event
	if json.Unmarshal(line, &e) != nil || e.What == "" {
		return
	}
	select {
	case t.events <- tagged{crew, e}:
	default:
	}
}

// env is what the fleet's programs are started with: one core each, as DEPLOY says of the machines.
func (t *Trial) env(settings string) []string {
	return []string{"MOLEPADDLE_CONFIG=" + settings, "GOMAXPROCS=1"}
}

func (t *Trial) observe(i int) error {
	p, _, err := start(t.machines[i].name, t.Program, []string{"control-plane"}, t.env(t.settings[i]), watchRole)
	t.observers[i] = p
	return err
}

func (t *Trial) end() {
	for _, p := range slices.Concat(t.crews, t.probes, t.observers) {
		if p != nil {
			p.kill()
		}
	}
	if t.platform != nil {
		t.platform.Close()
	}
}
