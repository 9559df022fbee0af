// Package operator reads the operator's file, which enables features of an installation beyond the platform's
// configuration of an agent. A feature is off, or a value has its default, where the file or the key is missing.
// The package holds values only; a Settings is not changed after it is read, so any goroutine may read it.
//
// The file is TOML 1.0 and parsed strictly: an unknown key, a value of another type or without its unit, a value
// out of bounds, and keys that exclude each other are errors. An error is one line that names the file, the line
// and the key.
package operator

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/process/logging"
	"molepaddle/internal/process/strict"
)

// Duration is a duration written with its unit, such as "250ms".
type Duration = strict.Duration

// Listen is an additional listener for clients: a TCP address or a Unix socket.
type Listen struct {
	Address string `toml:"address"`
	Unix    string `toml:"unix"`
}

// NetworkAddress returns the network and the address for net.Listen.
func (l Listen) NetworkAddress() (network, address string) {
	if l.Unix != "" {
		return "unix", l.Unix
	}
	return "tcp", l.Address
}

// String returns the listener's address as text for a person.
func (l Listen) String() string {
	if l.Unix != "" {
		return "the Unix socket " + l.Unix
	}
	return l.Address
}

// Settings is the content of the operator's file.
type Settings struct {
	Front struct {
		HTTP struct {
			HeadWithin Duration `toml:"head_within"` // time-out for a request's head
			BodyWithin Duration `toml:"body_within"` // time-out for its body
			KeepIdle   Duration `toml:"keep_idle"`   // time-out of a client's idle connection
			Listen     []Listen `toml:"listen"`
		} `toml:"http"`
		FastCGI FrontFastCGI `toml:"fastcgi"`
	} `toml:"front"`
	Transport struct {
		HTTP struct {
			Settle  Duration `toml:"settle"`  // delay before a connection is used again
			Resting int      `toml:"resting"` // most connections in that delay before a request waits for one
		} `toml:"http"`
		FastCGI TransportFastCGI `toml:"fastcgi"`
	} `toml:"transport"`
	Gateway  Gateway         `toml:"gateway"`
	Fleet    Fleet           `toml:"fleet"`
	Peers    Peers           `toml:"peers"`
	Work     Work            `toml:"work"`
	Promises Promises        `toml:"promises"`
	Log      logging.Options `toml:"log"`
}

// Fleet is the table for a deployment with very many agents; see package fleet. Rates are per second, of all agents
// together.
type Fleet struct {
	On          bool     `toml:"on"`
	Agents      int      `toml:"agents"`      // number of agents; 0: as the platform configures
	Connections float64  `toml:"connections"` // open to one server, busy or idle
	MinServers  int      `toml:"least"`       // minimum number of servers of each agent
	MaxServers  int      `toml:"most"`        // maximum number while there are no faults
	ConnectRate float64  `toml:"connects"`    // first connections to one newly started process
	PollRate    float64  `toml:"questions"`   // requests to the registry
	ProbeRate   float64  `toml:"probes"`      // health checks of one server
	KeepIdle    Duration `toml:"keep_idle"`   // time-out of an idle connection to a server
}

// Options returns the options of package fleet; nil: the table is off.
func (f *Fleet) Options() *fleet.Options {
	if !f.On {
		return nil
	}
	return &fleet.Options{Agents: f.Agents, Connections: f.Connections, MinServers: f.MinServers,
		MaxServers: f.MaxServers, ConnectRate: f.ConnectRate, PollRate: f.PollRate, ProbeRate: f.ProbeRate}
}

func defaultFleet() Fleet {
	o := fleet.Default()
	return Fleet{Agents: o.Agents, Connections: o.Connections, MinServers: o.MinServers, MaxServers: o.MaxServers,
		ConnectRate: o.ConnectRate, PollRate: o.PollRate, ProbeRate: o.ProbeRate,
		KeepIdle: Duration(5 * time.Second)}
}

// validate returns the first invalid key and its error, also where the table is off.
func (f *Fleet) validate() (key string, err error) {
	if v := time.Duration(f.KeepIdle); v < 10*time.Millisecond || v > time.Hour {
		return "fleet.keep_idle", fmt.Errorf("must be from %v to %v, is %v", 10*time.Millisecond, time.Hour, v)
	}
	on := *f
	on.On = true
	if key, err := on.Options().Validate(); err != nil {
		return "fleet." + key, err
	}
	return "", nil
}

// Default returns the settings of an empty file.
func Default() *Settings {
	s := &Settings{}
	s.Front.HTTP.HeadWithin = Duration(2500 * time.Millisecond)
	s.Front.HTTP.BodyWithin = Duration(2 * time.Second)
	s.Front.HTTP.KeepIdle = Duration(15 * time.Second)
	s.Transport.HTTP.Settle = Duration(time.Millisecond)
	s.Transport.HTTP.Resting = 64
	s.defaultFastCGI()
	s.Gateway = defaultGateway()
	s.Fleet = defaultFleet()
	s.Peers = defaultPeers()
	s.Work = defaultWork()
	s.Promises = defaultPromises()
	s.Log = logging.Default()
	return s
}

