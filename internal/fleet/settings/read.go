package settings

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pelletier/go-toml/v2"
)

// Finding is one thing wrong with a settings file.
type Finding struct {
	// File is the file's name as it was given; Key the TOML key, "bnds.ack_ms", or "line 3, column 7" where the file can't
	// be read as TOML.
	File, Key string
	// Text is what is wrong.
	Text string
}

func (f Finding) String() string { return f.File + ": " + f.Key + ": " + f.Text }

// Findings is the error that tells all findings of a file.
type Findings []Finding

// Error is the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// FromEnv loads the file that EnvFile names.
func FromEnv() (Settings, error) {
	path := os.Getenv(EnvFile)
	if path == "" {
		return Settings{}, errors.Errorf("%s is not set: it gives the path of the settings file", EnvFile)
	}
	return Load(path)
}

// Load reads and checks the file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings file")
	}
	return Parse(path, data)
}

// Parse checks the settings in data; name is the file's, for the findings. An error of type Findings tells them all, one
// a line, each as "file: key: what is wrong"; it is nil only when the settings may be used.
func Parse(name string, data []byte) (Settings, error) {
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		key, text := "not TOML", err.Error()
		var where *toml.DecodeError
		if errors.As(err, &where) {
			line, column := where.Position()
			key = fmt.Sprintf("line %d, column %d", line, column)
		}
		return Settings{}, Findings{{File: name, Key: key, Text: text}}
	}
	var found Findings
	s := read(table{file: name, found: &found, values: tree})
	if len(found) > 0 {
		return Settings{}, found
	}
	return s, nil
}

// Rules of single values.
var (
	ruleGiven   = validation.Required.Error("must be given and not be empty")
	ruleIP      = validation.NewStringRule(isIPv4, "must be an IPv4 address")
	ruleAddress = validation.NewStringRule(isAddress, "must be IP:port with an IPv4 address and a port above 0")
	ruleListen  = validation.NewStringRule(isListen, "must be IP:port with an IPv4 address")
	rulePorts   = []validation.Rule{
		ruleGiven,
		validation.Length(2, 2).Error("must be two ports"),
		validation.Each(ruleGiven, validation.Min(1).Error("must be 1 to 65535"),
			validation.Max(math.MaxUint16).Error("must be 1 to 65535")),
		validation.By(func(v any) error {
			if p := v.([]int); p[0] > p[1] {
				return errors.New("the first port must not be above the last")
			}
			return nil
		}),
	}
	ruleNotNegative = validation.Min(0.0).Error("must not be negative")
	rulePositive    = []validation.Rule{validation.Required.Error("must be above 0"), ruleNotNegative}
)

func isIPv4(s string) bool {
	a, err := netip.ParseAddr(s)
	return err == nil && a.Is4()
}

func isListen(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Addr().Is4()
}

func isAddress(s string) bool { return isListen(s) && !strings.HasSuffix(s, ":0") }

// read takes the settings out of the file's top table.
func read(top table) Settings {
	bind, caps, survive := top.table("bind"), top.table("caps"), top.table("survive")
	bounds, provider := top.table("bnds"), top.table("provider")
	s := Settings{
		Nodename:  top.text("nodename", ruleGiven),
		Role:      top.text("role"),
		Tier:      top.text("tier"),
		Roles:     top.texts("roles"),
		IP:        top.text("ip", ruleGiven, ruleIP),
		Zone:      top.text("az"),
		Region:    top.text("rgn"),
		Ports:     top.ports("port_range"),
		Seeds:     top.texts("peers", ruleGiven, ruleAddress),
		Bootstrap: top.flag("bootstrap"),
		Counted:   top.flag("voting"),
		DataDir:   top.text("datadir"),
		Discovery: top.text("disco"),
		Ingress:   top.text("ingress"),
		Heartbeat: top.span("heartbeat_ms", time.Millisecond, time.Second, rulePositive...),
		Clauses:   top.texts("clauses"),
		Zones:     top.table("azs").allTexts(),
		Bind: Bind{
			Edge:    bind.text("edge", ruleListen),
			Ready:   bind.text("readyz", ruleListen),
			Control: bind.text("ctl", ruleListen),
		},
		Limits: Limits{
			CPUFraction: caps.number("cpu_frac", 0, ruleNotNegative),
			CPUs:        caps.number("ncpu", 0, ruleNotNegative),
			MemoryMB:    caps.number("ram_mb", 0, ruleNotNegative),
			Files:       caps.count("nofile", ruleNotNegative),
			LinkMbps:    caps.number("bw_mbps", 0, ruleNotNegative),
			DiskMB:      caps.number("disk_mb", 0, ruleNotNegative),
		},
		Survive: Survive{
			Nodes:   survive.count("nodes", ruleNotNegative),
			Zones:   survive.count("azs", ruleNotNegative),
			Regions: survive.count("rgns", ruleNotNegative),
		},
		Bounds: Bounds{
			PeerLag:     bounds.span("peer_lag_s", time.Second, 3*time.Second, ruleNotNegative),
			AddrReuse:   bounds.span("addr_reuse_s", time.Second, 2*time.Second, ruleNotNegative),
			Contact:     bounds.span("contact_ms", time.Millisecond, 3*time.Second, rulePositive...),
			Ack:         bounds.span("ack_ms", time.Millisecond, 4*time.Second, rulePositive...),
			Sync:        bounds.span("sync_s", time.Second, 4*time.Second, ruleNotNegative),
			Drain:       bounds.span("drain_ms", time.Millisecond, 3*time.Second, rulePositive...),
			Grace:       bounds.span("grace_s", time.Second, 8*time.Second, rulePositive...),
			LossSlack:   bounds.span("loss_slack_ms", time.Millisecond, 200*time.Millisecond, ruleNotNegative),
			Apply:       bounds.span("apply_ms", time.Millisecond, 2*time.Second, rulePositive...),
			Downgrade:   bounds.span("downgrade_ms", time.Millisecond, 250*time.Millisecond, ruleNotNegative),
			Skew:        bounds.span("skew_ms", time.Millisecond, 5*time.Second, ruleNotNegative),
			RetryRatio:  bounds.number("retry_ratio", 0.2, ruleNotNegative),
			RetryWindow: bounds.span("retry_window_s", time.Second, 10*time.Second, rulePositive...),
			RetryExtra:  bounds.number("retry_extra", 54, ruleNotNegative),
			Heal:        bounds.span("heal_s", time.Second, 12*time.Second, ruleNotNegative),
			Transit:     bounds.span("transit_ms", time.Millisecond, 120*time.Millisecond, ruleNotNegative),
			Again:       bounds.span("again_s", time.Second, 0, ruleNotNegative),
			Fencing:     bounds.flag("fencing"),
			Lease:       bounds.span("lease_ms", time.Millisecond, 3*time.Second, ruleNotNegative),
			Unfreeze:    bounds.span("unfreeze_ms", time.Millisecond, 300*time.Millisecond, ruleNotNegative),
		},
		Provider: Provider{
			Address: provider.text("address", ruleAddress),
			Rate:    provider.number("rate_s", 1, ruleNotNegative),
			Jobs:    provider.texts("jobs"),
			Delay:   provider.span("delay_ms", time.Millisecond, time.Second, ruleNotNegative),
		},
	}
	return s
}

