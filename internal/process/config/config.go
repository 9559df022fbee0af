// Package config reads what the platform tells an agent at its start. Values only: a
// Config is not changed once it is read.
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

// MinSockets is the least number of descriptors that an agent can work with.
const MinSockets = 64

// Limits is what the machine allows the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is all that an agent is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Limits    Limits
	Settings  settings.Settings
	Words     roster.Names   // of lists
	Classes   map[string]int // numbers of the classes names
	Tenants   map[string]int
	Known     cluster.List
	// Management is where operators connect; empty: nowhere.
	Management string

	keys any // the file's keys, as Next compares them
}

// manageVar is the variable that names the operators' address where the file does not.
const manageVar = "EDGE_MANAGEMENT"

const (
	// mostGiveUpMs and mostAttempts bound what a file that is read while the agent runs may say.
	mostGiveUpMs, mostAttempts = 3600e3, 1000
)

// Next reads and validates the file at path, which is to follow old while the agent runs. It is
// turned down whole if it lacks a key that old's had (but for "known"), or one of its deadlines or
// its number of attempts is not above 0. The error names the file and the key.
func Next(old *Config, path string) (*Config, error) {
	c, err := Load(path)
	if err == nil {
		err = c.follows(old)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) follows(old *Config) error {
	if key := missing(old.keys, c.keys); key != "" {
		return fmt.Errorf("config: %s: missing", key)
	}
	if n := c.Settings.Limits.MaxAttempts; n < 1 || n > mostAttempts {
		return fmt.Errorf("config: settings: limits.maxAttempts: must be from 1 to %d, is %d", mostAttempts, n)
	}
	for i, class := range c.Settings.Classes {
		if class.ClientTimeoutMs > mostGiveUpMs {
			return fmt.Errorf("config: settings: classes[%d].giveUpMs: must be at most %v, is %v", i, mostGiveUpMs, class.ClientTimeoutMs)
		}
	}
	return nil
}

// missing names a key that old has and now lacks; empty: there is none. Of objects in a list each
// has to have those that all of old's have.
func missing(old, now any) string {
	switch old := old.(type) {
	case map[string]any:
		have, is := now.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) {
			if _, has := have[key]; !is || !has {
				return key
			}
			if below := missing(old[key], have[key]); below != "" {
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
			if below := missing(common, n); below != "" {
				return fmt.Sprintf("[%d].%s", i, below)
			}
		}
	}
	return ""
}

// Load reads and validates the file at path. Its error names the key
// that makes no sense.
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

// Parse reads and validates the text of a configuration.
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
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return nil, fmt.Errorf("config: %s: cannot be a %s", bad.Field, bad.Value)
		}
		return nil, fmt.Errorf("config: no JSON: %w", err)
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
	} else if at := os.Getenv(manageVar); at != "" {
		if err := roster.CheckAddress(at); err != nil {
			return nil, fmt.Errorf("%s: %w", manageVar, err)
		}
		c.Management = at
	}
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, fmt.Errorf("config: no JSON: %w", err)
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
	var words struct {
		Sites []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(raw.Settings, &words); err != nil {
		return nil, fmt.Errorf("config: settings: failureDomains or shapes: %w", err)
	}
	// The module validates its settings itself; one made here tells at once.
	if _, err := policy.New(c.Settings, c.Seed); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c.Words = roster.Names{Sites: index(words.Sites), Kinds: index(words.Kinds)}
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
		if c.Known, err = c.Words.Parse(raw.Known); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	return c, nil
}

func index(words []string) map[string]int {
	m := make(map[string]int, len(words))
	for i, w := range words {
		m[w] = i
	}
	return m
}
