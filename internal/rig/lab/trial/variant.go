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

// Variant is a way to play a scenario. What is empty is as the scenario has it.
type Variant struct {
	Name     string
	Chooser  string
	Set      map[string]float64 // knobs
	Operator string             // path of an operator's file
	Binary   string             // live: the agents' program; empty: agents in this process
}

// ParseVariant reads "default", the name of a chooser, or parts with commas between: chooser=NAME,
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
			return v, fmt.Errorf("variant %q: %q is no chooser, nor NAME=VALUE", text, part)
		}
		if seen[name] {
			return v, fmt.Errorf("variant %q: %s stands there twice", text, name)
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
				return v, fmt.Errorf("variant %q: %s: %q is no number", text, name, value)
			}
			if v.Set == nil {
				v.Set = map[string]float64{}
			}
			v.Set[name] = x
		}
	}
	return v, nil
}

// set changes knobs in an order of its own: what others work out from (servers, agents) goes first.
func set(s *scenario.Scenario, knobs map[string]float64) error {
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

// job is one play that is wanted.
type job struct {
	s     *scenario.Scenario
	v     Variant
	seed  uint64
	fleet *fleet.Options
	row   Row // all but what the play tells
}

// plan works out what a play of a variant is.
func (l *Lab) plan(of *scenario.Scenario, v Variant, seed uint64) (*job, error) {
	j := &job{s: of.Clone(), v: v, seed: seed}
	if err := set(j.s, v.Set); err != nil {
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
		return nil, fmt.Errorf("variant %s: a program plays live only", v.Name)
	}
	if v.Binary != "" && j.s.Agent.Chooser != "molepaddle" {
		return nil, fmt.Errorf("variant %s: %s plays in this process only", v.Name, j.s.Agent.Chooser)
	}
	hash := j.s.Hash()
	if j.v.Operator != "" {
		oper, err := operator.Load(j.v.Operator)
		if err != nil {
			return nil, err
		}
		j.fleet = oper.Fleet.Options()
		sum, err := l.sum(j.v.Operator)
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
	build, err := l.sum(program)
	if err != nil {
		return nil, err
	}
	j.row = Row{V: Version, Scenario: of.Name, Hash: hash, Variant: v.Name, Chooser: j.s.Agent.Chooser, Set: v.Set,
		Mode: mode, Build: build,
		Machine: machine(), Seed: seed, Load: j.s.Load(), Servers: j.s.Count(), Agents: j.s.Agents()}
	return j, nil
}

// sum is short and the same for files of the same content; a file is read once.
func (l *Lab) sum(path string) (string, error) {
	if s, ok := l.sums[path]; ok {
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
	if l.sums == nil {
		l.sums = map[string]string{}
	}
	l.sums[path] = hex.EncodeToString(h.Sum(nil)[:6])
	return l.sums[path], nil
}
