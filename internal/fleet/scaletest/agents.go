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

// Crew is the hollow agents of one process: each pulls as a node agent with a proxy beside it does, at one of the
// control servers, and keeps only how far it has come. What it reports stands in Event.
type Crew struct {
	First, Count int
	Addresses    []string      // where control servers answer pulls
	Heartbeat    time.Duration // heartbeat_ms of the settings
	Apply        time.Duration // apply_ms of the settings

	mu     sync.Mutex
	out    io.Writer
	seen   map[string]*arrivals
	mark   time.Time
	marked []int64 // by agent, when it was back; 0: not yet
	back   int
}

// Event tells that all agents of a crew have come to a version, or were back after a mark.
type Event struct {
	What  string  // distribution.SourceConfig, distribution.SourceList or "back"
	Epoch uint64  // of the version
	Count uint64  // of the version
	At    []int64 // when each agent had it, ns since 1970, in the order of arrival; of "back", in the order of agents
}

type arrivals struct {
	at   distribution.Version
	when []int64
}

// keptVersions bounds the versions that a crew still counts arrivals of.
const keptVersions = 512

// Run pulls until ctx ends or commands do. Commands come as lines: "mark" asks for an event "back" once each agent has
// heard, by whatever way, of a primary that was alive after now. Events go to out as lines of JSON.
func (c *Crew) Run(ctx context.Context, commands io.Reader, out io.Writer) error {
	c.out, c.seen = out, map[string]*arrivals{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	for i := range c.Count {
		all.Go(func() { c.follow(ctx, i) })
	}
	lines := bufio.NewScanner(commands)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "mark" {
			c.mu.Lock()
			c.mark, c.marked, c.back = time.Now(), make([]int64, c.Count), 0
			c.mu.Unlock()
		}
	}
	cancel()
	all.Wait()
	return lines.Err()
}

// follow is one agent, with the node agent's own way of choosing and leaving control servers.
func (c *Crew) follow(ctx context.Context, i int) {
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
				c.noteBack(i, heard, now)
				return c.take(have, n.Resources, now)
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

// take takes resources into the versions that an agent has, and returns the types that it lacks the base of.
func (c *Crew) take(
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
			c.note(p.Type, was, p.Version, now)
		}
	}
	return lacking
}

// note counts that one more agent came from a version to another: of the configuration each one between counts.
func (c *Crew) note(source string, was, at distribution.Version, now time.Time) {
	if source == distribution.MembershipSizeType {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	from := at.Count
	if source == distribution.ConfigType && was.Epoch == at.Epoch {
		from = was.Count + 1
	}
	for n := max(from, at.Count-min(at.Count, keptVersions)); n <= at.Count; n++ {
		key := fmt.Sprint(source, at.Epoch, ".", n)
		a := c.seen[key]
		if a == nil {
			if len(c.seen) >= keptVersions {
				clear(c.seen)
			}
			a = &arrivals{at: distribution.Version{Epoch: at.Epoch, Count: n}}
			c.seen[key] = a
		}
		if a.when = append(a.when, now.UnixNano()); len(a.when) == c.Count {
			c.tell(Event{What: source, Epoch: at.Epoch, Count: n, At: a.when})
			delete(c.seen, key)
		}
	}
}

func (c *Crew) noteBack(i int, heard, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.marked == nil || c.marked[i] != 0 || !heard.After(c.mark) {
		return
	}
	c.marked[i] = now.UnixNano()
	if c.back++; c.back == c.Count {
		c.tell(Event{What: eventBack, At: c.marked})
		c.marked = nil
	}
}

const eventBack = "back"

// tell writes one event; the lock is held.
func (c *Crew) tell(e Event) {
	b, err := json.Marshal(e)
	if err == nil {
		_, _ = c.out.Write(append(b, '\n'))
	}
}
