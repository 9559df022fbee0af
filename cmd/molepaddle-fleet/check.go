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
	Files []string `arg:"" predictor:"file" name:"file" help:"Settings files (TOML) and complete configurations (JSON)."`
	JSON  bool     `name:"json" help:"Print the results as JSON."`
}

// Kinds of input files.
const (
	kindSettings      = "settings"
	kindConfiguration = "configuration"
	kindUpdate        = "update"
)

// fileReport is the result of checking one file, as --json prints it.
type fileReport struct {
	File     string    `json:"file"`
	Kind     string    `json:"kind,omitempty"`  // empty where the file can't be read
	About    string    `json:"about,omitempty"` // summary in one line; empty if findings prevent it
	Error    string    `json:"err,omitempty"`   // why it can't be read
	Findings []finding `json:"findings"`
}

// Run checks each file. The exit code is the highest of all files.
func (c *checkCmd) Run(a *app) error {
	all := make([]fileReport, 0, len(c.Files))
	code := exitOK
	for _, name := range c.Files {
		one := checkFile(name)
		all = append(all, one)
		switch {
		case one.Error != "":
			code = exitUsage
		case len(one.Findings) > 0:
			code = max(code, exitFailure)
		}
	}
	if c.JSON {
		if err := writeJSON(a.out, all); err != nil {
			return err
		}
		return exitWith(code)
	}
	for _, one := range all {
		if one.Error != "" {
			fmt.Fprintln(a.out, sanitize(one.File+": can't be read: "+one.Error))
			continue
		}
		about := one.Kind
		if one.About != "" {
			about += ", " + one.About
		}
		if n := len(one.Findings); n > 0 {
			about += "; " + plural(n, "finding")
		}
		fmt.Fprintln(a.out, sanitize(one.File+": "+about))
		writeFindings(a.out, one.File, one.Findings)
	}
	return exitWith(code)
}

// exitWith returns an error that only sets the exit code, everything having been printed; nil for exitOK.
func exitWith(code int) error {
	if code == exitOK {
		return nil
	}
	return exitError{nil, code}
}

func checkFile(name string) fileReport {
	one := fileReport{File: name, Findings: []finding{}}
	body, err := readFile(name)
	if err != nil {
		one.Error = err.Error()
		return one
	}
	switch one.Kind = detectKind(name, body); one.Kind {
	case kindUpdate:
		one.Findings = append(one.Findings,
			finding{"", "is no whole configuration: `molepaddle-fleet diff` tells what it would change"})
	case kindConfiguration:
		d, in := routingconfig.Decode(body)
		one.Findings = fileFindings(in, body)
		if len(in) == 0 {
			one.About = describeDocument(d)
		}
	case kindSettings:
		s, err := settings.Parse(name, body)
		var in settings.Findings
		if err == nil {
			one.About = describeSettings(s)
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

// detectKind returns the kind of a file, determined by its content, or by its name if the content is ambiguous.
func detectKind(name string, body []byte) string {
	text := bytes.TrimLeft(body, " \t\r\n")
	if !bytes.HasPrefix(text, []byte("{")) && !strings.EqualFold(filepath.Ext(name), ".json") {
		return kindSettings
	}
	var top map[string]json.RawMessage
	if json.Unmarshal(body, &top) == nil && (top["upsert"] != nil || top["remove"] != nil) && top["routing"] == nil &&
		top["svcs"] == nil {
		return kindUpdate
	}
	return kindConfiguration
}

func describeDocument(d *routingconfig.Document) string {
	about := fmt.Sprintf("version %d: %s, %s", d.Version(), plural(d.NumRoutes(), "route"),
		plural(len(d.Services()), "service"))
	if d.Accounts() != nil {
		about += ", " + plural(len(d.Accounts()), "account")
	}
	return about
}

func describeSettings(s settings.Settings) string {
	about := "of " + quoteName(s.NodeName) + " at " + s.IP
	if s.Zone != "" {
		about += " in " + quoteName(s.Zone)
	}
	if len(s.Roles) == 0 {
		return about + ", serves nobody from outside"
	}
	return about + ", serves " + strings.Join(s.Roles, " and ")
}
