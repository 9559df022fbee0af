package operator

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/protocol/transport"
)

// FrontFastCGI configures the front end for web servers over FastCGI. Without an entry in Listen it is off.
type FrontFastCGI struct {
	Listen      []Listen `toml:"listen"`
	Peers       []string `toml:"peers"`       // allowed over TCP: addresses or prefixes; empty: all
	Connections int      `toml:"connections"` // of web servers, taken from the descriptors
	Requests    int      `toml:"requests"`    // open at once on one connection
	HeadWithin  Duration `toml:"head_within"` // time-out for a request's params
	BodyWithin  Duration `toml:"body_within"` // time-out for its body
	KeepIdle    Duration `toml:"keep_idle"`   // time-out of an idle connection
}

// TransportFastCGI selects the servers that speak FastCGI. Without an entry in Servers it is off.
type TransportFastCGI struct {
	Servers []string          `toml:"servers"` // "all", "unix", "zone:NAME", "kind:NAME", prefixes, addresses
	Begins  string            `toml:"begins"`  // "whole": with the complete request; "params": with its params
	Params  map[string]string `toml:"params"`  // added to those of each request
}

// On reports whether web servers may connect.
func (f *FrontFastCGI) On() bool { return len(f.Listen) > 0 }

// Allowed returns a function that reports whether an address may connect over TCP; nil: all may.
func (f *FrontFastCGI) Allowed() func(net.IP) bool {
	if len(f.Peers) == 0 {
		return nil
	}
	var all []netip.Prefix
	for _, p := range f.Peers {
		prefix, _ := parsePrefix(p)
		all = append(all, prefix)
	}
	return func(ip net.IP) bool {
		addr, ok := netip.AddrFromSlice(ip)
		return ok && slices.ContainsFunc(all, func(p netip.Prefix) bool { return p.Contains(addr.Unmap()) })
	}
}

