package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/fleet/status"
)

type statusCmd struct {
	controlFlags
	Local bool `help:"Show the state known to the called machine itself, without forwarding to the primary."`
	JSON  bool `name:"json" help:"Print the status as JSON."`
}

// Run prints the fleet's status.
func (c *statusCmd) Run(ctx context.Context, a *app) error {
	client, err := c.client(a)
	if err != nil {
		return err
	}
	fleet, response, err := client.Status(ctx, c.Local)
	if err != nil {
		code := exitCodeOf(err)
		var unclear *operatorclient.IndeterminateError
		if errors.As(err, &unclear) && !c.Local {
			err = errors.Errorf("%v\nNo primary answers. "+
				"--local shows what one machine knows: give its address with --control.", err)
		}
		return exitError{err, code}
	}
	if c.JSON {
		return writeJSON(a.out, fleet)
	}
	return writeStatus(a.out, fleet, response.Endpoint)
}

// writeStatus writes a status as tables.
func writeStatus(w io.Writer, f *status.Fleet, from string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "view %d, from %s at %s\n", f.View.Epoch, quoteName(f.From), from)
	if !f.Confirmed {
		fmt.Fprintln(w, "not confirmed by the core: this is what that machine knows itself")
	}
	writeMembers(t, f)
	writeSingletonRoles(t, f)
	if err := t.Flush(); err != nil {
		return err
	}
	writeVersions(w, f)
	writeAgents(t, f)
	writeServices(t, f)
	return t.Flush()
}

// writeMembers writes a table of the core's members.
func writeMembers(t io.Writer, f *status.Fleet) {
	fmt.Fprintln(t, "\ncore\tzone\trole\theard")
	for _, m := range f.View.Members {
		heard := "never"
		switch {
		case m.Self:
			heard = "-"
		case m.LastContactMs >= 0:
			heard = formatMillis(m.LastContactMs) + " ago"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Address, quoteName(m.Zone), m.Role, heard)
	}
}

// writeSingletonRoles writes a table of the singleton roles and their lease holders.
func writeSingletonRoles(t io.Writer, f *status.Fleet) {
	fmt.Fprintln(t, "\nduty\tholder\tfence\tstate")
	for _, d := range f.SingletonRoles {
		state := "at work"
		switch {
		case d.Holder == "":
			state = "nobody does it"
		case d.Fenced:
			state = "fenced: a backend has seen a higher token"
		case d.StandbyMs > 0:
			state = "keeps still for another " + formatMillis(d.StandbyMs)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", d.Name, orDash(d.Holder), formatCount(int64(d.FencingToken)), state)
	}
}

// writeVersions writes the versions of the configuration and of the backend list.
func writeVersions(w io.Writer, f *status.Fleet) {
	if c := f.Configuration; c.Version == 0 {
		fmt.Fprintln(w, "\nno configuration yet")
	} else {
		fmt.Fprintf(w, "\nconfiguration: version %d, change %d of the record, settled %s ago\n", c.Version, c.Seq,
			formatMillis(c.AgeMs))
	}
	if f.BackendList.Count > 0 {
		fmt.Fprintf(w, "list of backends: %s%s\n", formatVersion(f.BackendList.ListVersion),
			formatPollAge(f.BackendList.AgeMs))
	}
}

// writeServices writes a table of the services with their backend counts.
func writeServices(t io.Writer, f *status.Fleet) {
	if len(f.Services) > 0 {
		fmt.Fprintln(t, "\nservice\tbackends\tdraining\tphases")
	}
	for _, s := range f.Services {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", quoteName(s.Name), s.Backends, s.Draining, formatPhases(s.Phases))
	}
}

// writeAgents writes a table of the agents that hold a lease.
func writeAgents(t io.Writer, f *status.Fleet) {
	if len(f.Agents) > 0 {
		fmt.Fprintln(t, "\nagent\tzone\tversion\tfor\tlist\trenewed\tbehind")
	}
	for i := range f.Agents {
		a := &f.Agents[i]
		since := "-"
		if a.ConfigVersion > 0 {
			since = formatMillis(a.ConfigAgeMs)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s ago\t%s\n", quoteName(a.Name), quoteName(a.Zone),
			formatCount(a.ConfigVersion), since, formatVersion(a.BackendListVersion), formatMillis(a.LeaseAgeMs),
			lagging(f, a))
	}
	switch {
	case len(f.Agents) == 0:
		fmt.Fprintln(t, "\nno agent holds a lease")
	case f.CollectingLeases && f.Confirmed:
		fmt.Fprintln(t, "the primary is new: there may be agents that it has not heard yet")
	}
}

// lagging returns which of configuration and backend list are out of date at an agent, and whether it is draining.
func lagging(f *status.Fleet, a *status.Agent) string {
	var all []string
	if a.ConfigVersion < f.Configuration.Version {
		all = append(all, "configuration")
	}
	if a.BackendListVersion != f.BackendList.ListVersion {
		all = append(all, "list")
	}
	if a.Draining {
		all = append(all, "draining")
	}
	return orDash(strings.Join(all, ", "))
}

// formatVersion returns a version of the backend list as "epoch.count", or a dash if there is none.
func formatVersion(n status.ListVersion) string {
	if n.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", n.Epoch, n.Count)
}

// formatPollAge returns how long ago the platform was polled, or "" if that is unknown.
func formatPollAge(ms int64) string {
	if ms < 0 {
		return ""
	}
	return ", asked for " + formatMillis(ms) + " ago"
}

// formatPhases returns the number of backends in each phase.
func formatPhases(in map[string]int) string {
	var all []string
	for name, n := range in {
		all = append(all, fmt.Sprintf("%s %d", quoteName(name), n))
	}
	slices.Sort(all)
	return orDash(strings.Join(all, ", "))
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatMillis returns a duration in rounded form: whole seconds from a minute up, tenths from a second up.
func formatMillis(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	switch {
	case d >= time.Minute:
		d = d.Round(time.Second)
	case d >= time.Second:
		d = d.Round(100 * time.Millisecond)
	}
	return d.String()
}
