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

// fleetNode is the agent's member of its fleet, with the features that use the links to peers.
type fleetNode struct {
	*peers.Peers
	keys *keys.Store  // nil: no TLS
	work *maintenance // nil: no maintenance is configured
}

// Leave stops the seat, so that another member of the council leads, and notifies the peers that the process ends.
func (f *fleetNode) Leave() {
	if f.work != nil {
		f.work.stop()
	}
	f.Peers.Leave()
}

// Close stops the member and its seat at once, without notifying the peers.
func (f *fleetNode) Close() {
	f.Peers.Close()
	if f.work != nil {
		f.work.stop()
	}
}

// newFleet returns the agent's member of its fleet; nil where the operator's file configures no peers.
func newFleet(a *Agent, c *config.Config, o *operator.Settings, log *slog.Logger) (*fleetNode, error) {
	p := &o.Peers
	if !p.On() {
		return nil, nil
	}
	if allowed := c.Settings.Limits.PeerMessages; allowed != nil && !*allowed {
		return nil, errors.New("operator: peers.listen: " +
			"the platform's settings.limits.peerMessages forbids messages between agents")
	}
	f := &fleetNode{}
	role := "agent"
	if o.Gateway.On() {
		role = "gateway"
	}
	po := peers.Options{Seed: c.Seed ^ uint64(time.Now().UnixNano()), Conns: p.Connections, Queue: p.QueueKB << 10,
		Log: log,
		Members: members.Options{ID: members.ID{Name: p.Name, Incarnation: uint64(time.Now().UnixMicro())},
			Period: time.Duration(p.Period), ForgetAfter: time.Duration(p.Forget),
			Info: members.Info{Machine: p.Machine, Zone: p.Zone, Role: role, Build: buildVersion(),
				Settings: settingsDigest(c), Process: lifecycle.Starting.String(), Address: p.AdvertisedAddress()}},
		Self: func() (string, float64) {
			// Rounded down to a power of two, so that single requests do not cause updates to the fleet.
			load := 0.0
			if l := a.Load(); l.Taken+int64(l.Crossings) > 0 {
				load = math.Exp2(math.Floor(math.Log2(float64(l.Taken + int64(l.Crossings)))))
			}
			return a.lifecycle.State(a.Ready()).String(), load
		},
		OnCount: a.core.SetFleetSize,
	}
	if a.gatewayEnd != nil {
		po.OnAvoid = a.gatewayEnd.avoid
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
			return nil, fmt.Errorf("operator: peers.name: the certificate's name is %q", f.keys.Name())
		}
		po.Client = f.keys.ClientConfig
		po.Server = func() *tls.Config { return f.keys.ServerConfig() }
	}
	if o.Work.On() {
		f.work = newMaintenance(a, &o.Work, p)
		po.OnPeriod, po.OnWord = f.work.heartbeat, f.work.receive
		if a.promises != nil {
			po.OnWord = func(from members.ID, w peers.Word) {
				if !a.promises.Receive(from, w) {
					f.work.receive(from, w)
				}
			}
		}
	}
	f.Peers = peers.New(po)
	if f.work != nil {
		if err := f.work.openSeat(f.Peers, c.Seed, log); err != nil {
			return nil, fmt.Errorf("operator: work.folder: %w", err)
		}
		if a.promises != nil {
			a.promises.Bind(f.Peers, f.work.seat.Call, time.Duration(p.Period)/5)
			if a.gatewayEnd != nil && a.gatewayEnd.farEnd != nil && o.Promises.Copies > 0 {
				a.promises.Attach(o.Gateway.Name, a.gatewayEnd.farEnd.Incarnation(), a.gatewayEnd.farEnd)
			}
		}
	}
	return f, nil
}

// settingsDigest returns a hash of the settings, by which a view shows members with different ones.
func settingsDigest(c *config.Config) string {
	h := fnv.New32a()
	_ = json.NewEncoder(h).Encode(&c.Settings) // values only
	return fmt.Sprintf("%08x", h.Sum32())
}

// ServePeers maintains the agent's view of its fleet until the process hands over, the context ends or the agent
// is closed. It calls open until it returns a listener: a successor process waits for the first one to release the
// address.
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
			changed := a.lifecycle.Changed()
			if a.lifecycle.State(true) == lifecycle.HandingOver {
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
		a.log.Error("fleet: the peer listener failed; the view is no longer updated", "err", err)
	}
}

