package main

import (
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
	JSON bool `name:"json" help:"Print the configuration as the control plane gives it."`
}

// errNoConfiguration is that there is no configuration yet.
var errNoConfiguration = errors.New("no configuration yet")

// Run shows the configuration in force.
func (c *showCmd) Run(a *app) error {
	client, err := c.client(a)
	if err != nil {
		return err
	}
	d, answer, err := fetchCurrent(a, client)
	if err != nil {
		return err
	}
	if d == nil {
		return errors.Wrap(errNoConfiguration, answer.Endpoint)
	}
	if c.JSON {
		_, err := a.out.Write(append(answer.Body, '\n'))
		return err
	}
	fmt.Fprintf(a.out, "%s, from %s\n", describeDocument(d), answer.Endpoint)
	return writeConfig(a.out, d.Config())
}

// writeConfig writes a configuration as tables.
func writeConfig(w io.Writer, c routingconfig.Config) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(c.Routes) > 0 {
		fmt.Fprintln(t, "\nroute\thost\tprefix\tkind\tto\tdeadline\ttarget\tprio\ttries\tbesides")
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		var besides []string
		if r.PrefixAffinity {
			besides = append(besides, "pin")
		}
		if r.Resumable {
			besides = append(besides, "resumable")
		}
		if r.EventGapTargetMs > 0 {
			besides = append(besides, "pauses "+r.EventGapTarget().String())
		}
		if besides == nil {
			besides = []string{"-"}
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%v\t%s\t%d\t%d\t%s\n", quoteName(r.Name), quoteName(r.Hostname), quoteName(r.Prefix), r.Kind,
			strings.Join(formatShares(r), " "), r.Deadline(), formatDuration(r.LatencyTarget()), r.Priority, r.MaxAttempts, strings.Join(besides, ", "))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(c.Services) > 0 {
		fmt.Fprintln(t, "\nservice\tprobe\tconnections\trequests\ttokens\tmodels")
	}
	for i := range c.Services {
		s := &c.Services[i]
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
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", quoteName(s.Name), probe, formatCount(int64(s.MaxConn)), requests, tokens, models)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if l := c.Limits; l != nil {
		fmt.Fprintf(w, "\nclients: head %s bytes within %s, body %s bytes, idle %s\n",
			formatCount(l.MaxHeaderBytes), formatDuration(l.HeaderTimeout()), formatCount(l.MaxBodyBytes), formatDuration(l.IdleTimeout()))
	}
	return nil
}

// formatShares are a route's services, with their parts where there are several. The weights of a valid route add up to more
// than 0.
func formatShares(r *routingconfig.RouteSpec) []string {
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

func formatPercent(part float64) string { return strconv.FormatFloat(100*part, 'g', 4, 64) + "%" }

// formatDuration and count are a dash where nothing was given.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.String()
}

func formatCount(n int64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatInt(n, 10)
}