// Load reads the file at path. An empty path returns the defaults.
func Load(path string) (*Settings, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := strict.Read(path)
	if err != nil {
		return nil, fmt.Errorf("operator: %w", err)
	}
	return Parse(filepath.Base(path), text)
}

// Parse parses the text of a file; name is the file's name in errors.
func Parse(name string, text []byte) (*Settings, error) {
	s := Default()
	if err := strict.Decode(name, text, s, s.validate); err != nil {
		return nil, err
	}
	return s, nil
}

// validate returns the first invalid key and its error.
func (s *Settings) validate() (key string, err error) {
	h, t := &s.Front.HTTP, &s.Transport.HTTP
	for _, d := range []struct {
		key         string
		value       Duration
		least, most time.Duration
	}{
		{"front.http.head_within", h.HeadWithin, 50 * time.Millisecond, time.Minute},
		{"front.http.body_within", h.BodyWithin, 50 * time.Millisecond, time.Minute},
		{"front.http.keep_idle", h.KeepIdle, 10 * time.Millisecond, time.Hour},
		{"transport.http.settle", t.Settle, 0, 100 * time.Millisecond},
	} {
		if v := time.Duration(d.value); v < d.least || v > d.most {
			return d.key, fmt.Errorf("must be from %v to %v, is %v", d.least, d.most, v)
		}
	}
	if t.Resting < 1 || t.Resting > 4096 {
		return "transport.http.resting", fmt.Errorf("must be from 1 to 4096, is %d", t.Resting)
	}
	if key, err := validateListen("front.http.listen", h.Listen); err != nil {
		return key, err
	}
	if key, err := s.Front.FastCGI.validate(); err != nil {
		return "front.fastcgi." + key, err
	}
	if key, err := s.Transport.FastCGI.validate(); err != nil {
		return "transport.fastcgi." + key, err
	}
	if key, err := s.Fleet.validate(); err != nil {
		return key, err
	}
	if key, err := s.Peers.validate(); err != nil {
		return "peers." + key, err
	}
	if key, err := s.Work.validate(s.Peers.On()); err != nil {
		return "work." + key, err
	}
	if key, err := s.Promises.validate(s.Work.On(), s.Work.Folder); err != nil {
		return "promises." + key, err
	}
	if key, err := s.Log.Validate(); err != nil {
		return "log." + key, err
	}
	return s.Gateway.validate()
}

// validateListen returns the key of the first invalid entry and its error.
func validateListen(table string, all []Listen) (key string, err error) {
	if len(all) > 16 {
		return table, fmt.Errorf("at most 16 entries, got %d", len(all))
	}
	for i, l := range all {
		key := table + "[" + strconv.Itoa(i) + "]"
		switch {
		case l.Address != "" && l.Unix != "":
			return key + ".unix", errors.New("excludes address in the same entry")
		case l.Address == "" && l.Unix == "":
			return key, errors.New("needs address or unix")
		case l.Unix != "" && len(l.Unix) > 100:
			return key + ".unix", errors.New("longer than 100 bytes")
		case l.Address != "":
			if _, port, err := net.SplitHostPort(l.Address); err != nil {
				return key + ".address", fmt.Errorf("not an address with a port: %q", l.Address)
			} else if _, err := strconv.ParseUint(port, 10, 16); err != nil {
				return key + ".address", fmt.Errorf("not a port number: %q", l.Address)
			}
		}
	}
	return "", nil
}

// Describe returns one line for each feature that is on and each value that differs from its default.
func (s *Settings) Describe() []string {
	var on []string
	d, h, t := Default(), s.Front.HTTP, s.Transport.HTTP
	for _, l := range h.Listen {
		on = append(on, "clients also at "+l.String())
	}
	on = append(on, s.describeFastCGI()...)
	on = append(on, s.Gateway.describe()...)
	on = append(on, s.Peers.describe()...)
	on = append(on, s.Work.describe()...)
	on = append(on, s.Promises.describe()...)
	if f := s.Fleet; f.On {
		on = append(on, fmt.Sprintf("a fleet of very many agents: %v connections to a server, %d to %d servers each, "+
			"%v first connections and %v polls of the registry a second",
			f.Connections, f.MinServers, f.MaxServers, f.ConnectRate, f.PollRate))
	}
	for _, v := range []struct {
		what     string
		now, was any
	}{
		{"front.http.head_within", time.Duration(h.HeadWithin), time.Duration(d.Front.HTTP.HeadWithin)},
		{"front.http.body_within", time.Duration(h.BodyWithin), time.Duration(d.Front.HTTP.BodyWithin)},
		{"front.http.keep_idle", time.Duration(h.KeepIdle), time.Duration(d.Front.HTTP.KeepIdle)},
		{"transport.http.settle", time.Duration(t.Settle), time.Duration(d.Transport.HTTP.Settle)},
		{"transport.http.resting", t.Resting, d.Transport.HTTP.Resting},
		{"log.level", s.Log.Level, d.Log.Level},
		{"log.format", s.Log.Format, d.Log.Format},
	} {
		if v.now != v.was {
			on = append(on, fmt.Sprintf("%s = %v (default %v)", v.what, v.now, v.was))
		}
	}
	return on
}
