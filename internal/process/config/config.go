// Package config reads the platform's configuration of an agent: its file at the start, and later versions of it
// while the agent runs. The package holds values only; a Config is not changed after it is read, so any goroutine may
// read it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/protocol/roster"
	"molepaddle/internal/wire"
	"molepaddle/policy"
)

// MinSockets is the minimum number of file descriptors of an agent.
const MinSockets = 64

// Limits is the resources that the machine allows the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the platform's configuration of an agent.
type Config struct {
	Name        string
	Listen      string
	Discovery   string
	Seed        uint64
	Limits      Limits
	Settings    settings.Settings
	RosterNames roster.Names   // numbers of the zones and kinds in endpoint lists
	Classes     map[string]int // class numbers by name
	Tenants     map[string]int
	InitialList cluster.List
	// Management is the address for operators' calls; empty: none.
	Management string

	keys any // parsed file without "known", compared by LoadUpdate
}

// managementVar is the environment variable for the management address, used where the file has none.
const managementVar = "EDGE_MANAGEMENT"

const (
	// mostGiveUpMs and maxAttempts bound the values of a file that is read while the agent runs.
	maxClientTimeoutMs, maxAttempts = 3600e3, 1000
)

// LoadUpdate reads and validates the file at path, which replaces old while the agent runs. The whole file is
// rejected if it lacks a key of old's file (other than "known"), or if a deadline or the number of attempts is out of
// range. The error names the file and the key.
func LoadUpdate(old *Config, path string) (*Config, error) {
	c, err := Load(path)
	if err == nil {
		err = c.checkUpdate(old)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) checkUpdate(old *Config) error {
	if key := missingKey(old.keys, c.keys); key != "" {
		return fmt.Errorf("config: %s: missing", key)
	}
	if n := c.Settings.Limits.MaxAttempts; n < 1 || n > maxAttempts {
		return fmt.Errorf("config: settings: limits.maxAttempts: must be from 1 to %d, is %d", maxAttempts, n)
	}
	for i, class := range c.Settings.Classes {
		if class.ClientTimeoutMs > maxClientTimeoutMs {
			return fmt.Errorf("config: settings: classes[%d].giveUpMs: must be at most %v, is %v",
				i, maxClientTimeoutMs, class.ClientTimeoutMs)
		}
	}
	return nil
}

// missingKey returns the first key that old has and now lacks; empty: none. Each object of a list must have the keys
// that all objects of old's list have.
func missingKey(old, now any) string {
	switch old := old.(type) {
	case map[string]any:
		have, is := now.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) {
			if _, has := have[key]; !is || !has {
				return key
			}
			if below := missingKey(old[key], have[key]); below != "" {
				return key + "." + below
			}
		}
	case []any:
		have, _ := now.([]any)
		if len(old) == 0 {
			return ""
		}
		common, isObject := old[0].(map[string]any)
		if !isObject {
			return ""
		}
		common = maps.Clone(common)
		for _, o := range old[1:] {
			other, _ := o.(map[string]any)
			maps.DeleteFunc(common, func(key string, _ any) bool { _, has := other[key]; return !has })
		}
		for i, n := range have {
			if below := missingKey(common, n); below != "" {
				return fmt.Sprintf("[%d].%s", i, below)
			}
		}
	}
	return ""
}

// Load reads and validates the file at path. Its error names the invalid key.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	return Parse(text)
}

// Parse parses and validates the text of a configuration.
func Parse(text []byte) (*Config, error) {
	var raw struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
		Manage    *string         `json:"management"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("config: %s: cannot be a %s", typeErr.Field, typeErr.Value)
		}
		return nil, fmt.Errorf("config: not valid JSON: %w", err)
	}
	c := &Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Limits: raw.Limits}
	if err := roster.CheckAddress(raw.Listen); err != nil {
		return nil, fmt.Errorf("config: listen: %w", err)
	}
	if err := roster.CheckAddress(raw.Discovery); err != nil {
		return nil, fmt.Errorf("config: discovery: %w", err)
	}
	var err error
	if raw.Manage != nil {
		if err := roster.CheckAddress(*raw.Manage); err != nil {
			return nil, fmt.Errorf("config: management: %w", err)
		}
		c.Management = *raw.Manage
	} else if at := os.Getenv(managementVar); at != "" {
		if err := roster.CheckAddress(at); err != nil {
			return nil, fmt.Errorf("%s: %w", managementVar, err)
		}
		c.Management = at
	}
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, fmt.Errorf("config: not valid JSON: %w", err)
	}
	delete(keys, "known")
	c.keys = keys
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: not 64 bits in hexadecimal: %q", raw.Seed)
	}
	switch l := raw.Limits; {
	case raw.Name == "":
		return nil, errors.New("config: name: missing")
	case !(l.Cores > 0) || l.Cores > 1024:
		return nil, fmt.Errorf("config: limits.cores: must be above 0 and at most 1024, is %v", l.Cores)
	case !(l.MemoryMB >= 16) || l.MemoryMB > 1<<24:
		return nil, fmt.Errorf("config: limits.memory_mb: must be 16 or above, is %v", l.MemoryMB)
	case l.Sockets < MinSockets:
		return nil, fmt.Errorf("config: limits.sockets: must be %d or above, is %d", MinSockets, l.Sockets)
	case len(raw.Settings) == 0:
		return nil, errors.New("config: settings: missing")
	}
	if c.Settings, err = wire.ParseSettings(raw.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var names struct {
		Sites []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(raw.Settings, &names); err != nil {
		return nil, fmt.Errorf("config: settings: failureDomains or shapes: %w", err)
	}
	// The policy validates its settings; creating one here returns its error at once.
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c.RosterNames = roster.Names{Sites: numberNames(names.Sites), Kinds: numberNames(names.Kinds)}
	c.Classes, c.Tenants = map[string]int{}, map[string]int{}
	for i, class := range c.Settings.Classes {
		if class.Name == "" {
			return nil, fmt.Errorf("config: settings: classes[%d].name: missing", i)
		}
		c.Classes[class.Name] = i
	}
	for i, tenant := range c.Settings.Tenants {
		c.Tenants[tenant.Name] = i
	}
	if len(raw.Known) > 0 {
		if c.InitialList, err = c.RosterNames.Parse(raw.Known); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	return c, nil
}

func numberNames(words []string) map[string]int {
	m := make(map[string]int, len(words))
	for i, w := range words {
		m[w] = i
	}
	return m
}
