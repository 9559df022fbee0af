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
	Version int64         `arg:"" optional:"" help:"The version to wait for. Default: the one in force."`
	Limit   time.Duration `help:"The longest wait." default:"30s"`
	JSON    bool          `name:"json" help:"Print only the last status, as JSON."`
}

// The interval between two status polls is watchInterval plus watchIntervalPerAgent for each agent: a status of 2,500
// agents takes the primary 12 ms.
const (
	watchInterval         = 250 * time.Millisecond
	watchIntervalPerAgent = 400 * time.Microsecond
)

// Run waits until every agent with a lease has a version.
func (c *watchCmd) Run(ctx context.Context, a *app) error {
	client, err := c.client(a)
	if err != nil {
		return err
	}
	if c.Version < 0 || c.Limit <= 0 {
		return exitError{errors.New("VERSION must not be below 0, --limit must be above 0"), exitUsage}
	}
	printLine := func(line string) { fmt.Fprintln(a.out, sanitize(line)) }
	if c.JSON {
		printLine = func(string) {}
	}
	fleet, err := watch(ctx, client, c.Version, c.Limit, printLine)
	if fleet != nil && c.JSON {
		if err := writeJSON(a.out, fleet); err != nil {
			return err
		}
	}
	return err
}

// watch polls the fleet's status until every agent with a lease has the version (0: the one in force at the first
// answer), and prints each change of progress. It returns the last status also with an error.
func watch(
	ctx context.Context, client *operatorclient.Client, version int64, limit time.Duration, printLine func(line string),
) (*status.Fleet, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w := rolloutWatch{version: version, printLine: printLine, seen: map[string]int64{}}
	for {
		fleet, _, err := client.Status(ctx, false)
		switch {
		case err != nil && ctx.Err() == nil && exitCodeOf(err) != exitIndeterminate:
			return w.last, exitError{err, exitCodeOf(err)}
		case err != nil:
			// There is no primary at the moment, or the time limit has passed; the select below tells them apart.
		default:
			if done, err := w.update(fleet); done || err != nil {
				return fleet, err
			}
		}
		next := time.NewTimer(w.pause())
		select {
		case <-next.C:
		case <-ctx.Done():
			next.Stop()
			if w.last == nil {
				return nil, exitError{errors.Wrapf(err, "not within %v", limit), exitIndeterminate}
			}
			err := errors.Errorf("not within %v: %s", limit, progress(w.last, w.version))
			return w.last, exitError{err, exitTimeout}
		}
	}
}

// rolloutWatch is the progress of a version's rollout, as seen in the statuses so far.
type rolloutWatch struct {
	version   int64 // 0: not yet known
	printLine func(line string)
	printed   string           // the last line of progress
	seen      map[string]int64 // the versions that agents had when last seen
	last      *status.Fleet    // nil: none yet
}

// update records a status and reports whether the version is in force at every agent.
func (w *rolloutWatch) update(fleet *status.Fleet) (done bool, err error) {
	w.last = fleet
	if w.version == 0 {
		w.version = fleet.Configuration.Version
	}
	if w.version == 0 {
		return false, errNoConfiguration
	}
	if line := progress(fleet, w.version); line != w.printed {
		w.printed = line
		w.printLine(line)
	}
	for _, a := range fleet.Agents {
		w.seen[a.Name] = a.ConfigVersion
	}
	if !fleet.AppliedEverywhere(w.version) {
		return false, nil
	}
	if expired := expiredAgents(fleet, w.seen, w.version); expired != "" {
		w.printLine("no lease any more: " + expired)
	}
	return true, nil
}

// pause returns the wait before the next status poll.
func (w *rolloutWatch) pause() time.Duration {
	if w.last == nil {
		return watchInterval
	}
	return watchInterval + time.Duration(len(w.last.Agents))*watchIntervalPerAgent
}

// expiredAgents lists the agents that were last seen without the version and no longer hold a lease.
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

// progress returns one line on the rollout of a version: how many agents have it, and the names of those that don't.
func progress(f *status.Fleet, version int64) string {
	behind := f.Behind(version)
	line := fmt.Sprintf("version %d: in force at %d of %s", version, len(f.Agents)-len(behind),
		plural(len(f.Agents), "agent"))
	const maxNames = 5
	var names []string
	for i, a := range behind {
		if i == maxNames {
			names = append(names, fmt.Sprintf("%d more", len(behind)-maxNames))
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
