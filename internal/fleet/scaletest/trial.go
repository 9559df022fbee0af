package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// Trial is one run at one size.
type Trial struct {
	Agents    int           // hollow ones; a real node agent and proxy come besides
	Crews     int           // processes that the hollow agents share
	Backends  int           // on the platform's list
	Routes    int           // in the configuration
	Page      int           // entries on one page of the platform's list
	Rate      float64       // calls a second that the platform is said to take
	Beat      time.Duration // heartbeat_ms of the settings
	Apply     time.Duration // apply_ms of the settings
	Rest      time.Duration // how long use at rest is measured
	Changes   int           // of the configuration, one a Gap
	Gap       time.Duration
	Lists     int           // changes of the list
	Losses    bool          // the primary is killed, then the whole core
	Within    time.Duration // bound of each wait
	Program   string        // binary of the fleet's programs
	Self      string        // binary that runs Crew.Run when told "agents"
	CrewArgs  func(first, count int, addresses []string) []string
	Out       io.Writer
	observers []*process
	machines  []machine
	settings  []string
	crews     []*process
	commands  []io.WriteCloser
	probes    []*process // the real node agent and proxy
	events    chan tagged
	platform  *Platform
	op        *operator
	stall     *atomic.Int64 // ns that this process stood still at the most, since it was last asked
}

type tagged struct {
	crew int
	Event
}

// cores is how many control servers a run has.
const cores = 3

func (t *Trial) check() error {
	switch {
	case t.Agents < 1 || t.Agents > MaxAgents:
		return errors.Errorf("agents: 1 to %d", MaxAgents)
	case t.Crews < 1 || t.Crews > 32 || t.Crews > t.Agents:
		return errors.New("crews: 1 to 32, and no more than agents")
	case t.Backends < 1 || t.Backends > MaxBackends:
		return errors.Errorf("backends: 1 to %d", MaxBackends)
	case t.Routes < 1 || t.Routes > MaxRoutes:
		return errors.Errorf("routes: 1 to %d", MaxRoutes)
	case t.Page < 1 || t.Rate <= 0 || t.Beat <= 0 || t.Apply <= 0 || t.Rest <= 0 || t.Within <= 0:
		return errors.New("page, rate, beat, apply, rest, within: above 0")
	}
	return nil
}

