package agent

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"molepaddle/internal/decide/hearsay"
	"molepaddle/internal/decide/lifecycle"
	"molepaddle/internal/decide/members"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/keys"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/protocol/peers"
)

// fleetView is the agent's part among peers.
type fleetView struct {
	*peers.Peers
	keys *keys.Store // nil: plain
	work *workPart   // nil: no machines are taken out
}

// Leave has another member of the council lead, where this one does, and says that the process ends.
func (f *fleetView) Leave() {
	if f.work != nil {
		f.work.stop()
	}
	f.Peers.Leave()
}

// Close ends it at once.
func (f *fleetView) Close() {
	f.Peers.Close()
	if f.work != nil {
		f.work.stop()
	}
}

// newFleet makes the agent's end of its links to peers; nil where the operator's file has none.
func newFleet(a *Agent, c *config.Config, o *operator.Settings, log *slog.Logger) (*fleetView, error) {
	p := &o.Peers
	if !p.On() {
		return nil, nil
	}
	if allowed := c.Settings.Limits.PeerMessages; allowed != nil && !*allowed {
		return nil, errors.New("operator: peers.listen: the platform's settings.limits.peerMessages forbids agents to talk to each other")
	}
	f := &fleetView{}
	role := "agent"
	if o.Gateway.On() {
		role = "gateway"
	}
	po := peers.Options{Seed: c.Seed ^ uint64(time.Now().UnixNano()), Conns: p.Connections, Queue: p.QueueKB << 10, Log: log,
		Members: members.Options{ID: members.ID{Name: p.Name, Incarnation: uint64(time.Now().UnixMicro())}, Period: time.Duration(p.Period), ForgetAfter: time.Duration(p.Forget),
			Info: members.Info{Machine: p.Machine, Zone: p.Zone, Role: role, Build: buildVersion(), Settings: digestOf(c), Process: lifecycle.Starting.String(), Address: p.Reach()}},
		Self: func() (string, float64) {
			// As powers of two, so that the fleet is not told of each request; none is none.
			load := 0.0
			if l := a.Load(); l.Taken+int64(l.Crossings) > 0 {
				load = math.Exp2(math.Floor(math.Log2(float64(l.Taken + int64(l.Crossings)))))
			}
			return a.life.State(a.Ready()).String(), load
		},
		OnCount: a.core.SetFleetSize,
	}
	if a.gate != nil {
		po.OnAvoid = a.gate.avoid
	}
	for _, s := range p.Seeds {
		po.Seeds = append(po.Seeds, peers.Seed(s))
	}
	if !p.Plain {
		var err error
		if f.keys, err = keys.Load(keys.Files(p.Keys)); err != nil {
			return nil, fmt.Errorf("operator: peers.keys: %w", err)
		}
		if f.keys.Name() != p.Name {
			return nil, fmt.Errorf("operator: peers.name: the certificate is %q's", f.keys.Name())
		}
		po.Client = f.keys.Client
		po.Server = func() *tls.Config { return f.keys.Server() }
	}
	if o.Work.On() {
		f.work = newWork(a, &o.Work, p)
		po.OnPeriod, po.OnWord = f.work.heartbeat, f.work.hear
		if a.promises != nil {
			po.OnWord = func(from members.ID, w peers.Word) {
				if !a.promises.Hear(from, w) {
					f.work.hear(from, w)
				}
			}
		}
	}
	f.Peers = peers.New(po)
	if f.work != nil {
		if err := f.work.sit(f.Peers, c.Seed, log); err != nil {
			return nil, fmt.Errorf("operator: work.folder: %w", err)
		}
		if a.promises != nil {
			a.promises.Bind(f.Peers, f.work.seat.Call, time.Duration(p.Period)/5)
			if a.gate != nil && a.gate.far != nil && o.Promises.Copies > 0 {
				a.promises.Promises(o.Gateway.Name, a.gate.far.Incarnation(), a.gate.far)
			}
		}
	}
	return f, nil
}

// digestOf tells deployments' settings apart in a view.
func digestOf(c *config.Config) string {
	h := fnv.New32a()
	_ = json.NewEncoder(h).Encode(&c.Settings) // values only
	return fmt.Sprintf("%08x", h.Sum32())
}

