package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"molepaddle/internal/fleet/configdiff"
	"molepaddle/internal/fleet/routingconfig"
)

type diffCmd struct {
	controlFlags
	File string `arg:"" predictor:"file" help:"A complete configuration, or an update of named items (JSON)."`
	JSON bool   `name:"json" help:"Print the outcome as JSON."`
}

// diffResult is the effect that a file would have, as --json prints it.
type diffResult struct {
	From     int64               `json:"from"` // the version in force; 0 for none
	To       int64               `json:"to"`   // the file's; 0 where it can't be read
	Changes  []configdiff.Change `json:"changes"`
	Findings []finding           `json:"findings"` // reasons for which it would be rejected
}

// Run prints what a file would change.
func (c *diffCmd) Run(ctx context.Context, a *app) error {
	body, err := readFile(c.File)
	if err != nil {
		return err
	}
	client, err := c.client(a)
	if err != nil {
		return err
	}
	now, _, err := fetchCurrent(ctx, client)
	if err != nil {
		return err
	}
	o := diffResult{From: now.Version(), Changes: []configdiff.Change{}, Findings: []finding{}}
	var next *routingconfig.Document
	var in routingconfig.Findings
	if detectKind(c.File, body) == kindUpdate {
		next, in = routingconfig.Update(now, body)
	} else if next, in = routingconfig.Decode(body); next != nil && !next.Equal(now) {
		// The configuration in force may be sent again; any other one needs a higher version.
		_, in = routingconfig.Replace(now, body)
	}
	o.Findings = fileFindings(in, body)
	if next != nil {
		o.To = next.Version()
		o.Changes = append(o.Changes, configdiff.Diff(now, next)...)
	}
	if c.JSON {
		err = writeJSON(a.out, o)
	} else {
		o.write(a.out, c.File)
	}
	if err == nil && len(o.Findings) > 0 {
		return exitWith(exitFailure)
	}
	return err
}

func (r *diffResult) write(w io.Writer, file string) {
	if r.To > 0 {
		fmt.Fprintf(w, "version %d -> %d: %s\n", r.From, r.To, plural(len(r.Changes), "change"))
	}
	for _, c := range r.Changes {
		what := c.Kind
		if c.Name != "" {
			what += " " + quoteName(c.Name)
		}
		switch {
		case c.Field != "" || c.Kind == configdiff.KindCaps:
			if c.Field != "" {
				what += ": " + c.Field
			}
			what += " " + rawOrNone(c.Old) + " -> " + rawOrNone(c.New)
		case c.Added():
			what = "+ " + what + " " + string(c.New)
		default:
			what = "- " + what
		}
		fmt.Fprintln(w, sanitize(what))
	}
	if len(r.Findings) > 0 {
		fmt.Fprintln(w, "would be refused:")
		writeFindings(w, file, r.Findings)
	}
}

// rawOrNone returns a JSON value as text, or "(none)" if it is absent.
func rawOrNone(raw json.RawMessage) string {
	if raw == nil {
		return "(none)"
	}
	return string(raw)
}
