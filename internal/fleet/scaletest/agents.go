package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
)

// AgentGroup is the simulated agents of one process. Each pulls from one control server at a time, as a node agent with
// a proxy beside it does, but stores only the versions that it has. The group reports its progress as Events.
type AgentGroup struct {
	First, Count int
	Addresses    []string      // addresses at which control servers answer pulls
	Heartbeat    time.Duration // heartbeat_ms of the settings
	Apply        time.Duration // apply_ms of the settings

	mu       sync.Mutex
	out      io.Writer
	arrivals map[string]*arrivals
	markedAt time.Time
	backAt   []int64 // by agent: when it was back, ns since 1970; 0: not yet
	numBack  int
}

// Event reports that all agents of a group have reached a version, or are back in contact with a primary after the
// command "mark".
type Event struct {
	Type  string  `json:"What"` // distribution.ConfigType, distribution.BackendListType or "back"
	Epoch uint64  // of the version
	Count uint64  // of the version
	At    []int64 // time of each agent, ns since 1970, in the order of arrival; for "back", in the order of agents
}

// arrivals are the times at which agents of a group reached a version.
type arrivals struct {
	version distribution.Version
	times   []int64
}

// maxTrackedVersions is the largest number of versions for which a group records arrivals.
const maxTrackedVersions = 512

// Run runs the agents until ctx or commands ends. Each line of commands is a command: "mark" requests an event "back"
// once each agent has learned, directly or through relays, of a primary that was alive after the command. Events are
// written to out as lines of JSON.
func (c *AgentGroup) Run(ctx context.Context, commands io.Reader, out io.Writer) error {
	c.out, c.arrivals = out, map[string]*arrivals{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for i := range c.Count {
		all.Go(func() { c.runAgent(ctx, i) })
	}
	lines := bufio.NewScanner(commands)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "mark" {
			c.mu.Lock()
			c.markedAt, c.backAt, c.numBack = time.Now(), make([]int64, c.Count), 0
			c.mu.Unlock()
		}
	}
	cancel()
	all.Wait()
	return lines.Err()
}

// runAgent runs one agent, which selects and leaves control servers by the rules of the node agent.
func (c *AgentGroup) runAgent(ctx context.Context, i int) {
	name, zone := fmt.Sprintf("edge-zone-%d-%d", (c.First+i)%zones, c.First+i), Zone(c.First+i)
	have := map[string]distribution.Version{}
	wait, silence := distribution.PullTimeouts(c.Apply, c.Heartbeat)
	var heard time.Time
	began := time.Now()
	for at := rand.IntN(len(c.Addresses)); ctx.Err() == nil; at++ {
		_ = distribution.Watch(ctx, c.Addresses[at%len(c.Addresses)], &distribution.Watcher{
			Name:        name,
			MaxWait:     wait,
			ReadTimeout: silence,
			Members: func() []distribution.Member {
				return []distribution.Member{{
					Name:               name,
					Zone:               zone,
					ConfigVersion:      int64(have[distribution.ConfigType].Count),
					BackendListVersion: have[distribution.BackendListType],
				}}
			},
			Versions: func() map[string]distribution.Version { return maps.Clone(have) },
			Apply: func(n *distribution.Response) (lacking []string) {
				now := time.Now()
				if n.LastContactMs >= 0 {
					if h := now.Add(-time.Duration(n.LastContactMs) * time.Millisecond); h.After(heard) {
						heard = h
					}
				}
				c.recordBack(i, heard, now)
				return c.applyResources(have, n.Resources, now)
			},
			Continue: func() bool {
				return time.Since(heard) < 2*c.Heartbeat || time.Since(began) < 2*c.Heartbeat
			},
		})
		began = time.Now()
		pause := time.NewTimer(50*time.Millisecond + rand.N(50*time.Millisecond))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
}

// applyResources advances an agent's versions by the resources of a response. It returns the types of changes whose
// base version the agent doesn't have.
func (c *AgentGroup) applyResources(
	have map[string]distribution.Version, resources []distribution.Resource, now time.Time,
) (lacking []string) {
	for _, p := range resources {
		was := have[p.Type]
		if p.Snapshot == nil && was != p.BaseVersion {
			lacking = append(lacking, p.Type)
			continue
		}
		if was.Before(p.Version) {
			have[p.Type] = p.Version
			c.recordVersion(p.Type, was, p.Version, now)
		}
	}
	return lacking
}

// recordVersion records that an agent advanced from one version to another. For the configuration, each version in
// between counts as reached.
func (c *AgentGroup) recordVersion(source string, was, at distribution.Version, now time.Time) {
	if source == distribution.MembershipSizeType {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	from := at.Count
	if source == distribution.ConfigType && was.Epoch == at.Epoch {
		from = was.Count + 1
	}
	for n := max(from, at.Count-min(at.Count, maxTrackedVersions)); n <= at.Count; n++ {
		key := fmt.Sprint(source, at.Epoch, ".", n)
		a := c.arrivals[key]
		if a == nil {
			if len(c.arrivals) >= maxTrackedVersions {
				clear(c.arrivals)
			}
			a = &arrivals{version: distribution.Version{Epoch: at.Epoch, Count: n}}
			c.arrivals[key] = a
		}
		if a.times = append(a.times, now.UnixNano()); len(a.times) == c.Count {
			c.writeEvent(Event{Type: source, Epoch: at.Epoch, Count: n, At: a.times})
			delete(c.arrivals, key)
		}
	}
}

// recordBack records that agent i is back, if its last contact with a primary is later than the mark.
func (c *AgentGroup) recordBack(i int, heard, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backAt == nil || c.backAt[i] != 0 || !heard.After(c.markedAt) {
		return
	}
	c.backAt[i] = now.UnixNano()
	if c.numBack++; c.numBack == c.Count {
		c.writeEvent(Event{Type: eventBack, At: c.backAt})
		c.backAt = nil
	}
}

// eventBack is the Type of the Event that all agents are back.
const eventBack = "back"

// writeEvent writes one event. c.mu is held.
func (c *AgentGroup) writeEvent(e Event) {
	b, err := json.Marshal(e)
	if err == nil {
		_, _ = c.out.Write(append(b, '\n'))
	}
}
