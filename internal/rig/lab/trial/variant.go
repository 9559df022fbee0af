package trial

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/lab/choose"
	"molepaddle/internal/rig/scenario"
)

// Variant is a set of changes to a scenario. An empty field keeps the value of the scenario.
type Variant struct {
	Name     string
	Chooser  string
	Set      map[string]float64 // knobs
	Operator string             // path of the operator's file
	Binary   string             // live only: path of the agents' program; empty: agents in this process
}

// ParseVariant parses "default", the name of a chooser, or comma-separated parts: chooser=NAME,
// operator=FILE, bin=FILE, KNOB=NUMBER. The text is the variant's name.
func ParseVariant(text string) (Variant, error) {
	v := Variant{Name: text}
	if text == "default" {
		return v, nil
	}
	if slices.Contains(choose.Names, text) {
		v.Chooser, v.Name = text, "chooser="+text
		return v, nil
	}
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || value == "" {
			return v, fmt.Errorf("variant %q: %q is no chooser and not NAME=VALUE", text, part)
		}
		if seen[name] {
			return v, fmt.Errorf("variant %q: %s is given twice", text, name)
		}
		seen[name] = true
		switch name {
		case "chooser":
			if !slices.Contains(choose.Names, value) {
				return v, fmt.Errorf("variant %q: %q is no chooser; there are %s", text, value,
					strings.Join(choose.Names, ", "))
			}
			v.Chooser = value
		case "operator":
			v.Operator = value
		case "bin":
			v.Binary = value
		default:
			if scenario.Knobs[name] == "" {
				return v, fmt.Errorf("variant %q: %q is no knob", text, name)
			}
			x, err := strconv.ParseFloat(value, 64)
			if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
				return v, fmt.Errorf("variant %q: %s: %q is not a number", text, name, value)
			}
			if v.Set == nil {
				v.Set = map[string]float64{}
			}
			v.Set[name] = x
		}
	}
	return v, nil
}

// applyKnobs sets knobs in a fixed order: servers, then load, then the others by name.
func applyKnobs(s *scenario.Scenario, knobs map[string]float64) error {
	first := func(k string) int {
		return cmp.Or(slices.Index([]string{"load", "servers"}, k)+1, 0)
	}
	names := slices.SortedFunc(maps.Keys(knobs), func(a, b string) int {
		return cmp.Or(-cmp.Compare(first(a), first(b)), cmp.Compare(a, b))
	})
	for _, k := range names {
		if err := s.Set(k, knobs[k]); err != nil {
			return err
		}
	}
	return nil
}

// job is one play to run.
type job struct {
	s     *scenario.Scenario
	v     Variant
	seed  uint64
	fleet *fleet.Options
	row   Row // without its result
}

// plan prepares the play of a scenario with a variant and a seed.
func (l *Lab) plan(of *scenario.Scenario, v Variant, seed uint64) (*job, error) {
	j := &job{s: of.Clone(), v: v, seed: seed}
	if err := applyKnobs(j.s, v.Set); err != nil {
		return nil, fmt.Errorf("%s: variant %s: %w", of.Name, v.Name, err)
	}
	j.s.Agent.Chooser = cmp.Or(v.Chooser, j.s.Agent.Chooser)
	j.v.Operator = v.Operator
	if v.Operator == "" && j.s.Agent.Operator != "" {
		j.v.Operator = filepath.Join(j.s.Dir, j.s.Agent.Operator)
	}
	mode, build := "model", ""
	if l.Live {
		mode = "live"
	} else if v.Binary != "" {
		return nil, fmt.Errorf("variant %s: bin needs a live play", v.Name)
	}
	if v.Binary != "" && j.s.Agent.Chooser != "molepaddle" {
		return nil, fmt.Errorf("variant %s: chooser %s cannot be combined with bin", v.Name, j.s.Agent.Chooser)
	}
	hash := j.s.Hash()
	if j.v.Operator != "" {
		oper, err := operator.Load(j.v.Operator)
		if err != nil {
			return nil, err
		}
		j.fleet = oper.Fleet.Options()
		sum, err := l.fileHash(j.v.Operator)
		if err != nil {
			return nil, err
		}
		hash += "-" + sum
	}
	program := v.Binary
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	build, err := l.fileHash(program)
	if err != nil {
		return nil, err
	}
	j.row = Row{V: Version, Scenario: of.Name, Hash: hash, Variant: v.Name, Chooser: j.s.Agent.Chooser, Set: v.Set,
		Mode: mode, Build: build,
		Machine: machine(), Seed: seed, Load: j.s.Load(), Servers: j.s.Count(), Agents: j.s.Agents()}
	return j, nil
}

// fileHash returns a short hash of the content of a file; each file is read once.
func (l *Lab) fileHash(path string) (string, error) {
	if s, ok := l.fileHashes[path]; ok {
		return s, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	h := sha256.New()
	_, err = io.Copy(h, f)
	if err = errors.Join(err, f.Close()); err != nil {
		return "", err
	}
	if l.fileHashes == nil {
		l.fileHashes = map[string]string{}
	}
	l.fileHashes[path] = hex.EncodeToString(h.Sum(nil)[:6])
	return l.fileHashes[path], nil
}
