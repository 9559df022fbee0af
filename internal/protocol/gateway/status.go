package gateway

import (
	"slices"
	"strings"
	"time"

	"molepaddle/internal/decide/crossing"
	"molepaddle/internal/protocol/link"
)

// LinkStatus describes one connection of a link.
type LinkStatus struct {
	RoundTrip   time.Duration `json:"round_trip_ns"`
	ReceivedAgo time.Duration `json:"heard_ago_ns"`  // time since the last frame
	EchoedAgo   time.Duration `json:"echoed_ago_ns"` // age of the last heartbeat that the other end has echoed
	Stalled     bool          `json:"stalled"`
	Draining    bool          `json:"draining"` // the other end accepts no new crossings
}

// PeerStatus describes a gateway at the other end of links.
type PeerStatus struct {
	Name        string         `json:"name"`
	Address     string         `json:"address,omitempty"` // far gateways only
	Site        string         `json:"site,omitempty"`    // far gateways only
	Incarnation uint64         `json:"incarnation"`
	Reachable   bool           `json:"reachable"`
	LastError   string         `json:"lost,omitempty"` // why the last connection ended
	Links       []LinkStatus   `json:"links"`
	Crossings   map[string]int `json:"crossings"` // number by state
	Window      int            `json:"window"`    // limit of crossings in flight
	Classes     []ClassStatus  `json:"classes,omitempty"`
}

// ClassStatus describes the use of the window to a far gateway by one class.
type ClassStatus struct {
	Name     string `json:"name"`
	InFlight int    `json:"out"`     // crossings in flight
	Rejected int    `json:"no_room"` // crossings rejected as the window was full, since the start
}

func linkStatus(c *link.Conn, after time.Duration, now time.Time) LinkStatus {
	st := c.State()
	return LinkStatus{RoundTrip: st.RTT, ReceivedAgo: now.Sub(st.ReceivedAt), EchoedAgo: now.Sub(st.EchoedAt),
		Stalled: st.Stalled(now, after), Draining: st.Draining}
}

// Status returns the state of each far gateway.
func (s *Sender) Status() []PeerStatus {
	var all []PeerStatus
	now := time.Now()
	for _, p := range s.peers {
		p.mu.Lock()
		q := PeerStatus{Name: p.Name, Address: p.Address, Site: s.opt.Site, Incarnation: p.inc,
			Reachable: p.pickConn(now) != nil,
			LastError: p.lastError, Links: []LinkStatus{}, Crossings: map[string]int{}, Window: p.limits.Window()}
		for _, c := range p.conns {
			q.Links = append(q.Links, linkStatus(c.link, s.opt.Times.StallAfter, now))
		}
		for _, x := range p.open {
			q.Crossings[[...]string{"queued", "offered", "asking", "closed"}[x.m.State]]++
		}
		for i, c := range s.opt.Settings.Classes {
			out, turned := p.limits.ClassInFlight(i)
			q.Classes = append(q.Classes, ClassStatus{c.Name, out, turned})
		}
		p.mu.Unlock()
		all = append(all, q)
	}
	return all
}

// Status returns the state of each near process, sorted by name.
func (f *Receiver) Status() []PeerStatus {
	f.mu.Lock()
	var sessions []*session
	for _, s := range f.sessions {
		sessions = append(sessions, s)
	}
	f.mu.Unlock()
	var all []PeerStatus
	now := time.Now()
	for _, s := range sessions {
		s.mu.Lock()
		q := PeerStatus{Name: s.key.peer, Incarnation: s.key.inc, Reachable: len(s.conns) > 0, Links: []LinkStatus{},
			Crossings: map[string]int{}, Window: f.opt.Crossings}
		for _, c := range s.conns {
			q.Links = append(q.Links, linkStatus(c.link, f.opt.Times.StallAfter, now))
		}
		for _, x := range s.open {
			q.Crossings[receiverStateName(x.m.State)]++
		}
		s.mu.Unlock()
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b PeerStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func receiverStateName(s crossing.ReceiverState) string {
	return [...]string{"unknown", "taken", "running", "done", "barred"}[s]
}
