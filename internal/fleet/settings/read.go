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
	for i, finding := range f {
		lines[i] = finding.String()
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
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, column := decodeErr.Position()
			key = fmt.Sprintf("line %d, column %d", line, column)
		}
		return Settings{}, Findings{{File: name, Key: key, Text: text}}
	}
	var findings Findings
	s := readSettings(table{file: name, findings: &findings, values: tree})
	if len(findings) > 0 {
		return Settings{}, findings
	}
	return s, nil
}

// Rules of single values.
var (
	ruleRequired = validation.Required.Error("must be given and not be empty")
	ruleIP       = validation.NewStringRule(isIPv4, "must be an IPv4 address")
	ruleAddress  = validation.NewStringRule(isAddress, "must be IP:port with an IPv4 address and a port above 0")
	ruleListen   = validation.NewStringRule(isListen, "must be IP:port with an IPv4 address")
	rulePorts    = []validation.Rule{
		ruleRequired,
		validation.Length(2, 2).Error("must be two ports"),
		validation.Each(ruleRequired, validation.Min(1).Error("must be 1 to 65535"),
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

// readSettings takes the settings out of the file's top table.
func readSettings(top table) Settings {
	bind, caps, survive := top.subtable("bind"), top.subtable("caps"), top.subtable("survive")
	bounds, provider := top.subtable("bnds"), top.subtable("provider")
	s := Settings{
		NodeName:  top.stringAt("nodename", ruleRequired),
		Role:      top.stringAt("role"),
		Tier:      top.stringAt("tier"),
		Roles:     top.stringsAt("roles"),
		IP:        top.stringAt("ip", ruleRequired, ruleIP),
		Zone:      top.stringAt("az"),
		Region:    top.stringAt("rgn"),
		Ports:     top.portRangeAt("port_range"),
		Seeds:     top.stringsAt("peers", ruleRequired, ruleAddress),
		Bootstrap: top.boolAt("bootstrap"),
		Voting:    top.boolAt("voting"),
		DataDir:   top.stringAt("datadir"),
		Discovery: top.stringAt("disco"),
		Ingress:   top.stringAt("ingress"),
		Heartbeat: top.durationAt("heartbeat_ms", time.Millisecond, time.Second, rulePositive...),
		Clauses:   top.stringsAt("clauses"),
		Zones:     top.subtable("azs").stringMap(),
		Bind: Bind{
			Edge:    bind.stringAt("edge", ruleListen),
			Ready:   bind.stringAt("readyz", ruleListen),
			Control: bind.stringAt("ctl", ruleListen),
		},
		Limits: Limits{
			CPUFraction: caps.numberAt("cpu_frac", 0, ruleNotNegative),
			CPUs:        caps.numberAt("ncpu", 0, ruleNotNegative),
			MemoryMB:    caps.numberAt("ram_mb", 0, ruleNotNegative),
			Files:       caps.integerAt("nofile", ruleNotNegative),
			LinkMbps:    caps.numberAt("bw_mbps", 0, ruleNotNegative),
			DiskMB:      caps.numberAt("disk_mb", 0, ruleNotNegative),
		},
		Survive: Survive{
			Nodes:   survive.integerAt("nodes", ruleNotNegative),
			Zones:   survive.integerAt("azs", ruleNotNegative),
			Regions: survive.integerAt("rgns", ruleNotNegative),
		},
		Bounds: Bounds{
			PeerLag:     bounds.durationAt("peer_lag_s", time.Second, 3*time.Second, ruleNotNegative),
			AddrReuse:   bounds.durationAt("addr_reuse_s", time.Second, 2*time.Second, ruleNotNegative),
			Contact:     bounds.durationAt("contact_ms", time.Millisecond, 3*time.Second, rulePositive...),
			Ack:         bounds.durationAt("ack_ms", time.Millisecond, 4*time.Second, rulePositive...),
			Sync:        bounds.durationAt("sync_s", time.Second, 4*time.Second, ruleNotNegative),
			Drain:       bounds.durationAt("drain_ms", time.Millisecond, 3*time.Second, rulePositive...),
			Grace:       bounds.durationAt("grace_s", time.Second, 8*time.Second, rulePositive...),
			LossSlack:   bounds.durationAt("loss_slack_ms", time.Millisecond, 200*time.Millisecond, ruleNotNegative),
			Apply:       bounds.durationAt("apply_ms", time.Millisecond, 2*time.Second, rulePositive...),
			Downgrade:   bounds.durationAt("downgrade_ms", time.Millisecond, 250*time.Millisecond, ruleNotNegative),
			Skew:        bounds.durationAt("skew_ms", time.Millisecond, 5*time.Second, ruleNotNegative),
			RetryRatio:  bounds.numberAt("retry_ratio", 0.2, ruleNotNegative),
			RetryWindow: bounds.durationAt("retry_window_s", time.Second, 10*time.Second, rulePositive...),
			RetryExtra:  bounds.numberAt("retry_extra", 54, ruleNotNegative),
			Heal:        bounds.durationAt("heal_s", time.Second, 12*time.Second, ruleNotNegative),
			Transit:     bounds.durationAt("transit_ms", time.Millisecond, 120*time.Millisecond, ruleNotNegative),
			Again:       bounds.durationAt("again_s", time.Second, 0, ruleNotNegative),
			Fencing:     bounds.boolAt("fencing"),
			Lease:       bounds.durationAt("lease_ms", time.Millisecond, 3*time.Second, ruleNotNegative),
			Unfreeze:    bounds.durationAt("unfreeze_ms", time.Millisecond, 300*time.Millisecond, ruleNotNegative),
		},
		Provider: Provider{
			Address: provider.stringAt("address", ruleAddress),
			Rate:    provider.numberAt("rate_s", 1, ruleNotNegative),
			Jobs:    provider.stringsAt("jobs"),
			Delay:   provider.durationAt("delay_ms", time.Millisecond, time.Second, ruleNotNegative),
		},
	}
	return s
}

// subtable is a table of the file, with its place.
type table struct {
	file     string
	prefix   string // "bnds."; empty for the top
	findings *Findings
	values   map[string]any
}

func (t table) addFinding(key, format string, args ...any) {
	*t.findings = append(*t.findings, Finding{File: t.file, Key: t.prefix + key, Text: fmt.Sprintf(format, args...)})
}

func (t table) validate(key string, value any, rules ...validation.Rule) bool {
	err := validation.Validate(value, rules...)
	if err != nil {
		t.addFinding(key, "%s", err.Error())
	}
	return err == nil
}

// subtable is the table at key, an empty one where there is none.
func (t table) subtable(key string) table {
	in := table{file: t.file, prefix: t.prefix + key + ".", findings: t.findings}
	v, ok := t.values[key]
	if !ok {
		return in
	}
	if in.values, ok = v.(map[string]any); !ok {
		t.addFinding(key, "must be a table")
	}
	return in
}

// stringAt is the string at key, empty where there is none.
func (t table) stringAt(key string, rules ...validation.Rule) string {
	s := ""
	if v, ok := t.values[key]; ok {
		if s, ok = v.(string); !ok {
			t.addFinding(key, "must be a string")
			return ""
		}
	}
	t.validate(key, s, rules...)
	return s
}

// stringsAt is the list of strings at key; the rules are for each.
func (t table) stringsAt(key string, rules ...validation.Rule) []string {
	v, ok := t.values[key]
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.addFinding(key, "must be a list of strings")
		return nil
	}
	out := make([]string, 0, len(list))
	for i, item := range list {
		s, ok := item.(string)
		at := fmt.Sprintf("%s[%d]", key, i)
		if !ok {
			t.addFinding(at, "must be a string")
			continue
		}
		t.validate(at, s, rules...)
		out = append(out, s)
	}
	return out
}

// stringMap are all keys of the table, whose values must be strings.
func (t table) stringMap() map[string]string {
	out := make(map[string]string, len(t.values))
	for _, key := range t.sortedKeys() {
		out[key] = t.stringAt(key, ruleRequired)
	}
	return out
}

// sortedKeys are the table's keys in order, so that findings come in the same order each time.
func (t table) sortedKeys() []string {
	out := make([]string, 0, len(t.values))
	for key := range t.values {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// boolAt is true or false at key, false where there is none.
func (t table) boolAt(key string) bool {
	v, ok := t.values[key]
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.addFinding(key, "must be true or false")
	}
	return b
}

// toFloat turns a TOML number into a float.
func toFloat(v any) (float64, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	return 0, false
}

// numberAt is the number at key, whole or not; missing where there is none.
func (t table) numberAt(key string, defaultValue float64, rules ...validation.Rule) float64 {
	v, ok := t.values[key]
	if !ok {
		return defaultValue
	}
	n, ok := toFloat(v)
	if !ok {
		t.addFinding(key, "must be a number")
		return defaultValue
	}
	if !t.validate(key, n, rules...) {
		return defaultValue
	}
	return n
}

// integerAt is the whole number at key, 0 where there is none; 3.0 is whole too.
func (t table) integerAt(key string, rules ...validation.Rule) int {
	n := t.numberAt(key, 0, rules...)
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		t.addFinding(key, "must be a whole number of at most 31 bits")
		return 0
	}
	return int(n)
}

// durationAt is the time at key, given in units, whole or not; missing where there is none.
func (t table) durationAt(key string, unit, defaultValue time.Duration, rules ...validation.Rule) time.Duration {
	n := t.numberAt(key, float64(defaultValue)/float64(unit), rules...)
	ns := math.Round(n * float64(unit))
	if ns >= math.MaxInt64 {
		t.addFinding(key, "the time is too long")
		return defaultValue
	}
	return time.Duration(ns)
}

// portRangeAt are the two ports at key.
func (t table) portRangeAt(key string) [2]int {
	list, ok := t.values[key].([]any)
	if _, given := t.values[key]; given && !ok {
		t.addFinding(key, "must be a list of two ports")
		return [2]int{}
	}
	var ports []int
	for i, v := range list {
		n, ok := toFloat(v)
		if !ok || n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
			t.addFinding(fmt.Sprintf("%s[%d]", key, i), "must be a whole number")
			return [2]int{}
		}
		ports = append(ports, int(n))
	}
	if !t.validate(key, ports, rulePorts...) {
		return [2]int{}
	}
	return [2]int{ports[0], ports[1]}
}
