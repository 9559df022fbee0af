package operator

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"molepaddle/internal/decide/limit"
	"molepaddle/internal/decide/routes"
)

// Gateway is the table that makes the agent a near end, a far end, or both, of links between sites.
type Gateway struct {
	Name   string   `toml:"name"`   // name on links; with keys: the name in the certificate
	Listen string   `toml:"listen"` // address for links; empty: not a far end
	Peers  []string `toml:"peers"`  // near gateways that may connect
	Plain  bool     `toml:"plain"`  // no TLS; on loopback only
	Status string   `toml:"status"` // Unix socket for the status of links; empty: none
	Keys   struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"keys"`
	Links             int      `toml:"links"`          // connections to each far gateway
	Crossings         int      `toml:"crossings"`      // most pending to a far gateway, and from a near one
	Window            int      `toml:"window"`         // initial window of a far gateway
	Law               string   `toml:"law"`            // algorithm that adjusts the window; see package limit
	MinWindow         int      `toml:"least"`          // minimum window
	BytesMB           int      `toml:"bytes_mb"`       // memory for bodies at the far end, in MiB
	Connections       int      `toml:"connections"`    // most connections to the far end at once
	HandshakeRate     float64  `toml:"greetings"`      // most handshakes a second at the far end
	HeartbeatInterval Duration `toml:"beat"`           // heartbeat interval of a link
	StallAfter        Duration `toml:"stall_after"`    // silence after which a link counts as stalled
	DeadAfter         Duration `toml:"dead_after"`     // silence after which it is closed
	RedialMin         Duration `toml:"redial_min"`     // initial backoff before a link is dialled again
	RedialMax         Duration `toml:"redial_max"`     // maximum backoff
	Sites             []Site   `toml:"site,omitempty"` // far sites
	Routes            []Route  `toml:"route,omitempty"`
	Classes           []Class  `toml:"class,omitempty"`
}

// Class is the share of a link's window that is guaranteed to a class.
type Class struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"part"`
}

// Site is a far site and its gateways.
type Site struct {
	Name        string   `toml:"name"`
	ProofWithin Duration `toml:"proof_within"` // queries about a failed gateway's orders; 0: the time of three
	Peers       []Peer   `toml:"peer"`
}

// Peer is a far gateway.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// Route is one line of the routing table; see package routes.
type Route struct {
	Class   string   `toml:"class"`
	Path    string   `toml:"path"`
	KeyFrom string   `toml:"key_from"`
	KeyTo   string   `toml:"key_to"`
	Share   float64  `toml:"share"`
	To      []string `toml:"to"`
}

func defaultGateway() Gateway {
	return Gateway{Links: 2, Crossings: 1024, Window: 64, Law: limit.Gradient, MinWindow: 16, BytesMB: 16,
		Connections: 256, HandshakeRate: 50, HeartbeatInterval: Duration(50 * time.Millisecond),
		StallAfter: Duration(250 * time.Millisecond), DeadAfter: Duration(5 * time.Second),
		RedialMin: Duration(100 * time.Millisecond), RedialMax: Duration(5 * time.Second)}
}

// On reports whether the agent is an end of links.
func (g *Gateway) On() bool { return g.Listen != "" || len(g.Sites) > 0 }

// Table returns the routing table; classes are those of the deployment, nil: not yet known.
func (g *Gateway) Table(classes []string) (*routes.Table, error) {
	var sites []string
	for _, s := range g.Sites {
		sites = append(sites, s.Name)
	}
	var list []routes.Route
	for _, r := range g.Routes {
		list = append(list, routes.Route(r))
	}
	return routes.New(list, sites, classes)
}

// Limits returns the options of one far gateway's window; classes are the deployment's, in its order. Classes that
// the file doesn't name share the remainder of the window evenly.
func (g *Gateway) Limits(classes []string) (limit.Options, error) {
	o := limit.Options{Law: g.Law, InitialWindow: g.Window, MinWindow: g.MinWindow, MaxWindow: g.Crossings}
	named, left := map[string]float64{}, 1.0
	for i, c := range g.Classes {
		if _, twice := named[c.Name]; twice || c.Name == "" {
			return o, fmt.Errorf("class[%d].name: missing or duplicate", i)
		}
		if classes != nil && !slices.Contains(classes, c.Name) {
			return o, fmt.Errorf("class[%d].name: no class %q", i, c.Name)
		}
		if !(c.Share >= 0 && c.Share <= 1) {
			return o, fmt.Errorf("class[%d].part: must be from 0 to 1, is %v", i, c.Share)
		}
		named[c.Name] = c.Share
		if left -= c.Share; left < -1e-9 {
			return o, fmt.Errorf("class[%d].part: the parts add up to more than 1", i)
		}
	}
	for _, name := range classes {
		part, ok := named[name]
		if !ok {
			part = max(left, 0) / float64(len(classes)-len(named))
		}
		o.Classes = append(o.Classes, limit.Class{Share: part})
	}
	_, err := limit.New(o)
	if err != nil {
		err = fmt.Errorf("law: %w", err)
	}
	return o, err
}

