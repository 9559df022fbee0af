package operator

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"molepaddle/internal/decide/members"
)

// Peers is the table of an agent that keeps a view of its fleet; see package members.
type Peers struct {
	Name      string `toml:"name"`      // unique name; with keys: the name in the certificate
	Machine   string `toml:"machine"`   // failure domain
	Zone      string `toml:"zone"`      // failure domain
	Listen    string `toml:"listen"`    // address for peers; empty: the table is off
	Advertise string `toml:"advertise"` // address for peers, where it differs from listen
	Plain     bool   `toml:"plain"`     // no TLS; on loopback only
	Keys      struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"keys"`
	Connections int        `toml:"connections"` // most connections open at once
	QueueKB     int        `toml:"queue_kb"`    // send queue of one peer, in KiB
	Period      Duration   `toml:"period"`      // heartbeat interval of the view
	Forget      Duration   `toml:"forget"`      // time that failed members are remembered
	Seeds       []PeerSeed `toml:"seed,omitempty"`
}

// PeerSeed is a peer that is configured in advance.
type PeerSeed struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

func defaultPeers() Peers {
	d := members.Default()
	return Peers{Connections: 64, QueueKB: 256, Period: Duration(d.Period), Forget: Duration(d.ForgetAfter)}
}

// On reports whether the agent keeps a view of its fleet.
func (p *Peers) On() bool { return p.Listen != "" }

// AdvertisedAddress returns the address at which peers connect.
func (p *Peers) AdvertisedAddress() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// maxLabel is the maximum length of a name in the view, in bytes.
const maxLabel = 64

// checkLabel returns an error if a text can't be shown in a table.
func checkLabel(text string) error {
	if text == "" || len(text) > maxLabel || strings.ContainsFunc(text,
		func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return fmt.Errorf("missing, over %d bytes, or with spaces or control characters", maxLabel)
	}
	return nil
}

// validate returns the first invalid key and its error.
func (p *Peers) validate() (key string, err error) {
	for _, v := range []struct {
		key         string
		value       int
		least, most int
	}{{"connections", p.Connections, 16, 1024}, {"queue_kb", p.QueueKB, 64, 65536}} {
		if v.value < v.least || v.value > v.most {
			return v.key, fmt.Errorf("must be from %d to %d, is %d", v.least, v.most, v.value)
		}
	}
	for _, v := range []struct {
		key               string
		value, least, top time.Duration
	}{
		{"period", time.Duration(p.Period), 20 * time.Millisecond, time.Minute},
		{"forget", time.Duration(p.Forget), 60 * time.Duration(p.Period), 24 * time.Hour},
	} {
		if v.value < v.least || v.value > v.top {
			return v.key, fmt.Errorf("must be from %v to %v, is %v", v.least, v.top, v.value)
		}
	}
	if !p.On() {
		if p.Name != "" || len(p.Seeds) > 0 {
			return "listen", errors.New("missing")
		}
		return "", nil
	}
	for _, w := range []struct{ key, text string }{{"name", p.Name}, {"machine", p.Machine}, {"zone", p.Zone}} {
		if err := checkLabel(w.text); err != nil {
			return w.key, err
		}
	}
	keys := p.Keys.CA != "" || p.Keys.Cert != "" || p.Keys.Key != ""
	switch {
	case p.Plain && keys:
		return "plain", errors.New("excludes peers.keys")
	case !p.Plain && (p.Keys.CA == "" || p.Keys.Cert == "" || p.Keys.Key == ""):
		return "keys", errors.New("needs ca, cert and key, or peers.plain on loopback")
	case len(p.Seeds) > 64:
		return "seed", fmt.Errorf("at most 64, got %d", len(p.Seeds))
	}
	addresses := []struct{ key, at string }{{"listen", p.Listen}, {"advertise", p.AdvertisedAddress()}}
	for i, s := range p.Seeds {
		if err := checkLabel(s.Name); err != nil {
			return fmt.Sprintf("seed[%d].name", i), err
		}
		addresses = append(addresses, struct{ key, at string }{fmt.Sprintf("seed[%d].address", i), s.Address})
	}
	for _, a := range addresses {
		if _, port, err := net.SplitHostPort(a.at); err != nil || port == "" || len(a.at) > 2*maxLabel {
			return a.key, fmt.Errorf("not an address with a port: %q", a.at)
		}
		if p.Plain && !loopback(a.at) {
			return a.key, errors.New("links without TLS must be on loopback")
		}
	}
	return "", nil
}

// describe returns the lines that Settings.Describe shows for the table.
func (p *Peers) describe() []string {
	if !p.On() {
		return nil
	}
	line := fmt.Sprintf("a view of the fleet as %s (machine %s, zone %s), peers at %s, %d seeds", p.Name, p.Machine,
		p.Zone, p.Listen, len(p.Seeds))
	if p.Plain {
		line += ", without TLS"
	}
	return []string{line}
}
