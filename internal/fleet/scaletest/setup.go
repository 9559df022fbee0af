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

// choosePorts returns the first of n consecutive ports that are free on all addresses. They are below the ports that
// Linux assigns to outgoing connections.
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

// portsPerAddress is the number of consecutive ports that a trial uses on each of its addresses.
const portsPerAddress = 8

// Offsets in a trial's port range of the ports that the settings name individually; the first four are port_range.
const (
	controlPort = 4
	edgePort    = 5
	readyPort   = 6
)

// layout holds the addresses and folders of the programs of one trial.
type layout struct {
	dir      string // folder of settings files and data folders
	first    int    // first port of the range
	base     machine
	pulls    []string // addresses at which control servers answer pulls
	controls []string // addresses at which control servers answer the operator
}

// at returns the address of a port, given by its offset in the trial's port range.
func (l *layout) at(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(l.first+offset))
}

// setUp starts all programs and waits until every agent has the first configuration.
func (t *Trial) setUp(ctx context.Context, dir string) error {
	var err error
	if t.platform, err = StartPlatform(Backends(t.Backends), t.Page); err != nil {
		return err
	}
	l, err := t.chooseLayout(dir)
	if err != nil {
		return err
	}
	if err := t.startControlServers(dir); err != nil {
		return err
	}
	if err := t.submitFirstConfig(ctx, l); err != nil {
		return err
	}
	began := time.Now()
	if err := t.startEdgePrograms(l); err != nil {
		return err
	}
	if err := t.startAgents(l); err != nil {
		return err
	}
	config, err := t.awaitEvents(ctx, func(e *Event) bool {
		return e.Type == distribution.ConfigType && e.Count >= t.operator.changes
	})
	if err != nil {
		return errors.Wrap(err, "first configuration at all agents")
	}
	t.reportDelays("start: configuration at all agents, from the start of the agents", began, config)
	return nil
}

// chooseLayout chooses ports and prepares the settings and data folders of the control servers.
func (t *Trial) chooseLayout(dir string) (*layout, error) {
	ips := []string{"127.0.0.1"}
	for i := range numControlServers {
		ips = append(ips, fmt.Sprintf("127.77.0.%d", i+1))
	}
	first, err := choosePorts(portsPerAddress, ips...)
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

// startControlServers starts all control servers for the first time; only this start has bootstrap set.
func (t *Trial) startControlServers(dir string) error {
	for i := range t.machines {
		path, err := t.machines[i].write(dir)
		if err != nil {
			return err
		}
		t.settings = append(t.settings, path)
		t.controlServers = append(t.controlServers, nil)
		if err := t.startControlServer(i); err != nil {
			return err
		}
		t.machines[i].bootstrap = false
	}
	return nil
}

// submitFirstConfig submits the first configuration and rewrites the settings files without bootstrap.
func (t *Trial) submitFirstConfig(ctx context.Context, l *layout) error {
	t.operator = newOperator(l.controls)
	bound, cancel := context.WithTimeout(ctx, t.WaitTimeout)
	defer cancel()
	began := time.Now()
	if err := t.operator.replace(bound, t.Routes); err != nil {
		return err
	}
	t.printf("start: first configuration acknowledged after %v", elapsedSince(began))
	for i := range t.machines {
		if _, err := t.machines[i].write(l.dir); err != nil {
			return err
		}
	}
	return nil
}

// startEdgePrograms starts a real node agent and a real proxy.
func (t *Trial) startEdgePrograms(l *layout) error {
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
		t.edgePrograms = append(t.edgePrograms, p)
	}
	return nil
}

// startAgents starts the processes of simulated agents.
func (t *Trial) startAgents(l *layout) error {
	for i := range t.AgentProcesses {
		from, to := i*t.Agents/t.AgentProcesses, (i+1)*t.Agents/t.AgentProcesses
		args := t.AgentArgs(from, to-from, l.pulls)
		note := func(_ *process, line []byte) { t.recordEvent(i, line) }
		p, in, err := start(fmt.Sprint("agents-", i), t.AgentBinary, args, nil, note)
		if err != nil {
			return err
		}
		t.agentGroups, t.commands = append(t.agentGroups, p), append(t.commands, in)
	}
	return nil
}

// recordEvent queues the event in a line that a process of simulated agents wrote. It drops the event when the queue is
// full.
func (t *Trial) recordEvent(group int, line []byte) {
	var e Event
	if json.Unmarshal(line, &e) != nil || e.Type == "" {
		return
	}
	select {
	case t.events <- groupEvent{group, e}:
	default:
	}
}

// env returns the environment of the fleet's programs: one core each, as DEPLOY specifies for the machines.
func (t *Trial) env(settings string) []string {
	return []string{"MOLEPADDLE_CONFIG=" + settings, "GOMAXPROCS=1"}
}

func (t *Trial) startControlServer(i int) error {
	p, _, err := start(t.machines[i].name, t.Program, []string{"control-plane"}, t.env(t.settings[i]), watchRole)
	t.controlServers[i] = p
	return err
}

func (t *Trial) stopAll() {
	for _, p := range slices.Concat(t.agentGroups, t.edgePrograms, t.controlServers) {
		if p != nil {
			p.kill()
		}
	}
	if t.platform != nil {
		t.platform.Close()
	}
}
