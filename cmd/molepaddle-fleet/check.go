package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
)

type checkCmd struct {
	Files []string `arg:"" predictor:"file" name:"file" help:"Settings files (TOML) and whole configurations (JSON)."`
	JSON  bool     `name:"json" help:"Print a list for programs."`
}

// Kinds of file.
const (
	kindSettings      = "settings"
	kindConfiguration = "configuration"
	kindUpdate        = "update"
)

// checked is what was found of one file.
type checked struct {
	File     string    `json:"file"`
	Kind     string    `json:"kind,omitempty"`  // empty where the file can't be read
	About    string    `json:"about,omitempty"` // one line; empty with findings that hide it
	Error    string    `json:"err,omitempty"`   // why it can't be read
	Findings []finding `json:"findings"`
}

// Run checks each file. The worst one gives the exit code.
func (c *checkCmd) Run(a *app) error {
	all := make([]checked, 0, len(c.Files))
	code := exitDone
	for _, name := range c.Files {
		one := check(name)
		all = append(all, one)
		switch {
		case one.Error != "":
			code = exitUsage
		case len(one.Findings) > 0:
			code = max(code, exitNo)
		}
	}
	if c.JSON {
		if err := writeJSON(a.out, all); err != nil {
			return err
		}
		return codeOnly(code)
	}
	for _, one := range all {
		if one.Error != "" {
			fmt.Fprintln(a.out, lines(one.File+": can't be read: "+one.Error))
			continue
		}
		about := one.Kind
		if one.About != "" {
			about += ", " + one.About
		}
		if n := len(one.Findings); n > 0 {
			about += "; " + many(n, "finding")
		}
		fmt.Fprintln(a.out, lines(one.File+": "+about))
		writeFindings(a.out, one.File, one.Findings)
	}
	return codeOnly(code)
}

// codeOnly ends with a code when all has been said.
func codeOnly(code int) error {
	if code == exitDone {
		return nil
	}
	return coded{nil, code}
}

func check(name string) checked {
	one := checked{File: name, Findings: []finding{}}
	body, err := readFile(name)
	if err != nil {
		one.Error = err.Error()
		return one
	}
	switch one.Kind = kindOf(name, body); one.Kind {
	case kindUpdate:
		one.Findings = append(one.Findings, finding{"", "is no whole configuration: `molepaddle-fleet diff` tells what it would change"})
	case kindConfiguration:
		d, in := routingconfig.Decode(body)
		one.Findings = found(in, body)
		if len(in) == 0 {
			one.About = aboutDocument(d)
		}
	case kindSettings:
		s, err := settings.Parse(name, body)
		var in settings.Findings
		if err == nil {
			one.About = aboutSettings(s)
			in = s.Check(name)
		} else if !errors.As(err, &in) {
			one.Findings = append(one.Findings, finding{"", err.Error()})
		}
		for _, f := range in {
			one.Findings = append(one.Findings, finding{f.Key, f.Text})
		}
	}
	return one
}

// kindOf tells what a file is meant to be: by its content, and by its name where that tells nothing.
func kindOf(name string, body []byte) string {
	text := bytes.TrimLeft(body, " \t\r\n")
	if !bytes.HasPrefix(text, []byte("{")) && !strings.EqualFold(filepath.Ext(name), ".json") {
		return kindSettings
	}
	var top map[string]json.RawMessage
	if json.Unmarshal(body, &top) == nil && (top["upsert"] != nil || top["remove"] != nil) && top["routing"] == nil && top["svcs"] == nil {
		return kindUpdate
	}
	return kindConfiguration
}

func aboutDocument(d *routingconfig.Document) string {
	return fmt.Sprintf("version %d: %s, %s", d.Version(), many(d.NumRoutes(), "route"), many(len(d.Services()), "service"))
}

func aboutSettings(s settings.Settings) string {
	about := "of " + word(s.Nodename) + " at " + s.IP
	if s.Zone != "" {
		about += " in " + word(s.Zone)
	}
	if len(s.Roles) == 0 {
		return about + ", serves nobody from outside"
	}
	return about + ", serves " + strings.Join(s.Roles, " and ")
}
