package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"molepaddle/internal/protocol/gateway"
)

// LinkStatus is the state of a gateway's links, as its status socket returns it.
type LinkStatus struct {
	Name        string               `json:"name"`
	Draining    bool                 `json:"draining"`
	Certificate *time.Time           `json:"certificate_ends,omitempty"`
	To          []gateway.PeerStatus `json:"to"`   // far gateways
	From        []gateway.PeerStatus `json:"from"` // near gateways
}

// LinkStatus returns the state of the agent's links.
func (a *Agent) LinkStatus() LinkStatus {
	s := LinkStatus{To: []gateway.PeerStatus{}, From: []gateway.PeerStatus{}}
	g := a.gatewayEnd
	if g == nil {
		return s
	}
	s.Name = g.name
	if g.keys != nil {
		until := g.keys.NotAfter()
		s.Certificate = &until
	}
	for _, site := range g.siteOrder {
		s.To = append(s.To, g.sites[site].link.Status()...)
	}
	if g.farEnd != nil {
		s.From = append(s.From, g.farEnd.Status()...)
		s.Draining = g.farEnd.Draining()
	}
	return s
}

// ServeStatus writes the agent's LinkStatus as JSON to each connection, one at a time, until the listener is
// closed.
func (a *Agent) ServeStatus(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_ = json.NewEncoder(c).Encode(a.LinkStatus())
		c.Close()
	}
}

// ReadStatus reads the status of a running gateway from its Unix socket.
func ReadStatus(socket string) (s LinkStatus, err error) {
	c, err := net.DialTimeout("unix", socket, time.Second)
	if err != nil {
		return s, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	err = json.NewDecoder(io.LimitReader(c, 16<<20)).Decode(&s)
	return s, err
}

// Print writes the status as text for a person.
func (s *LinkStatus) Print(out io.Writer) {
	fmt.Fprintf(out, "gateway %s", s.Name)
	if s.Draining {
		fmt.Fprint(out, ", draining")
	}
	if s.Certificate != nil {
		fmt.Fprintf(out, ", certificate ends %s", s.Certificate.UTC().Format("2006-01-02 15:04 UTC"))
	}
	fmt.Fprintln(out)
	for _, part := range []struct {
		way   string
		peers []gateway.PeerStatus
	}{{"to", s.To}, {"from", s.From}} {
		for _, p := range part.peers {
			state := "up"
			if !p.Reachable {
				state = "not reachable"
			}
			if p.Site != "" {
				state += ", site " + p.Site + " at " + p.Address
			}
			fmt.Fprintf(out, "%-4s %s: %s; %s of at most %d\n", part.way, p.Name, state, formatCounts(p.Crossings),
				p.Window)
			for _, l := range p.Links {
				flags := ""
				if l.Stalled {
					flags += ", STALLED"
				}
				if l.Draining {
					flags += ", draining"
				}
				fmt.Fprintf(out, "     link: round trip %v, heard %v ago, its echo is %v old%s\n",
					l.RoundTrip.Round(10*time.Microsecond),
					l.ReceivedAgo.Round(time.Millisecond), l.EchoedAgo.Round(time.Millisecond), flags)
			}
			for _, c := range p.Classes {
				if c.InFlight > 0 || c.Rejected > 0 {
					fmt.Fprintf(out, "     %s: %d out, %d found no room\n", c.Name, c.InFlight, c.Rejected)
				}
			}
			if p.LastError != "" {
				fmt.Fprintf(out, "     last connection lost: %s\n", p.LastError)
			}
		}
	}
}

// formatCounts formats the numbers with their names, sorted as text.
func formatCounts(m map[string]int) string {
	var parts []string
	for name, n := range m {
		parts = append(parts, fmt.Sprintf("%d %s", n, name))
	}
	slices.Sort(parts)
	if parts == nil {
		return "0 crossings"
	}
	return strings.Join(parts, ", ")
}