// Run plays the trial and writes what it finds. All that it starts has ended when it returns.
func (t *Trial) Run(ctx context.Context) error {
	if err := t.check(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "molepaddle-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer t.end()
	t.events, t.stall = make(chan tagged, 4096), new(atomic.Int64)
	watched, stop := context.WithCancel(ctx)
	defer stop()
	go t.watch(watched)
	t.say("agents %d, backends %d, routes %d, page %d, rate %g/s, beat %v, apply %v, control servers %d, agents' processes %d", t.Agents, t.Backends, t.Routes, t.Page, t.Rate, t.Beat, t.Apply,
		cores, t.Crews)
	if err := t.setUp(ctx, dir); err != nil {
		return errors.Wrap(err, "set up")
	}
	for _, part := range []struct {
		name string
		run  func(context.Context) error
		on   bool
	}{{"rest", t.rest, true}, {"changes", t.changes, t.Changes > 0}, {"lists", t.lists, t.Lists > 0},
		{"memory", func(context.Context) error { t.memory("before losses"); return nil }, t.Losses}, {"primary killed", t.losePrimary, t.Losses}, {"core killed", t.loseCore, t.Losses}} {
		if !part.on {
			continue
		}
		t.stall.Store(0)
		if err := part.run(ctx); err != nil {
			return errors.Wrap(err, part.name)
		}
		t.say("%s: this machine's other work held the run up for %.0f ms at the most", part.name, ms(time.Duration(t.stall.Load())))
	}
	t.memory("at the end")
	return nil
}

// watch notes how much later than due a timer of this process fires: figures of a run that was held up for long are no good.
func (t *Trial) watch(ctx context.Context) {
	const every = 10 * time.Millisecond
	for {
		due := time.Now().Add(every)
		if !pause(ctx, every) {
			return
		}
		if late := int64(time.Since(due)); late > t.stall.Load() {
			t.stall.Store(late)
		}
	}
}

func (t *Trial) say(format string, args ...any) { fmt.Fprintf(t.Out, format+"\n", args...) }

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

func (t *Trial) setUp(ctx context.Context, dir string) error {
	var err error
	if t.platform, err = ServePlatform(Backends(t.Backends), t.Page); err != nil {
		return err
	}
	ips := []string{"127.0.0.1"}
	for i := range cores {
		ips = append(ips, fmt.Sprintf("127.77.0.%d", i+1))
	}
	const ports = 8
	first, err := choosePorts(ports, ips...)
	if err != nil {
		return err
	}
	at := func(ip string, offset int) string { return net.JoinHostPort(ip, strconv.Itoa(first+offset)) }
	base := machine{ports: [2]int{first, first + 3}, provider: t.platform.Address(), rate: t.Rate, beat: t.Beat, apply: t.Apply}
	var pulls, controls []string
	for i, ip := range ips[1:] {
		base.seeds = append(base.seeds, at(ip, 4))
		controls = append(controls, at(ip, 4))
		pulls = append(pulls, distribution.PullAddr(ip, base.ports))
		m := base
		m.name, m.zone, m.ip, m.control, m.bootstrap, m.dataDir = fmt.Sprint("core-", i), Zone(i), ip, at(ip, 4), true, filepath.Join(dir, fmt.Sprint("core-", i))
		if err := os.Mkdir(m.dataDir, 0o700); err != nil {
			return err
		}
		t.machines = append(t.machines, m)
	}
	for i := range t.machines {
		t.machines[i].seeds = base.seeds
		path, err := t.machines[i].write(dir)
		if err != nil {
			return err
		}
		t.settings = append(t.settings, path)
		t.observers = append(t.observers, nil)
		if err := t.observe(i); err != nil {
			return err
		}
		// Only the first start is a first one.
		t.machines[i].bootstrap = false
	}
	t.op = newOperator(controls)
	bound, cancel := context.WithTimeout(ctx, t.Within)
	defer cancel()
	began := time.Now()
	if err := t.op.replace(bound, t.Routes); err != nil {
		return err
	}
	t.say("start: first configuration acknowledged after %v", since(began))
	for i := range t.machines {
		if _, err := t.machines[i].write(dir); err != nil {
			return err
		}
	}
	began = time.Now()
	for _, role := range []string{"node-agent", "proxy"} {
		m := base
		m.name, m.zone, m.ip, m.edge, m.ready = "edge-real-"+role, Zone(0), "127.0.0.1", at("127.0.0.1", 5), at("127.0.0.1", 6)
		path, err := m.write(dir)
		if err != nil {
			return err
		}
		p, _, err := start(role, t.Program, []string{role}, t.env(path), func(*process, []byte) {})
		if err != nil {
			return err
		}
		t.probes = append(t.probes, p)
	}
	for i := range t.Crews {
		from, to := i*t.Agents/t.Crews, (i+1)*t.Agents/t.Crews
		p, in, err := start(fmt.Sprint("agents-", i), t.Self, t.CrewArgs(from, to-from, pulls), nil, func(_ *process, line []byte) {
			var e Event
			if json.Unmarshal(line, &e) == nil && e.What != "" {
				select {
				case t.events <- tagged{i, e}:
				default:
				}
			}
		})
		if err != nil {
			return err
		}
		t.crews, t.commands = append(t.crews, p), append(t.commands, in)
	}
	config, err := t.await(ctx, func(e *Event) bool { return e.What == distribution.SourceConfig && e.Count >= t.op.changes })
	if err != nil {
		return errors.Wrap(err, "configuration to all")
	}
	t.spread("start: configuration at all agents, from the start of the agents", began, config)
	return nil
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

// await collects one event that suits from each crew: the times of all agents.
func (t *Trial) await(ctx context.Context, suits func(e *Event) bool) (at []int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, t.Within)
	defer cancel()
	got := map[int]bool{}
	for len(got) < t.Crews {
		select {
		case e := <-t.events:
			if !got[e.crew] && suits(&e.Event) {
				got[e.crew] = true
				at = append(at, e.At...)
			}
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "%d of %d processes", len(got), t.Crews)
		}
	}
	return at, nil
}

