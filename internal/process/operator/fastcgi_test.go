package operator

import (
	"net"
	"strings"
	"testing"

	"molepaddle/internal/decide/cluster"
)

// The servers that speak FastCGI are selected by address, zone and kind; allowed web servers by address.
func TestFastCGI(t *testing.T) {
	s, err := Parse("f.toml", []byte(`[front.fastcgi]
connections = 8
peers = ["10.0.0.7", "192.168.0.0/16"]
[[front.fastcgi.listen]]
address = "127.0.0.1:9000"
[[front.fastcgi.listen]]
unix = "/run/m.sock"
[transport.fastcgi]
servers = ["10.1.0.0/16", "10.2.0.3", "[fd00::1]:9000", "10.2.0.4:9001", "unix", "zone:b", "kind:k2"]
begins = "params"
[transport.fastcgi.params]
SCRIPT_FILENAME = "/srv/orders.php"
DOCUMENT_ROOT = "/srv"
`))
	if err != nil {
		t.Fatal(err)
	}
	o, err := s.Transport.FastCGI.Options(map[string]int{"a": 0, "b": 1}, map[string]int{"k1": 0, "k2": 1})
	if err != nil {
		t.Fatal(err)
	}
	for dial, want := range map[string]bool{"10.1.2.3:80": true, "10.2.0.3:1": true, "10.2.0.4:9001": true, "10.2.0.4:9000": false, "10.3.0.1:80": false,
		"[fd00::1]:9000": true, "unix:/run/a": true, "somewhere": false, "": false} {
		if o.Serves(&cluster.Server{Dial: dial}) != want {
			t.Errorf("%q: %v", dial, !want)
		}
	}
	for _, e := range []cluster.Entry{{Zone: 1}, {Kind: 1}} {
		if !o.Serves(&cluster.Server{Dial: "10.9.9.9:80", Entry: e}) {
			t.Errorf("%+v", e)
		}
	}
	if _, err := s.Transport.FastCGI.Options(map[string]int{"a": 0}, nil); err == nil || err.Error() != `operator: transport.fastcgi.servers[5]: the deployment has no zone "b"` {
		t.Error(err)
	}
	if !o.Early || len(o.Params) != 2 || o.Params[0][0] != "DOCUMENT_ROOT" {
		t.Errorf("%+v", o)
	}
	allowed := s.Front.FastCGI.Allowed()
	for ip, want := range map[string]bool{"10.0.0.7": true, "10.0.0.8": false, "192.168.3.4": true, "::1": false} {
		if allowed(net.ParseIP(ip)) != want {
			t.Errorf("%s: %v", ip, !want)
		}
	}
	on := strings.Join(s.Describe(), "\n")
	for _, want := range []string{"127.0.0.1:9000, 8 connections of 16", "Unix socket /run/m.sock", "only from 10.0.0.7", "may have run"} {
		if !strings.Contains(on, want) {
			t.Errorf("Describe lacks %q:\n%s", want, on)
		}
	}
	if d := Default(); d.Front.FastCGI.On() || len(d.Transport.FastCGI.Servers) > 0 || d.Front.FastCGI.Allowed() != nil || len(d.Describe()) > 0 {
		t.Error("FastCGI is on without a setting")
	}
	for text, want := range map[string]string{
		"[front.fastcgi]\nconnections = 0":                   "f.toml:2: front.fastcgi.connections: must be",
		"[front.fastcgi]\nrequests = 5000":                   "f.toml:2: front.fastcgi.requests: must be",
		"[front.fastcgi]\nkeep_idle = \"2h\"":                "f.toml:2: front.fastcgi.keep_idle: must be",
		"[front.fastcgi]\npeers = [\"web\"]":                 "f.toml:2: front.fastcgi.peers",
		"[[front.fastcgi.listen]]\naddress = \"9000\"":       "f.toml:2: front.fastcgi.listen[0].address",
		"[transport.fastcgi]\nbegins = \"soon\"":             "f.toml:2: transport.fastcgi.begins: must be",
		"[transport.fastcgi]\nservers = [\"order servers\"]": "f.toml:2: transport.fastcgi.servers",
		"[transport.fastcgi.params]\nA = \"a\\nb\"":          "f.toml:2: transport.fastcgi.params.A",
	} {
		if _, err := Parse("f.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: said %v", text, err)
		}
	}
}
