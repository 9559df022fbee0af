package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
)

// controlFlags are the flags of all commands that call the control plane.
type controlFlags struct {
	Control []string      `help:"Control addresses (IP:port), tried in turn. Default: bind.ctl and peers of the settings file." placeholder:"ADDR"`
	Within  time.Duration `help:"Time limit for all attempts of one call." default:"10s"`
}

// client returns a control-plane client for the addresses given by the flags or the settings file.
func (f *controlFlags) client(a *app) (*operatorclient.Client, error) {
	addresses := f.Control
	if len(addresses) == 0 {
		if a.settingsPath == "" {
			err := errors.New("no control address: give --control ADDR, or a settings file that names peers")
			return nil, exitError{err, exitUsage}
		}
		set, err := settings.Load(a.settingsPath)
		if err != nil {
			return nil, exitError{errors.Wrap(err, "settings"), exitUsage}
		}
		if addresses = set.Seeds; set.Bind.Control != "" {
			addresses = append([]string{set.Bind.Control}, addresses...)
		}
		if len(addresses) == 0 {
			return nil, exitError{errors.Errorf("%s: peers: names no control address", a.settingsPath), exitUsage}
		}
	}
	for _, addr := range addresses {
		host, port, err := net.SplitHostPort(addr)
		n, err2 := strconv.ParseUint(port, 10, 16)
		if err != nil || err2 != nil || host == "" || n == 0 {
			return nil, exitError{errors.Errorf("--control: %q is no IP:port", addr), exitUsage}
		}
	}
	if f.Within <= 0 {
		return nil, exitError{errors.New("--within: must be above 0"), exitUsage}
	}
	return &operatorclient.Client{Endpoints: addresses, CallTimeout: f.Within}, nil
}

// fetchCurrent returns the configuration in force; the document is nil while there is none.
func fetchCurrent(
	ctx context.Context, c *operatorclient.Client,
) (d *routingconfig.Document, response operatorclient.Response, err error) {
	response, err = c.Show(ctx)
	var rejected *operatorclient.RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return nil, operatorclient.Response{Endpoint: rejected.Endpoint}, nil
	}
	if err != nil {
		return nil, response, exitError{err, exitCodeOf(err)}
	}
	d, in := routingconfig.Decode(response.Body)
	if err := in.Err(); err != nil {
		return nil, response, exitError{errors.Wrapf(err, "what %s shows is no configuration", response.Endpoint),
			exitIndeterminate}
	}
	return d, response, nil
}

// exitCodeOf returns the exit code for an error of the control-plane client.
func exitCodeOf(err error) int {
	var rejected *operatorclient.RejectedError
	var unclear *operatorclient.IndeterminateError
	switch {
	case errors.As(err, &unclear) && !unclear.Sent:
		return exitFailure
	case !errors.As(err, &rejected):
		return exitIndeterminate
	case rejected.Status == http.StatusPreconditionFailed:
		return exitVersionConflict
	}
	return exitFailure
}