func since(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }

// spread writes how long after a moment the agents came to something.
func (t *Trial) spread(what string, from time.Time, at []int64) {
	t.quantiles(what, lags(from, at))
}

func lags(from time.Time, at []int64) []time.Duration {
	all := make([]time.Duration, len(at))
	for i, ns := range at {
		all[i] = time.Duration(ns - from.UnixNano())
	}
	return all
}

func (t *Trial) quantiles(what string, all []time.Duration) {
	slices.Sort(all)
	n := len(all)
	t.say("%s: median %.1f ms, p99 %.1f ms, last %.1f ms (%d times)", what, ms(all[n/2]), ms(all[min(n*99/100, n-1)]), ms(all[n-1]), n)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// row is one process, or the agents' processes taken together, in a table of use.
type row struct {
	name    string
	members []*process
	share   float64 // what the figures are divided by
}

func (t *Trial) rows() []row {
	var all []row
	for _, p := range t.observers {
		if p == nil {
			continue
		}
		p.mu.Lock()
		role := p.role
		p.mu.Unlock()
		all = append(all, row{p.name + " " + role, []*process{p}, 1})
	}
	for _, p := range t.probes {
		all = append(all, row{p.name, []*process{p}, 1})
	}
	return append(all, row{"hollow agent, mean", t.crews, float64(t.Agents)})
}

func (r *row) usage() (sum Usage, err error) {
	for _, p := range r.members {
		u, err := ReadUsage(p.pid())
		if err != nil {
			return sum, err
		}
		sum.At = u.At
		sum.CPU, sum.Read, sum.Written, sum.Resident, sum.Peak = sum.CPU+u.CPU, sum.Read+u.Read, sum.Written+u.Written, sum.Resident+u.Resident, sum.Peak+u.Peak
	}
	return sum, nil
}

// during writes what each process uses while f runs, for each of n; n 0: for each second.
func (t *Trial) during(what, unit string, n int, f func() error) error {
	rows := t.rows()
	before := make([]Usage, len(rows))
	for i := range rows {
		var err error
		if before[i], err = rows[i].usage(); err != nil {
			return err
		}
	}
	if err := f(); err != nil {
		return err
	}
	for i := range rows {
		after, err := rows[i].usage()
		if err != nil {
			return err
		}
		seconds := after.At.Sub(before[i].At).Seconds()
		per := rows[i].share
		if n > 0 {
			per *= float64(n)
		} else {
			per *= seconds
		}
		cpu := after.CPU - before[i].CPU
		t.say("%s: %-22s cpu %10.4f ms, in %12.1f B, out %12.1f B a %s; %.3f %% of a core in %.1f s", what, rows[i].name, ms(cpu)/per,
			float64(after.Read-before[i].Read)/per, float64(after.Written-before[i].Written)/per, unit, 100*cpu.Seconds()/seconds/rows[i].share, seconds)
	}
	return nil
}

// settleFor is how long the agents' leases and the number of agents take to stand still: some beats.
func (t *Trial) settleFor() time.Duration { return 4 * t.Beat }

func (t *Trial) rest(ctx context.Context) error {
	if !pause(ctx, t.settleFor()) {
		return ctx.Err()
	}
	calls := t.platform.Calls()
	err := t.during("rest", "second", 0, func() error {
		if !pause(ctx, t.Rest) {
			return ctx.Err()
		}
		return nil
	})
	t.say("rest: %.2f calls a second to the platform", float64(t.platform.Calls()-calls)/t.Rest.Seconds())
	return err
}

func (t *Trial) changes(ctx context.Context) error {
	var acks, sent, acked []time.Duration
	return t.during("change", "change", t.Changes, func() error {
		for range t.Changes {
			tick := time.NewTimer(t.Gap)
			bound, cancel := context.WithTimeout(ctx, t.Within)
			began := time.Now()
			err := t.op.update(bound)
			cancel()
			if err != nil {
				return err
			}
			ack := time.Now()
			acks = append(acks, ack.Sub(began))
			at, err := t.await(ctx, func(e *Event) bool { return e.What == distribution.SourceConfig && e.Count >= t.op.changes })
			if err != nil {
				return err
			}
			sent, acked = append(sent, lags(began, at)...), append(acked, lags(ack, at)...)
			select {
			case <-tick.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		t.quantiles("change: acknowledged after it was sent", acks)
		t.quantiles("change: at an agent after it was sent", sent)
		t.quantiles("change: at an agent after its acknowledgement", acked)
		return nil
	})
}

func (t *Trial) lists(ctx context.Context) error {
	var all, apart []time.Duration
	return t.during("list", "change", t.Lists, func() error {
		for i := range t.Lists {
			for len(t.events) > 0 { // of earlier changes
				<-t.events
			}
			began := time.Now()
			t.platform.Toggle(i)
			at, err := t.await(ctx, func(e *Event) bool { return e.What == distribution.SourceList && e.At[0] > began.UnixNano() })
			if err != nil {
				return err
			}
			first := slices.Min(at)
			all = append(all, lags(began, at)...)
			apart = append(apart, lags(time.Unix(0, first), at)...)
			if !pause(ctx, t.Gap) {
				return ctx.Err()
			}
		}
		t.quantiles("list: at an agent after the platform changed it", all)
		t.quantiles("list: at an agent after the first agent had it", apart)
		return nil
	})
}

// mark has the crews tell when their agents are back from now on.
func (t *Trial) mark() error {
	for _, in := range t.commands {
		if _, err := io.WriteString(in, "mark\n"); err != nil {
			return err
		}
	}
	return nil
}

// after waits for the control plane to be back, and writes how long that took since began.
func (t *Trial) after(ctx context.Context, what string, began time.Time) error {
	bound, cancel := context.WithTimeout(ctx, t.Within)
	defer cancel()
	if err := t.op.show(bound); err != nil {
		return err
	}
	t.say("%s: configuration shown again after %v", what, since(began))
	if err := t.op.update(bound); err != nil {
		return err
	}
	t.say("%s: next change acknowledged after %v", what, since(began))
	var back, config []int64
	backs, configs := map[int]bool{}, map[int]bool{}
	for len(backs) < t.Crews || len(configs) < t.Crews {
		select {
		case e := <-t.events:
			switch {
			case e.What == eventBack && !backs[e.crew]:
				backs[e.crew], back = true, append(back, e.At...)
			case e.What == distribution.SourceConfig && e.Count >= t.op.changes && !configs[e.crew]:
				configs[e.crew], config = true, append(config, e.At...)
			}
		case <-bound.Done():
			return errors.Wrapf(bound.Err(), "%d and %d of %d processes", len(backs), len(configs), t.Crews)
		}
	}
	t.spread(what+": agents back", began, back)
	t.spread(what+": that change at the agents", began, config)
	return nil
}

func (t *Trial) losePrimary(ctx context.Context) error {
	i := slices.IndexFunc(t.observers, func(p *process) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.role == replication.Primary.String()
	})
	if i < 0 {
		return errors.New("no control server says that it is the primary")
	}
	began := time.Now()
	t.observers[i].kill()
	if err := t.mark(); err != nil {
		return err
	}
	if err := t.after(ctx, "primary killed", began); err != nil {
		return err
	}
	if err := t.observe(i); err != nil {
		return err
	}
	if !pause(ctx, t.settleFor()) {
		return ctx.Err()
	}
	return nil
}

func (t *Trial) loseCore(ctx context.Context) error {
	began := time.Now()
	for _, p := range t.observers {
		p.kill()
	}
	if err := t.mark(); err != nil {
		return err
	}
	for i := range t.observers {
		if err := t.observe(i); err != nil {
			return err
		}
	}
	return t.after(ctx, "core killed", began)
}

// memory writes what each process holds, 10^6 bytes.
func (t *Trial) memory(when string) {
	for _, r := range t.rows() {
		if u, err := r.usage(); err == nil {
			t.say("memory %s: %-22s resident %8.2f MB, peak %8.2f MB", when, r.name, float64(u.Resident)/1e6/r.share, float64(u.Peak)/1e6/r.share)
		}
	}
}
