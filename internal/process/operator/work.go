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

// Work is the table of machines that are taken out for maintenance in an order that the agents agree on; see
// package work. All agents must have the same machines.
type Work struct {
	Folder             string   `toml:"folder"`        // persistent; of council seat (empty: none) and promise journal
	Seats              int      `toml:"seats"`         // size of the council
	ReplaceAfter       Duration `toml:"replace_after"` // absence after which another agent takes a member's seat
	Reserve            float64  `toml:"reserve"`       // spare capacity, as a share of the need
	ZoneShare          float64  `toml:"zone_share"`    // share of a zone's machines that may be out or down at once
	KindShare          float64  `toml:"kind_share"`    // the same for the machines of one kind
	AgentShare         float64  `toml:"agent_share"`   // the same for the machines that run agents
	Gateways           float64  `toml:"gateways"`      // the same for the machines that run gateways
	MaxOvertaken       int      `toml:"passed_over"`   // times that others may start before a waiting request
	AcknowledgeTimeout Duration `toml:"patience"`      // after it, a permit needs no acknowledgements of agents
	// Measured uses the daily peak of the agents' reported request rates as the need, where it is higher than the
	// configured one. Capacities are in requests per second then.
	Measured bool          `toml:"measured"`
	Machines []WorkMachine `toml:"machine,omitempty"`
	Needs    []WorkNeed    `toml:"need,omitempty"`
}

// WorkMachine is a machine that may be taken out.
type WorkMachine struct {
	Name     string   `toml:"name"` // equals peers.machine of the agents there
	Zone     string   `toml:"zone"`
	Kind     string   `toml:"kind,omitempty"`
	Capacity float64  `toml:"capacity,omitempty"` // 0: the weights of its servers
	Servers  []string `toml:"servers,omitempty"`  // host names in the registry
}

// WorkNeed is an amount of capacity that is always needed, whatever is measured.
type WorkNeed struct {
	Class  string  `toml:"class,omitempty"`
	Zone   string  `toml:"zone,omitempty"` // empty: anywhere
	Amount float64 `toml:"amount"`
}

func defaultWork() Work {
	b := work.DefaultBounds()
	return Work{Seats: 3, ReplaceAfter: Duration(time.Minute), Reserve: b.Reserve, ZoneShare: b.ZoneShare,
		KindShare: b.KindShare, AgentShare: b.AgentShare,
		Gateways: b.GatewayShare, MaxOvertaken: b.MaxOvertaken,
		AcknowledgeTimeout: Duration(time.Duration(b.AcknowledgeTimeout) * time.Second)}
}

// On reports whether the table is in use, which it is when it lists machines.
func (w *Work) On() bool { return len(w.Machines) > 0 }

// Bounds returns the bounds for package work.
func (w *Work) Bounds() work.Bounds {
	return work.Bounds{Reserve: w.Reserve, ZoneShare: w.ZoneShare, KindShare: w.KindShare, AgentShare: w.AgentShare,
		GatewayShare: w.Gateways,
		MaxOvertaken: w.MaxOvertaken, AcknowledgeTimeout: int64(time.Duration(w.AcknowledgeTimeout) / time.Second)}
}

// MachineServers returns the machines with their servers, for package orders.
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

// maxMachines is the maximum number of machines; four times as many servers are allowed.
const maxMachines = 2000

// validate returns the first invalid key and its error.
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
			return "machine", errors.New("missing: work.folder and work.need need machines")
		}
		return "", nil
	}
	if !peers {
		return "machine", errors.New("needs peers: the agents agree on the order among themselves")
	}
	if w.Folder != "" && !filepath.IsAbs(w.Folder) {
		return "folder", fmt.Errorf("not an absolute path: %q", w.Folder)
	}
	if len(w.Machines) > maxMachines {
		return "machine", fmt.Errorf("at most %d, got %d", maxMachines, len(w.Machines))
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
			return at + "capacity", fmt.Errorf("must be from 0 to below 1e9, is %v", m.Capacity)
		}
		if w.Measured && len(m.Servers) > 0 && m.Capacity == 0 {
			return at + "capacity", errors.New("missing: work.measured needs it in requests a second")
		}
		for _, host := range m.Servers {
			if o, twice := hosts[host]; twice || host == "" {
				return at + "servers", fmt.Errorf("%q is empty or already listed for machine %q", host, o)
			}
			hosts[host] = m.Name
		}
		zones[m.Zone] = true
	}
	if len(hosts) > 4*maxMachines {
		return "machine", fmt.Errorf("at most %d servers, got %d", 4*maxMachines, len(hosts))
	}
	if _, err := orders.New("", w.MachineServers()); err != nil {
		return "machine", err
	}
	for i, n := range w.Needs {
		at := fmt.Sprintf("need[%d].", i)
		if !(n.Amount >= 0 && n.Amount < 1e9) {
			return at + "amount", fmt.Errorf("must be from 0 to below 1e9, is %v", n.Amount)
		}
		if n.Zone != "" && !zones[n.Zone] {
			return at + "zone", fmt.Errorf("no machine is in %q", n.Zone)
		}
	}
	return "", nil
}

// describe returns the lines that Settings.Describe shows for the table.
func (w *Work) describe() []string {
	if !w.On() {
		return nil
	}
	line := fmt.Sprintf("machines that can be taken out for maintenance: %d", len(w.Machines))
	if w.Folder != "" {
		line += fmt.Sprintf(", a candidate for the council of %d, with its data in %s", w.Seats, w.Folder)
	}
	return []string{line}
}
