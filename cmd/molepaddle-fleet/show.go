package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/routingconfig"
)

type showCmd struct {
	controlFlags
	JSON bool `name:"json" help:"Print the complete document as the control plane returns it, with the API keys in it."`
}

// errNoConfiguration is returned while the control plane has no configuration.
var errNoConfiguration = errors.New("no configuration yet")

// Run prints the configuration in force.
func (c *showCmd) Run(ctx context.Context, a *app) error {
	client, err := c.client(a)
	if err != nil {
		return err
	}
	d, response, err := fetchCurrent(ctx, client)
	if err != nil {
		return err
	}
	if d == nil {
		return errors.Wrap(errNoConfiguration, response.Endpoint)
	}
	if c.JSON {
		_, err := a.out.Write(append(response.Body, '\n'))
		return err
	}
	fmt.Fprintf(a.out, "%s, from %s\n", describeDocument(d), response.Endpoint)
	if err := writeConfig(a.out, d.Config()); err != nil {
		return err
	}
	return writeAccounts(a.out, d)
}

// writeConfig writes a configuration as tables.
func writeConfig(w io.Writer, c routingconfig.Config) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRoutes(t, c.Routes)
	if err := t.Flush(); err != nil {
		return err
	}
	writeConfiguredServices(t, c.Services)
	if err := t.Flush(); err != nil {
		return err
	}
	if l := c.Limits; l != nil {
		fmt.Fprintf(w, "\nclients: head %s bytes within %s, body %s bytes, idle %s\n",
			formatCount(l.MaxHeaderBytes), formatDuration(l.HeaderTimeout()), formatCount(l.MaxBodyBytes),
			formatDuration(l.IdleTimeout()))
	}
	return nil
}

// writeRoutes writes a table with one route per line.
func writeRoutes(t io.Writer, routes []routingconfig.RouteSpec) {
	if len(routes) > 0 {
		fmt.Fprintln(t, "\nroute\thost\tprefix\tkind\tto\tdeadline\ttarget\tprio\ttries\tbesides")
	}
	for i := range routes {
		r := &routes[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%v\t%s\t%d\t%d\t%s\n",
			quoteName(r.Name), quoteName(r.Hostname), quoteName(r.Prefix), r.Kind, strings.Join(formatServices(r), " "),
			r.Deadline(), formatDuration(r.LatencyTarget()), r.Priority, r.MaxAttempts, formatRouteOptions(r))
	}
}

// formatRouteOptions returns the options that are set on a route.
func formatRouteOptions(r *routingconfig.RouteSpec) string {
	var options []string
	if r.PrefixAffinity {
		options = append(options, "pin")
	}
	if r.Resumable {
		options = append(options, "resumable")
	}
	if r.EventGapTargetMs > 0 {
		options = append(options, "pauses "+r.EventGapTarget().String())
	}
	if r.Public {
		options = append(options, "public")
	}
	return orDash(strings.Join(options, ", "))
}

// writeConfiguredServices writes a table with one service per line.
func writeConfiguredServices(t io.Writer, services []routingconfig.Service) {
	if len(services) > 0 {
		fmt.Fprintln(t, "\nservice\tprobe\tconnections\trequests\ttokens\tmodels")
	}
	for i := range services {
		s := &services[i]
		requests, tokens, models := "-", "-", "-"
		if r := s.Runtime; r != nil {
			requests, tokens = formatCount(int64(r.Capacity)), formatCount(r.KVCacheTokens)
			var names []string
			for _, m := range r.Models {
				names = append(names, quoteName(m.Name))
			}
			models = strings.Join(names, " ")
		}
		probe := "-"
		if s.HealthCheckPath != "" {
			probe = quoteName(s.HealthCheckPath)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", quoteName(s.Name), probe, formatCount(int64(s.MaxConn)), requests,
			tokens, models)
	}
}

// writeAccounts writes a table with one account per line, if requests need API keys. It never prints the keys.
func writeAccounts(w io.Writer, d *routingconfig.Document) error {
	accounts := d.Accounts()
	if accounts == nil {
		return nil
	}
	if len(accounts) == 0 {
		_, err := fmt.Fprintln(w, "\nno accounts: only public routes take requests")
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\naccount\tkeys\tprio\trate\tburst")
	numKeys := d.NumAPIKeys()
	for i, a := range accounts {
		priority, rate, burst := "-", "-", "-"
		if a.Priority != nil {
			priority = strconv.Itoa(*a.Priority)
		}
		if a.Limited() {
			rate = formatNumber(a.Rate) + "/s"
			burst = formatNumber(a.Burst)
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", quoteName(a.Name), numKeys[i], priority, rate, burst)
	}
	return t.Flush()
}

// formatServices returns the names of a route's services, with their percentages if there are several. The weights of a
// valid route add up to more than 0.
func formatServices(r *routingconfig.RouteSpec) []string {
	if len(r.Split) == 0 {
		return []string{quoteName(r.ServiceName)}
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	var out []string
	for _, s := range r.Split {
		out = append(out, quoteName(s.ServiceName)+":"+formatPercent(s.Weight/total))
	}
	return out
}

func formatPercent(fraction float64) string {
	return strconv.FormatFloat(100*fraction, 'g', 4, 64) + "%"
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// formatDuration returns a duration, or a dash for 0.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.String()
}

// formatCount returns a number, or a dash for 0.
func formatCount(n int64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatInt(n, 10)
}
