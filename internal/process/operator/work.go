package operator

import (
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"molepaddle/internal/decide/orders"
	"molepaddle/internal/decide/work"
	"molepaddle/internal/protocol/roster"
)

// Work is the table of machines that are taken out for work in an order that the agents settle; see
// package work. All agents have the same machines.
type Work struct {
	Folder       string   `toml:"folder"`        // that lasts, for a seat in the council; empty: this agent has none
	Seats        int      `toml:"seats"`         // of the council
	ReplaceAfter Duration `toml:"replace_after"` // that a member is away before another takes its seat
	Reserve      float64  `toml:"reserve"`       // share of the need that is to be left over
	ZoneShare    float64  `toml:"zone_share"`    // of a zone's machines that may be out or broken at once
	KindShare    float64  `toml:"kind_share"`
	AgentShare   float64  `toml:"agent_share"`
	Gateways     float64  `toml:"gateways"`
	MaxOvertaken   int      `toml:"passed_over"` // how often others may go before one
	AcknowledgeTimeout     Duration `toml:"patience"`    // that a permit waits for other agents' word
	// Measured has the need be what the agents say that they take, as the peak of a day, where that is more;
	// capacities are requests a second then.
	Measured bool          `toml:"measured"`
	Machines []WorkMachine `toml:"machine,omitempty"`
	Needs    []WorkNeed    `toml:"need,omitempty"`
}

// WorkMachine is a machine that may be taken out.
type WorkMachine struct {
	Name     string   `toml:"name"` // as peers.machine of the agents there
	Zone     string   `toml:"zone"`
	Kind     string   `toml:"kind,omitempty"`
	Capacity float64  `toml:"capacity,omitempty"` // 0: the weights of its servers
	Servers  []string `toml:"servers,omitempty"`  // their hosts in the roster
}

// WorkNeed is what has to be served whatever is measured.
type WorkNeed struct {
	Class  string  `toml:"class,omitempty"`
	Zone   string  `toml:"zone,omitempty"` // empty: anywhere
	Amount float64 `toml:"amount"`
}

func defaultWork() Work {
	b := work.DefaultBounds()
	return Work{Seats: 3, ReplaceAfter: Duration(time.Minute), Reserve: b.Reserve, ZoneShare: b.ZoneShare, KindShare: b.KindShare, AgentShare: b.AgentShare,
		Gateways: b.GatewayShare, MaxOvertaken: b.MaxOvertaken, AcknowledgeTimeout: Duration(time.Duration(b.AcknowledgeTimeout) * time.Second)}
}

// On tells whether machines can be taken out.
func (w *Work) On() bool { return len(w.Machines) > 0 }

// Bounds are those of package work.
func (w *Work) Bounds() work.Bounds {
	return work.Bounds{Reserve: w.Reserve, ZoneShare: w.ZoneShare, KindShare: w.KindShare, AgentShare: w.AgentShare, GatewayShare: w.Gateways,
		MaxOvertaken: w.MaxOvertaken, AcknowledgeTimeout: int64(time.Duration(w.AcknowledgeTimeout) / time.Second)}
}

// MachineServers are the machines as package orders has them.
func (w *Work) MachineServers() (places []orders.MachineServers) {
	for _, m := range w.Machines {
		p := orders.MachineServers{Name: m.Name}
		for _, host := range m.Servers {
			p.Servers = append(p.Servers, roster.AddrOf(host))
		}
		places = append(places, p)
	}
	return places
}

// maxMachines bounds machines and servers.
const maxMachines = 2000

// validate reports the first key that makes no sense.
func (w *Work) validate(peers bool) (key string, err error) {
	b := w.Bounds()
	if key, err := b.Validate(); err != nil {
		return key, err
	}
	if p := time.Duration(w.AcknowledgeTimeout); p%time.Second != 0 {
		return "patience", fmt.Errorf("must be whole seconds, is %v", p)
	}
	if r := time.Duration(w.ReplaceAfter); r < time.Second || r > 24*time.Hour {
		return "replace_after", fmt.Errorf("must be from 1s to 24h, is %v", r)
	}
	if w.Seats != 1 && w.Seats != 3 && w.Seats != 5 {
		return "seats", fmt.Errorf("must be 1, 3 or 5, is %d", w.Seats)
	}
	if !w.On() {
		if w.Folder != "" || len(w.Needs) > 0 {
			return "machine", errors.New("missing: there is nothing to take out")
		}
		return "", nil
	}
	if !peers {
		return "machine", errors.New("needs peers: the agents settle the order among themselves")
	}
	if w.Folder != "" && !filepath.IsAbs(w.Folder) {
		return "folder", fmt.Errorf("no absolute path: %q", w.Folder)
	}
	if len(w.Machines) > maxMachines {
		return "machine", fmt.Errorf("at most %d, are %d", maxMachines, len(w.Machines))
	}
	hosts, zones := map[string]string{}, map[string]bool{}
	for i, m := range w.Machines {
		at := fmt.Sprintf("machine[%d].", i)
		if err := checkLabel(m.Name); err != nil {
			return at + "name", err
		}
		if err := checkLabel(m.Zone); err != nil {
			return at + "zone", err
		}
		if !(m.Capacity >= 0 && m.Capacity < 1e9) {
			return at + "capacity", fmt.Errorf("makes no sense: %v", m.Capacity)
		}
		if w.Measured && len(m.Servers) > 0 && m.Capacity == 0 {
			return at + "capacity", errors.New("missing, and work.measured wants it in requests a second")
		}
		for _, host := range m.Servers {
			if o, twice := hosts[host]; twice || host == "" {
				return at + "servers", fmt.Errorf("%q is missing or on %s already", host, o)
			}
			hosts[host] = m.Name
		}
		zones[m.Zone] = true
	}
	if len(hosts) > 4*maxMachines {
		return "machine", fmt.Errorf("at most %d servers, are %d", 4*maxMachines, len(hosts))
	}
	if _, err := orders.New("", w.MachineServers()); err != nil {
		return "machine", err
	}
	for i, n := range w.Needs {
		at := fmt.Sprintf("need[%d].", i)
		if !(n.Amount >= 0 && n.Amount < 1e9) {
			return at + "amount", fmt.Errorf("makes no sense: %v", n.Amount)
		}
		if n.Zone != "" && !zones[n.Zone] {
			return at + "zone", fmt.Errorf("no machine is in %q", n.Zone)
		}
	}
	return "", nil
}

// describe tells what the table switches describe.
func (w *Work) describe() []string {
	if !w.On() {
		return nil
	}
	line := fmt.Sprintf("machines taken out for work: %d of them", len(w.Machines))
	if w.Folder != "" {
		line += fmt.Sprintf(", one of those that may sit in a council of %d, in %s", w.Seats, w.Folder)
	}
	return []string{line}
}
