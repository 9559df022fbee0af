package operator

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"molepaddle/internal/decide/limit"
	"molepaddle/internal/process/strict"
)

func TestDefaultsWithoutSettings(t *testing.T) {
	s, err := Load("")
	if err != nil || len(s.Describe()) != 0 {
		t.Fatalf("%v, %v", s, err)
	}
	if s, err = Parse("f", nil); err != nil || len(s.Describe()) != 0 {
		t.Fatalf("%v, %v", s, err)
	}
}

// The defaults allow a client 2 s for a request's head, and close a bad client's connection within 3 s.
func TestDefaultTimeoutsForBadClients(t *testing.T) {
	h := Default().Front.HTTP
	if head, body := time.Duration(h.HeadWithin), time.Duration(h.BodyWithin); head < 2200*time.Millisecond || max(head, body) > 2700*time.Millisecond {
		t.Fatal("head or body may take too long, or not long enough")
	}
}

func TestShippedFile(t *testing.T) {
	s, err := Load("../../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	if on := s.Describe(); len(on) != 0 {
		t.Fatalf("the shipped file switches on %q", on)
	}
}

func TestValues(t *testing.T) {
	s, err := Parse("f", []byte(`
[front.http]
head_within = "2s"
[[front.http.listen]]
address = "127.0.0.1:9000"
[[front.http.listen]]
unix = "/run/x.sock"
[transport.http]
resting = 7
`))
	if err != nil {
		t.Fatal(err)
	}
	if time.Duration(s.Front.HTTP.HeadWithin) != 2*time.Second || len(s.Front.HTTP.Listen) != 2 || s.Transport.HTTP.Resting != 7 ||
		time.Duration(s.Front.HTTP.BodyWithin) != 2*time.Second {
		t.Fatalf("%+v", s)
	}
	if on := s.Describe(); len(on) != 4 {
		t.Fatalf("on: %q", on)
	}
}

// Errors are one line that names the file, the line and the key.
func TestErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[front.http]\nhead_witin = \"1s\"\n", "f.toml:2: front.http.head_witin: not known"},
		{"\n\n[gatway]\nx = 1\n", "f.toml:3: gatway"},
		{"[front.http]\n\nhead_within = 1500\n", "f.toml:3: front.http.head_within"},
		{"[front.http]\nhead_within = \"1500\"\n", "f.toml:2: front.http.head_within"},
		{"[front.http]\nbody_within = \"10h\"\n", "f.toml:2: front.http.body_within: must be from 50ms to 1m0s"},
		{"[transport.http]\nsettle = \"1ms\"\nresting = 0\n", "f.toml:3: transport.http.resting"},
		{"[transport.http]\nresting = \"many\"\n", "f.toml:2: transport.http.resting"},
		{"[[front.http.listen]]\naddress = \"127.0.0.1:1\"\n[[front.http.listen]]\naddress = \"127.0.0.1:2\"\nunix = \"/x\"\n",
			"f.toml:5: front.http.listen[1].unix: excludes address"},
		{"[[front.http.listen]]\n", "f.toml:1: front.http.listen[0]: needs address or unix"},
		{"[[front.http.listen]]\naddress = \"127.0.0.1:http\"\n", "f.toml:2: front.http.listen[0].address"},
		{"[fleet]\nleast = 20\n", "f.toml:1: fleet.most: must be from 20"},
		{"[fleet]\non = true\nquestions = 0.0\n", "f.toml:3: fleet.questions: must be"},
		{"[fleet]\nkeep_idle = \"1ms\"\n", "f.toml:2: fleet.keep_idle: must be"},
		{"[front.http\n", "f.toml:1:"},
		{"[front.http]\nhead_within = \"1s\"\nhead_within = \"1s\"\n", "f.toml"},
	} {
		_, err := Parse("f.toml", []byte(c.text))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: said %v, want %s", c.text, err, c.want)
		}
	}
}

const nearGatewayFile = "[gateway]\nname = \"a\"\nplain = true\n%s[[gateway.site]]\nname = \"b\"\n[[gateway.site.peer]]\nname = \"b\"\naddress = \"127.0.0.1:1\"\n%s"

func TestGatewayLimits(t *testing.T) {
	s, err := Parse("f", fmt.Appendf(nil, nearGatewayFile, "least = 20\n", "[[gateway.class]]\nname = \"order\"\npart = 0.6\n"))
	if err != nil {
		t.Fatal(err)
	}
	o, err := s.Gateway.Limits([]string{"look", "order", "send"})
	if err != nil || o.Law != limit.Gradient || o.MinWindow != 20 || len(o.Classes) != 3 ||
		math.Abs(o.Classes[0].Share-0.2) > 1e-9 || o.Classes[1].Share != 0.6 || math.Abs(o.Classes[2].Share-0.2) > 1e-9 {
		t.Errorf("%+v, %v", o, err)
	}
	if _, err := s.Gateway.Limits([]string{"look"}); err == nil || err.Error() != `class[0].name: no class "order"` {
		t.Errorf("said %v", err)
	}
	for _, c := range []struct{ more, classes, want string }{
		{"law = \"vegas\"\n", "", "f.toml:4: gateway.law: no law"},
		{"least = 0\n", "", "f.toml:4: gateway.least: must be"},
		{"[[gateway.site]]\nname = \"c\"\nproof_within = \"2m\"\n", "", "f.toml:6: gateway.site[0].proof_within: must be"},
		{"", "[[gateway.class]]\nname = \"x\"\npart = 1.5\n", "f.toml:11: gateway.class[0].part"},
		{"", "[[gateway.class]]\nname = \"x\"\n[[gateway.class]]\nname = \"x\"\n", "f.toml:12: gateway.class[1].name"},
		{"", "[[gateway.class]]\nname = \"x\"\npart = 0.7\n[[gateway.class]]\nname = \"y\"\npart = 0.4\n", "f.toml:14: gateway.class[1].part"},
	} {
		if _, err := Parse("f.toml", fmt.Appendf(nil, nearGatewayFile, c.more, c.classes)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: said %v, want %s", c.more+c.classes, err, c.want)
		}
	}
	if _, err := Parse("f.toml", []byte("[[gateway.class]]\nname = \"x\"\n")); err == nil || !strings.Contains(err.Error(), "gateway.class: needs a site") {
		t.Errorf("said %v", err)
	}
}

func TestUnreadableFiles(t *testing.T) {
	dir := t.TempDir()
	if _, err := Load(filepath.Join(dir, "none")); err == nil {
		t.Error("a file that is not there was read")
	}
	if _, err := Load(dir); err == nil {
		t.Error("a folder was read")
	}
	long := filepath.Join(dir, "long")
	if err := os.WriteFile(long, []byte(strings.Repeat("#\n", strict.MaxFile)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(long); err == nil || !strings.Contains(err.Error(), "longer") {
		t.Errorf("said %v", err)
	}
}

// Parsing any text returns valid settings or an error of one line.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "[front.http]\nhead_within = \"1s\"", "[[front.http.listen]]\nunix=\"\"", "a=1\na=2", "\x00", "x.y.z = [1, {a=2}]"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than a line: %q", err)
			}
			return
		}
		if key, err := s.validate(); err != nil {
			t.Errorf("%s: %v", key, err)
		}
	})
}