// loopback reports whether an address can be reached from this machine only.
func loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// validate returns the first invalid key and its error.
func (g *Gateway) validate() (key string, err error) {
	for _, v := range []struct {
		key               string
		value, least, top float64
	}{
		{"links", float64(g.Links), 1, 16}, {"crossings", float64(g.Crossings), 1, 65536},
		{"window", float64(g.Window), 1, 65536}, {"least", float64(g.MinWindow), 1, 65536},
		{"bytes_mb", float64(g.BytesMB), 1, 4096},
		{"connections", float64(g.Connections), 1, 65536}, {"greetings", g.HandshakeRate, 0.1, 1e5},
	} {
		if !(v.value >= v.least && v.value <= v.top) {
			return "gateway." + v.key, fmt.Errorf("must be from %v to %v, is %v", v.least, v.top, v.value)
		}
	}
	for _, v := range []struct {
		key               string
		value, least, top time.Duration
	}{
		{"beat", time.Duration(g.HeartbeatInterval), time.Millisecond, 10 * time.Second},
		{"stall_after", time.Duration(g.StallAfter), 3 * time.Duration(g.HeartbeatInterval), time.Minute},
		{"dead_after", time.Duration(g.DeadAfter), time.Duration(g.StallAfter), 10 * time.Minute},
		{"redial_min", time.Duration(g.RedialMin), time.Millisecond, time.Minute},
		{"redial_max", time.Duration(g.RedialMax), time.Duration(g.RedialMin), time.Hour},
	} {
		if v.value < v.least || v.value > v.top {
			return "gateway." + v.key, fmt.Errorf("must be from %v to %v, is %v", v.least, v.top, v.value)
		}
	}
	if !g.On() {
		switch {
		case len(g.Routes) > 0:
			return "gateway.route", errors.New("needs a site")
		case len(g.Classes) > 0:
			return "gateway.class", errors.New("needs a site")
		}
		return "", nil
	}
	if g.Name == "" || len(g.Name) > 200 || strings.ContainsAny(g.Name, " \t\r\n") {
		return "gateway.name", errors.New("missing, over 200 bytes, or with spaces")
	}
	keys := g.Keys.CA != "" || g.Keys.Cert != "" || g.Keys.Key != ""
	switch {
	case g.Plain && keys:
		return "gateway.plain", errors.New("excludes gateway.keys")
	case !g.Plain && (g.Keys.CA == "" || g.Keys.Cert == "" || g.Keys.Key == ""):
		return "gateway.keys", errors.New("needs ca, cert and key, or gateway.plain on loopback")
	case g.Plain && g.Listen != "" && !loopback(g.Listen):
		return "gateway.listen", errors.New("links without TLS must be on loopback")
	case g.Listen != "" && len(g.Peers) == 0:
		return "gateway.peers", errors.New("missing: no near gateway could connect")
	case len(g.Status) > 100:
		return "gateway.status", errors.New("longer than 100 bytes")
	}
	if g.Listen != "" {
		if _, _, err := net.SplitHostPort(g.Listen); err != nil {
			return "gateway.listen", fmt.Errorf("not an address with a port: %q", g.Listen)
		}
	}
	seen, names := map[string]bool{routes.OwnSite: true}, map[string]bool{}
	for i, s := range g.Sites {
		at := fmt.Sprintf("gateway.site[%d]", i)
		if s.Name == "" || seen[s.Name] {
			return at + ".name", fmt.Errorf("missing, duplicate, or %q, which is this site", routes.OwnSite)
		}
		seen[s.Name] = true
		if w := time.Duration(s.ProofWithin); w < 0 || w > time.Minute {
			return at + ".proof_within", fmt.Errorf("must be from 0s to 1m, is %v", w)
		}
		if len(s.Peers) == 0 || len(s.Peers) > 64 {
			return at + ".peer", errors.New("must have 1 to 64 entries")
		}
		for k, p := range s.Peers {
			at := fmt.Sprintf("%s.peer[%d]", at, k)
			_, _, err := net.SplitHostPort(p.Address)
			switch {
			case p.Name == "" || p.Name == g.Name || names[p.Name]:
				return at + ".name", errors.New("missing, duplicate, or this gateway's own")
			case err != nil:
				return at + ".address", fmt.Errorf("not an address with a port: %q", p.Address)
			case g.Plain && !loopback(p.Address):
				return at + ".address", errors.New("links without TLS must be on loopback")
			}
			names[p.Name] = true
		}
	}
	_, err = g.Table(nil)
	if err == nil {
		_, err = g.Limits(nil)
	}
	if err != nil {
		key, why, _ := strings.Cut(err.Error(), ": ")
		return "gateway." + key, errors.New(why)
	}
	return "", nil
}

// describe returns the lines that Settings.Describe shows for the table.
func (g *Gateway) describe() (lines []string) {
	if g.Listen != "" {
		lines = append(lines,
			fmt.Sprintf("links from %s accepted at %s as %s", strings.Join(g.Peers, ", "), g.Listen, g.Name))
	}
	for _, s := range g.Sites {
		for _, p := range s.Peers {
			lines = append(lines, fmt.Sprintf("links to %s of site %s at %s", p.Name, s.Name, p.Address))
		}
	}
	if g.On() && g.Plain {
		lines = append(lines, "links without TLS")
	}
	return lines
}
