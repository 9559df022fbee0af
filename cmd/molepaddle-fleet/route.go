package main

import (
	"context"
	"fmt"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/routingconfig"
)

type routeCmd struct {
	controlFlags
	Host string `arg:"" help:"The Host header; its port and case are ignored."`
	Path string `arg:"" help:"The path, as in the request line."`
	File string `predictor:"file" help:"A complete configuration (JSON). Default: the one in force." placeholder:"CONF"`
}

// Run prints the route that a request takes, and the services with their shares.
func (c *routeCmd) Run(ctx context.Context, a *app) error {
	path, _, _ := strings.Cut(c.Path, "?")
	if u, err := url.ParseRequestURI(path); err != nil || !strings.HasPrefix(path, "/") || u.Path == "" {
		return exitError{errors.Errorf("%q is no path: it begins with a slash", c.Path), exitUsage}
	}
	d, err := c.document(ctx, a)
	if err != nil {
		return err
	}
	r, ok := routingconfig.NewIndex(d).Lookup(c.Host, path)
	if !ok {
		return errors.Errorf("version %d has no route for %s%s: the answer is 404", d.Version(), sanitize(c.Host),
			sanitize(path))
	}
	fmt.Fprintf(a.out, "route %s of version %d: %s on %s, %s\n", quoteName(r.Name), d.Version(), quoteName(r.Prefix),
		quoteName(r.Hostname), describeKind(r.RouteSpec))
	fmt.Fprintf(a.out, "held for %v at most, sent to %s at most\n", r.Deadline(), plural(r.MaxAttempts, "backend"))
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	for _, s := range r.WeightedServices {
		fmt.Fprintf(a.out, "%s to service %s\n", formatPercent(s.Weight/total), quoteName(s.Service.Name))
	}
	return nil
}

func (c *routeCmd) document(ctx context.Context, a *app) (*routingconfig.Document, error) {
	if c.File == "" {
		client, err := c.client(a)
		if err != nil {
			return nil, err
		}
		d, _, err := fetchCurrent(ctx, client)
		return d, err
	}
	body, err := readFile(c.File)
	if err != nil {
		return nil, err
	}
	d, in := routingconfig.Decode(body)
	if len(in) > 0 {
		writeFindings(a.out, c.File, fileFindings(in, body))
		return nil, exitWith(exitFailure)
	}
	return d, nil
}

// describeKind returns a route's kind and whether its requests may be retried after they may have run.
func describeKind(r *routingconfig.RouteSpec) string {
	if r.Idempotent() {
		return r.Kind + " (may run more than once)"
	}
	return r.Kind + " (runs once at most)"
}