// table is a table of the file, with its place.
type table struct {
	file   string
	prefix string // "bnds."; empty for the top
	found  *Findings
	values map[string]any
}

func (t table) add(key, format string, args ...any) {
	*t.found = append(*t.found, Finding{File: t.file, Key: t.prefix + key, Text: fmt.Sprintf(format, args...)})
}

func (t table) check(key string, value any, rules ...validation.Rule) bool {
	err := validation.Validate(value, rules...)
	if err != nil {
		t.add(key, "%s", err.Error())
	}
	return err == nil
}

// table is the table at key, an empty one where there is none.
func (t table) table(key string) table {
	in := table{file: t.file, prefix: t.prefix + key + ".", found: t.found}
	v, ok := t.values[key]
	if !ok {
		return in
	}
	if in.values, ok = v.(map[string]any); !ok {
		t.add(key, "must be a table")
	}
	return in
}

// text is the string at key, empty where there is none.
func (t table) text(key string, rules ...validation.Rule) string {
	s := ""
	if v, ok := t.values[key]; ok {
		if s, ok = v.(string); !ok {
			t.add(key, "must be a string")
			return ""
		}
	}
	t.check(key, s, rules...)
	return s
}

// texts is the list of strings at key; the rules are for each.
func (t table) texts(key string, rules ...validation.Rule) []string {
	v, ok := t.values[key]
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.add(key, "must be a list of strings")
		return nil
	}
	out := make([]string, 0, len(list))
	for i, item := range list {
		s, ok := item.(string)
		at := fmt.Sprintf("%s[%d]", key, i)
		if !ok {
			t.add(at, "must be a string")
			continue
		}
		t.check(at, s, rules...)
		out = append(out, s)
	}
	return out
}

// allTexts are all keys of the table, whose values must be strings.
func (t table) allTexts() map[string]string {
	out := make(map[string]string, len(t.values))
	for _, key := range t.keys() {
		out[key] = t.text(key, ruleGiven)
	}
	return out
}

// keys are the table's keys in order, so that findings come in the same order each time.
func (t table) keys() []string {
	out := make([]string, 0, len(t.values))
	for key := range t.values {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// flag is true or false at key, false where there is none.
func (t table) flag(key string) bool {
	v, ok := t.values[key]
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.add(key, "must be true or false")
	}
	return b
}

// real turns a TOML number into a float.
func real(v any) (float64, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	return 0, false
}

// number is the number at key, whole or not; missing where there is none.
func (t table) number(key string, missing float64, rules ...validation.Rule) float64 {
	v, ok := t.values[key]
	if !ok {
		return missing
	}
	n, ok := real(v)
	if !ok {
		t.add(key, "must be a number")
		return missing
	}
	if !t.check(key, n, rules...) {
		return missing
	}
	return n
}

// count is the whole number at key, 0 where there is none; 3.0 is whole too.
func (t table) count(key string, rules ...validation.Rule) int {
	n := t.number(key, 0, rules...)
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		t.add(key, "must be a whole number of at most 31 bits")
		return 0
	}
	return int(n)
}

// span is the time at key, given in units, whole or not; missing where there is none.
func (t table) span(key string, unit, missing time.Duration, rules ...validation.Rule) time.Duration {
	n := t.number(key, float64(missing)/float64(unit), rules...)
	ns := math.Round(n * float64(unit))
	if ns >= math.MaxInt64 {
		t.add(key, "the time is too long")
		return missing
	}
	return time.Duration(ns)
}

// ports are the two ports at key.
func (t table) ports(key string) [2]int {
	list, ok := t.values[key].([]any)
	if _, given := t.values[key]; given && !ok {
		t.add(key, "must be a list of two ports")
		return [2]int{}
	}
	var ports []int
	for i, v := range list {
		n, ok := real(v)
		if !ok || n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
			t.add(fmt.Sprintf("%s[%d]", key, i), "must be a whole number")
			return [2]int{}
		}
		ports = append(ports, int(n))
	}
	if !t.check(key, ports, rulePorts...) {
		return [2]int{}
	}
	return [2]int{ports[0], ports[1]}
}