// parsePrefix parses an address or a prefix. An address becomes a prefix of its full length.
func parsePrefix(text string) (netip.Prefix, error) {
	if strings.Contains(text, "/") {
		p, err := netip.ParsePrefix(text)
		return p.Masked(), err
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	return addr.Prefix(addr.BitLen())
}

// parseServerGroup parses an entry of Servers that names a zone or a kind of servers.
func parseServerGroup(entry string) (what, name string, ok bool) {
	what, name, ok = strings.Cut(entry, ":")
	return what, name, ok && (what == "zone" || what == "kind") && name != ""
}

// Options returns the options of the transport, given the numbers of the deployment's zones and kinds; nil: no
// server speaks FastCGI. The error names the entry of a zone or a kind that the deployment doesn't have.
func (t *TransportFastCGI) Options(zones, kindsOf map[string]int) (*transport.FastCGI, error) {
	if len(t.Servers) == 0 {
		return nil, nil
	}
	inZone, ofKind := map[int]bool{}, map[int]bool{}
	var prefixes []netip.Prefix
	all, unix, exact := false, false, map[string]bool{}
	for i, s := range t.Servers {
		if what, name, ok := parseServerGroup(s); ok {
			numbers, into := zones, inZone
			if what == "kind" {
				numbers, into = kindsOf, ofKind
			}
			n, known := numbers[name]
			if !known {
				return nil, fmt.Errorf("operator: transport.fastcgi.servers[%d]: the deployment has no %s %q",
					i, what, name)
			}
			into[n] = true
			continue
		}
		if p, err := parsePrefix(s); err == nil {
			prefixes = append(prefixes, p)
			continue
		}
		all, unix, exact[s] = all || s == "all", unix || s == "unix", true
	}
	o := &transport.FastCGI{Early: t.Begins == "params", Serves: func(s *cluster.Server) bool {
		if all || exact[s.Dial] || unix && strings.HasPrefix(s.Dial, "unix:") ||
			inZone[s.Entry.Zone] || ofKind[s.Entry.Kind] {
			return true
		}
		at, err := netip.ParseAddrPort(s.Dial)
		return err == nil && slices.ContainsFunc(prefixes,
			func(p netip.Prefix) bool { return p.Contains(at.Addr().Unmap()) })
	}}
	for name, value := range t.Params {
		o.Params = append(o.Params, [2]string{name, value})
	}
	slices.SortFunc(o.Params, func(a, b [2]string) int { return strings.Compare(a[0], b[0]) })
	return o, nil
}

func (s *Settings) defaultFastCGI() {
	f := &s.Front.FastCGI
	f.Connections, f.Requests = 32, 16
	f.HeadWithin, f.BodyWithin, f.KeepIdle = Duration(2500*time.Millisecond), Duration(2*time.Second),
		Duration(time.Minute)
	s.Transport.FastCGI.Begins = "whole"
}

// validate returns the first invalid key and its error.
func (f *FrontFastCGI) validate() (key string, err error) {
	for _, d := range []struct {
		key         string
		value       Duration
		least, most time.Duration
	}{
		{"head_within", f.HeadWithin, 50 * time.Millisecond, time.Minute},
		{"body_within", f.BodyWithin, 50 * time.Millisecond, time.Minute},
		{"keep_idle", f.KeepIdle, 10 * time.Millisecond, time.Hour},
	} {
		if v := time.Duration(d.value); v < d.least || v > d.most {
			return d.key, fmt.Errorf("must be from %v to %v, is %v", d.least, d.most, v)
		}
	}
	for _, n := range []struct {
		key   string
		value int
		most  int
	}{{"connections", f.Connections, 4096}, {"requests", f.Requests, 1024}} {
		if n.value < 1 || n.value > n.most {
			return n.key, fmt.Errorf("must be from 1 to %d, is %d", n.most, n.value)
		}
	}
	for i, p := range f.Peers {
		if _, err := parsePrefix(p); err != nil {
			return "peers[" + strconv.Itoa(i) + "]", fmt.Errorf("neither an address nor a prefix: %q", p)
		}
	}
	return validateListen("listen", f.Listen)
}

// validate returns the first invalid key and its error.
func (t *TransportFastCGI) validate() (key string, err error) {
	if t.Begins != "whole" && t.Begins != "params" {
		return "begins", fmt.Errorf("must be \"whole\" or \"params\", is %q", t.Begins)
	}
	for i, s := range t.Servers {
		_, bad := parsePrefix(s)
		if _, port, err := net.SplitHostPort(s); err == nil && port != "" {
			bad = nil
		}
		if _, _, ok := parseServerGroup(s); ok {
			bad = nil
		}
		if bad != nil && s != "all" && s != "unix" && !strings.HasPrefix(s, "unix:/") {
			return "servers[" + strconv.Itoa(i) + "]",
				fmt.Errorf("neither \"all\", \"unix\", a zone, a kind, a prefix nor an address: %q", s)
		}
	}
	total := 0
	for name, value := range t.Params {
		if total += len(name) + len(value); name == "" || total > 8<<10 || strings.ContainsAny(name+value, "\x00\r\n") {
			return "params." + name, errors.New("empty name, a NUL or line break, or params above 8 KiB in total")
		}
	}
	return "", nil
}

// describeFastCGI returns the lines that Describe shows for the tables of FastCGI.
func (s *Settings) describeFastCGI() (on []string) {
	f, t := &s.Front.FastCGI, &s.Transport.FastCGI
	for _, l := range f.Listen {
		on = append(on, "web servers over FastCGI at "+l.String()+
			fmt.Sprintf(", %d connections of %d requests", f.Connections, f.Requests))
	}
	if len(f.Peers) > 0 && f.On() {
		on = append(on, "FastCGI only from "+strings.Join(f.Peers, ", "))
	}
	if len(t.Servers) > 0 {
		on = append(on, "servers that speak FastCGI: "+strings.Join(t.Servers, ", ")+"; they begin a request when "+
			map[string]string{
				"whole": "it is complete", "params": "its params are, and it may have run from then on",
			}[t.Begins])
	}
	return on
}
