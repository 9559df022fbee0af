package main

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
)

// controlFlags say where the control plane is.
type controlFlags struct {
	Control []string      `help:"Control addresses (IP:port), asked in turn. Without them: those of peers and bind.ctl in the settings file." placeholder:"ADDR"`
	Within  time.Duration `help:"Time for all tries of one call." default:"10s"`
}

// client makes the client of the control plane.
func (f *controlFlags) client(a *app) (*operatorclient.Client, error) {
	addresses := f.Control
	if len(addresses) == 0 {
		if a.settings == "" {
			return nil, coded{errors.New("no control address: give --control ADDR, or a settings file that names peers"), exitUsage}
		}
		set, err := settings.Load(a.settings)
		if err != nil {
			return nil, coded{errors.Wrap(err, "settings"), exitUsage}
		}
		if addresses = set.Seeds; set.Bind.Control != "" {
			addresses = append([]string{set.Bind.Control}, addresses...)
		}
		if len(addresses) == 0 {
			return nil, coded{errors.Errorf("%s: peers: names no control address", a.settings), exitUsage}
		}
	}
	for _, addr := range addresses {
		host, port, err := net.SplitHostPort(addr)
		n, err2 := strconv.ParseUint(port, 10, 16)
		if err != nil || err2 != nil || host == "" || n == 0 {
			return nil, coded{errors.Errorf("--control: %q is no IP:port", addr), exitUsage}
		}
	}
	if f.Within <= 0 {
		return nil, coded{errors.New("--within: must be above 0"), exitUsage}
	}
	return &operatorclient.Client{Control: addresses, Within: f.Within}, nil
}

// current asks for the configuration in force; nil while there is none.
func current(a *app, c *operatorclient.Client) (d *routingconfig.Document, answer operatorclient.Answer, err error) {
	answer, err = c.Show(a.ctx)
	var no *operatorclient.Refused
	if errors.As(err, &no) && no.Status == http.StatusNotFound {
		return nil, operatorclient.Answer{From: no.From}, nil
	}
	if err != nil {
		return nil, answer, coded{err, codeOf(err)}
	}
	d, in := routingconfig.Decode(answer.Body)
	if err := in.Err(); err != nil {
		return nil, answer, coded{errors.Wrapf(err, "what %s shows is no configuration", answer.From), exitUnclear}
	}
	return d, answer, nil
}

// codeOf is the exit code of a client's error.
func codeOf(err error) int {
	var no *operatorclient.Refused
	switch {
	case !errors.As(err, &no):
		return exitUnclear
	case no.Status == http.StatusPreconditionFailed:
		return exitStale
	}
	return exitNo
}
