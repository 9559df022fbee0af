package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/fleet/routingconfig"
)

// changeFlags are the flags of propose and update.
type changeFlags struct {
	controlFlags
	File string `arg:"" predictor:"file" help:"The body to send (JSON)."`
	Base int64  `help:"The version that the change builds on; 0: none yet. Default: the version in force." default:"-1"`
	JSON bool   `name:"json" help:"Print the outcome as JSON."`
}

type (
	proposeCmd struct{ changeFlags }
	updateCmd  struct{ changeFlags }
)

// changeResult is the outcome of a change, as --json prints it.
type changeResult struct {
	Version  int64     `json:"ver"`            // the file's
	Base     int64     `json:"base"`           // version that the change builds on
	Status   int       `json:"status"`         // HTTP status; 200: acknowledged, 0: no definite answer
	From     string    `json:"from,omitempty"` // address of the control server that answered
	Already  bool      `json:"already,omitempty"`
	Reason   string    `json:"err,omitempty"`
	Findings []finding `json:"findings"`
}

// Run sends a complete configuration.
func (c *proposeCmd) Run(ctx context.Context, a *app) error {
	return c.send(ctx, a, externalapi.CallReplace)
}

// Run sends a change of named items.
func (c *updateCmd) Run(ctx context.Context, a *app) error {
	return c.send(ctx, a, externalapi.CallUpdate)
}

func (c *changeFlags) send(ctx context.Context, a *app, call externalapi.Call) error {
	body, err := readFile(c.File)
	if err != nil {
		return err
	}
	// Unknown fields are ignored, so the control plane would accept a complete configuration as an empty update.
	isUpdate := detectKind(c.File, body) == kindUpdate
	switch {
	case call == externalapi.CallUpdate && !isUpdate:
		return errors.Errorf("%s: has neither upsert nor remove alone: "+
			"`molepaddle-fleet propose` sends whole configurations", c.File)
	case call == externalapi.CallReplace && isUpdate:
		return errors.Errorf("%s: is a change of named items: `molepaddle-fleet update` sends those", c.File)
	}
	client, err := c.client(a)
	if err != nil {
		return err
	}
	s := changeResult{Version: versionOf(body), Base: c.Base, Findings: []finding{}}
	if s.Base < 0 {
		now, response, err := fetchCurrent(ctx, client)
		if err != nil {
			return exitError{errors.Wrap(err, "the version in force is not known, the change was not sent"),
				exitFailure}
		}
		if s.Base = now.Version(); call == externalapi.CallReplace && now != nil {
			if next, _ := routingconfig.Decode(body); next != nil && next.Equal(now) {
				s.Status = http.StatusOK
				s.From = response.Endpoint
				s.Already = true
				return c.report(a, &s, nil)
			}
		}
	}
	response, err := client.Change(ctx, call, s.Base, body)
	s.From = response.Endpoint
	var rejected *operatorclient.RejectedError
	switch {
	case err == nil:
		s.Status = http.StatusOK
	case errors.As(err, &rejected):
		s.Status = rejected.Status
		s.From = rejected.Endpoint
		s.Reason = rejected.Reason
		s.Findings = fileFindings(rejected.Findings, body)
	default:
		s.Reason = err.Error()
	}
	return c.report(a, &s, err)
}

// report prints the outcome of a change; err is the error of the control-plane client.
func (c *changeFlags) report(a *app, s *changeResult, err error) error {
	if c.JSON {
		if err2 := writeJSON(a.out, s); err2 != nil {
			return err2
		}
		if err == nil {
			return nil
		}
		return exitWith(exitCodeOf(err))
	}
	switch {
	case err == nil && s.Already:
		fmt.Fprintf(a.out, "version %d is in force already, as in %s\n", s.Version, c.File)
		return nil
	case err == nil:
		fmt.Fprintf(a.out, "acknowledged by %s: version %d on top of %d\n", s.From, s.Version, s.Base)
		return nil
	case s.Status == 0 && exitCodeOf(err) == exitIndeterminate:
		return exitError{errors.Errorf("%v\nThe change may be in force or not. Send it again with --base %d.", err,
			s.Base), exitIndeterminate}
	}
	writeFindings(a.out, c.File, s.Findings)
	return exitError{err, exitCodeOf(err)}
}

// versionOf returns the version in a body, or 0 if the body can't be decoded.
func versionOf(body []byte) int64 {
	var top map[string]json.RawMessage
	var ver float64
	if json.Unmarshal(body, &top) != nil || json.Unmarshal(top["ver"], &ver) != nil {
		return 0
	}
	return int64(ver)
}