// ServePeers keeps the agent's view of its fleet until the process hands over, the context ends or
// the agent does. open opens the listener, and is tried until it does: a process that takes over
// waits for the first to let go of the address.
func (a *Agent) ServePeers(ctx context.Context, open func() (net.Listener, error)) {
	if a.fleet == nil {
		return
	}
	retry := time.NewTicker(50 * time.Millisecond)
	defer retry.Stop()
	ln, err := open()
	for ; err != nil; ln, err = open() {
		select {
		case <-retry.C:
		case <-ctx.Done():
			return
		}
	}
	go func() {
		for {
			changed := a.life.Changed()
			if a.life.State(true) == lifecycle.HandingOver {
				a.fleet.Leave()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	if a.fleet.work != nil {
		go a.fleet.work.run()
		defer a.fleet.work.stop()
		if a.promises != nil {
			go a.promises.Run(a.fleet.work.ctx)
		}
	}
	if err := a.fleet.Serve(ln); err != nil {
		a.log.Error("fleet: the view stands still", "err", err)
	}
}

// FleetMember is a member as 'molepaddle fleet show --json' tells it.
type FleetMember struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	Machine     string    `json:"machine"`
	Zone        string    `json:"zone"`
	Role        string    `json:"role"`
	Build       string    `json:"build"`
	Settings    string    `json:"settings"`
	Process     string    `json:"process"`
	Address     string    `json:"address"`
	Load        float64   `json:"load"`
	Silent      int       `json:"hears_nothing_of"` // servers
	State       string    `json:"state"`
	Since       time.Time `json:"since"`
	SuspectedBy []string  `json:"suspected_by"`
	Twin        bool      `json:"twin"`
	Linked      bool      `json:"linked"`
	Watched     bool      `json:"watched"`
}

// FleetView is an agent's view of its fleet.
type FleetView struct {
	Self     string        `json:"self"`
	Settled  bool          `json:"settled"`
	Why      string        `json:"why,omitempty"` // it is not
	Digest   string        `json:"digest"`
	Doubts   string        `json:"doubts_itself"` // why; empty: it does not
	Sees     int           `json:"sees"`
	Knows    int           `json:"knows"`
	Members  []FleetMember `json:"members"`
	Observed time.Time     `json:"at"`
}

// FleetView tells what the agent believes of its fleet; ok: it keeps a view.
func (a *Agent) FleetView() (f FleetView, ok bool) {
	if a.fleet == nil {
		return f, false
	}
	v, start := a.fleet.View()
	f = FleetView{Self: v.Self.Name, Settled: v.Converged, Why: v.UnconvergedReason, Digest: fmt.Sprintf("%016x", v.Digest), Doubts: v.SelfSuspicion, Sees: v.Reachable, Knows: v.Known,
		Members: []FleetMember{}, Observed: time.Now()}
	for _, m := range v.Members {
		by := m.SuspectedBy
		if by == nil {
			by = []string{}
		}
		f.Members = append(f.Members, FleetMember{Name: m.ID.Name, Incarnation: m.ID.Incarnation, Machine: m.Info.Machine, Zone: m.Info.Zone, Role: m.Info.Role,
			Build: m.Info.Build, Settings: m.Info.Settings, Process: m.Info.Process, Address: m.Info.Address, Load: m.Info.Load, Silent: hearsay.Count(m.Info.Silent), State: m.State.String(),
			Since: start.Add(m.Since), SuspectedBy: by, Twin: m.Twin, Linked: m.Linked, Watched: m.Watched})
	}
	return f, true
}

// FleetHandlers are the operators' calls about the view, by path.
func (a *Agent) FleetHandlers() map[string]http.HandlerFunc {
	if a.fleet == nil {
		return nil
	}
	answer := func(w http.ResponseWriter, x any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(x)
	}
	handlers := map[string]http.HandlerFunc{
		"GET /api/fleet":     func(w http.ResponseWriter, _ *http.Request) { f, _ := a.FleetView(); answer(w, f) },
		"GET /api/fleet/log": func(w http.ResponseWriter, _ *http.Request) { answer(w, a.fleet.Events()) },
	}
	if a.fleet.work != nil {
		handlers["POST /api/work"] = a.fleet.work.serve
	}
	if a.promises != nil {
		handlers["GET /api/promises"] = func(w http.ResponseWriter, r *http.Request) {
			if report, ok := a.promises.Report(r.Context()); ok {
				answer(w, report)
				return
			}
			http.Error(w, "the agent ends, or is too busy to tell", http.StatusServiceUnavailable)
		}
	}
	return handlers
}

// ErrOff is why there is no answer: what is asked for is off there.
var ErrOff = errors.New("the agent keeps no view of its fleet: its operator's file has no [peers]")

// ReadFleet asks the door of a running agent; path is one of FleetHandlers' that are got.
func ReadFleet(door, path string, into any) error {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + door + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return json.NewDecoder(io.LimitReader(resp.Body, 64<<20)).Decode(into)
	case http.StatusNotFound:
		return ErrOff
	}
	return fmt.Errorf("the door answers %s", resp.Status)
}

// Print words the view for a person, by zone and machine.
func (f *FleetView) Print(out io.Writer) {
	settled := "settled"
	if !f.Settled {
		settled = "NOT settled: " + f.Why
	}
	fmt.Fprintf(out, "%s sees %d of %d, %s (view %s)\n", f.Self, f.Sees, f.Knows, settled, f.Digest)
	if f.Doubts != "" {
		fmt.Fprintln(out, "it doubts itself:", f.Doubts)
	}
	list := slices.Clone(f.Members)
	slices.SortFunc(list, func(a, b FleetMember) int {
		return strings.Compare(a.Zone+"\x00"+a.Machine+"\x00"+a.Name, b.Zone+"\x00"+b.Machine+"\x00"+b.Name)
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tMACHINE\tNAME\tROLE\tSTATE\tFOR\tPROCESS\tLOAD\tNOTE")
	for _, m := range list {
		var notes []string
		if len(m.SuspectedBy) > 0 {
			notes = append(notes, "not heard by "+strings.Join(m.SuspectedBy, ", "))
		}
		if m.Silent > 0 {
			notes = append(notes, fmt.Sprintf("hears nothing of %d servers", m.Silent))
		}
		if m.Twin {
			notes = append(notes, "TWO PROCESSES under this name")
		}
		if m.Name == f.Self {
			notes = append(notes, "this agent")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%g\t%s\n", m.Zone, m.Machine, m.Name, m.Role, m.State,
			f.Observed.Sub(m.Since).Round(time.Second), m.Process, m.Load, strings.Join(notes, "; "))
	}
	_ = table.Flush() // out is a terminal or a buffer
}

// buildVersion is the build as a view shows it.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), 12)]
		}
	}
	return info.Main.Version
}

// AvoidGateways takes the names of far gateways that nothing new goes to where there is another, as the
// view of the fleet does; tests and operators' tools say it themselves.
func (a *Agent) AvoidGateways(names ...string) {
	if a.gate != nil {
		a.gate.avoid(names)
	}
}