// FleetMember is a member as 'molepaddle fleet show --json' prints it.
type FleetMember struct {
	Name                string    `json:"name"`
	Incarnation         uint64    `json:"incarnation"`
	Machine             string    `json:"machine"`
	Zone                string    `json:"zone"`
	Role                string    `json:"role"`
	Build               string    `json:"build"`
	Settings            string    `json:"settings"`
	Process             string    `json:"process"`
	Address             string    `json:"address"`
	Load                float64   `json:"load"`
	UnresponsiveServers int       `json:"hears_nothing_of"` // servers
	State               string    `json:"state"`
	Since               time.Time `json:"since"`
	SuspectedBy         []string  `json:"suspected_by"`
	Twin                bool      `json:"twin"`
	Linked              bool      `json:"linked"`
	Watched             bool      `json:"watched"`
}

// FleetView is an agent's view of its fleet.
type FleetView struct {
	Self              string        `json:"self"`
	Converged         bool          `json:"settled"`
	UnconvergedReason string        `json:"why,omitempty"` // reason, where it isn't
	Digest            string        `json:"digest"`
	SelfSuspicion     string        `json:"doubts_itself"` // reason; empty: no suspicion
	Reachable         int           `json:"sees"`
	Known             int           `json:"knows"`
	Members           []FleetMember `json:"members"`
	Observed          time.Time     `json:"at"`
}

// FleetView returns the agent's view of its fleet, and reports whether it keeps one.
func (a *Agent) FleetView() (f FleetView, ok bool) {
	if a.fleet == nil {
		return f, false
	}
	v, start := a.fleet.View()
	f = FleetView{Self: v.Self.Name, Converged: v.Converged, UnconvergedReason: v.UnconvergedReason,
		Digest: fmt.Sprintf("%016x", v.Digest), SelfSuspicion: v.SelfSuspicion, Reachable: v.Reachable, Known: v.Known,
		Members: []FleetMember{}, Observed: time.Now()}
	for _, m := range v.Members {
		by := m.SuspectedBy
		if by == nil {
			by = []string{}
		}
		f.Members = append(f.Members, FleetMember{Name: m.ID.Name, Incarnation: m.ID.Incarnation,
			Machine: m.Info.Machine, Zone: m.Info.Zone, Role: m.Info.Role,
			Build: m.Info.Build, Settings: m.Info.Settings, Process: m.Info.Process, Address: m.Info.Address,
			Load: m.Info.Load, UnresponsiveServers: hearsay.Count(m.Info.Silent), State: m.State.String(),
			Since: start.Add(m.Since), SuspectedBy: by, Twin: m.Twin, Linked: m.Linked, Watched: m.Watched})
	}
	return f, true
}

// FleetHandlers returns the handlers of the operators' calls about the fleet, by pattern.
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
			http.Error(w, "the agent is shutting down or too busy to report", http.StatusServiceUnavailable)
		}
	}
	return handlers
}

// ErrNoFleetView is returned by ReadFleet where the feature is off at the agent.
var ErrNoFleetView = errors.New("the agent keeps no view of its fleet: its operator's file has no [peers]")

// ReadFleet reads from the management address of a running agent. path is a GET path of FleetHandlers.
func ReadFleet(address, path string, into any) error {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return json.NewDecoder(io.LimitReader(resp.Body, 64<<20)).Decode(into)
	case http.StatusNotFound:
		return ErrNoFleetView
	}
	return fmt.Errorf("the management address answers %s", resp.Status)
}

// Print writes the view as a table for a person, sorted by zone and machine.
func (f *FleetView) Print(out io.Writer) {
	settled := "settled"
	if !f.Converged {
		settled = "NOT settled: " + f.UnconvergedReason
	}
	fmt.Fprintf(out, "%s sees %d of %d, %s (view %s)\n", f.Self, f.Reachable, f.Known, settled, f.Digest)
	if f.SelfSuspicion != "" {
		fmt.Fprintln(out, "it suspects itself:", f.SelfSuspicion)
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
			notes = append(notes, "suspected by "+strings.Join(m.SuspectedBy, ", "))
		}
		if m.UnresponsiveServers > 0 {
			notes = append(notes, fmt.Sprintf("%d servers unresponsive", m.UnresponsiveServers))
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

// buildVersion returns the build as a view shows it.
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

// AvoidGateways names the far gateways that get no new requests while another one is available, as the view of the
// fleet does. Tests and operators' tools call it directly.
func (a *Agent) AvoidGateways(names ...string) {
	if a.gatewayEnd != nil {
		a.gatewayEnd.avoid(names)
	}
}
