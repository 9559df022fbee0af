package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/operatorclient"
	"molepaddle/internal/fleet/status"
)

type watchCmd struct {
	controlFlags
	Version int64         `arg:"" optional:"" help:"The version to wait for; without it, the one in force."`
	Limit   time.Duration `help:"The longest wait." default:"30s"`
	JSON    bool          `name:"json" help:"Print the last status for programs, and nothing else."`
}

// watchInterval is the time between two looks, and watchIntervalPerAgent what each agent adds to it: a status of 2,500 agents takes the
// primary 12 ms.
const (
	watchInterval         = 250 * time.Millisecond
	watchIntervalPerAgent = 400 * time.Microsecond
)

// Run waits until every agent with a lease has a version.
func (c *watchCmd) Run(a *app) error {
	client, err := c.client(a)
	if err != nil {
		return err
	}
	if c.Version < 0 || c.Limit <= 0 {
		return exitError{errors.New("VERSION must not be below 0, --limit must be above 0"), exitUsage}
	}
	say := func(line string) { fmt.Fprintln(a.out, sanitize(line)) }
	if c.JSON {
		say = func(string) {}
	}
	f, err := watch(a.ctx, client, c.Version, c.Limit, say)
	if f != nil && c.JSON {
		if err := writeJSON(a.out, f); err != nil {
			return err
		}
	}
	return err
}

// watch looks at the fleet until every agent with a lease has the version (0: the one in force at the first look), and
// says each change. The last status comes back also with an error.
func watch(ctx context.Context, client *operatorclient.Client, version int64, limit time.Duration, say func(line string)) (*status.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	said := ""
	seen := map[string]int64{} // versions that agents had when last seen
	var last *status.Fleet
	for {
		f, _, err := client.Status(ctx, false)
		switch {
		case err != nil && ctx.Err() == nil && exitCodeOf(err) != exitIndeterminate:
			return last, exitError{err, exitCodeOf(err)}
		case err != nil:
			// No primary for the moment, or the time is over: which of them shows below.
		default:
			last = f
			if version == 0 {
				version = f.Configuration.Version
			}
			if version == 0 {
				return f, errNoConfiguration
			}
			if line := progress(f, version); line != said {
				said = line
				say(line)
			}
			for _, a := range f.Agents {
				seen[a.Name] = a.ConfigVersion
			}
			if f.AppliedEverywhere(version) {
				if gone := expiredAgents(f, seen, version); gone != "" {
					say("no lease any more: " + gone)
				}
				return f, nil
			}
		}
		pause := watchInterval
		if last != nil {
			pause += time.Duration(len(last.Agents)) * watchIntervalPerAgent
		}
		next := time.NewTimer(pause)
		select {
		case <-next.C:
		case <-ctx.Done():
			next.Stop()
			if last == nil {
				return nil, exitError{errors.Wrapf(err, "not within %v", limit), exitIndeterminate}
			}
			return last, exitError{errors.Errorf("not within %v: %s", limit, progress(last, version)), exitTimeout}
		}
	}
}

// expiredAgents are the agents that were seen without the version and hold no lease now.
func expiredAgents(f *status.Fleet, seen map[string]int64, version int64) string {
	var all []string
	for name, had := range seen {
		if had < version && !slices.ContainsFunc(f.Agents, func(a status.Agent) bool { return a.Name == name }) {
			all = append(all, fmt.Sprintf("%s (%s)", quoteName(name), formatCount(had)))
		}
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// progress is how far a version has come.
func progress(f *status.Fleet, version int64) string {
	lacking := f.Behind(version)
	line := fmt.Sprintf("version %d: in force at %d of %s", version, len(f.Agents)-len(lacking), plural(len(f.Agents), "agent"))
	const most = 5
	var names []string
	for i, a := range lacking {
		if i == most {
			names = append(names, fmt.Sprintf("%d more", len(lacking)-most))
			break
		}
		names = append(names, fmt.Sprintf("%s (%s)", quoteName(a.Name), formatCount(a.ConfigVersion)))
	}
	if names != nil {
		line += "; not at " + strings.Join(names, ", ")
	}
	if f.CollectingLeases {
		line += "; the primary is new and may not have heard all"
	}
	return line
}
