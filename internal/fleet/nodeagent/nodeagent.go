// Package nodeagent is the node agent beside a proxy: it holds the link to the control plane and feeds the proxy over
// loopback.
package nodeagent

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/protocol/sockets"
)

// Agent is one machine's link to the control plane.
type Agent struct {
	// Seeds reads the seeds anew, control addresses as the settings name them; nil: they don't change.
	Seeds func() []string

	set   settings.Settings
	log   *zap.Logger
	store *distribution.Cache // what the proxy is fed from

	// What follows belongs to the goroutine of Run that follows a control server.
	have  map[string]distribution.Version // as the control servers count
	list  distribution.Version            // as this process counts: it may have to poll itself
	lists listNumbers                     // and what the control servers call those lists
	seeds []string                        // pull addresses by the settings
	known []string                        // and all that are known: seeds, then the members of the core as last told
	// For when no control server is to be had.
	platform *externalapi.PlatformClient
	pollNext time.Time
	polled   []byte
	proxies  int
}

// New makes a node agent.
func New(set settings.Settings, log *zap.Logger) *Agent {
	t := &Agent{set: set, log: log, store: distribution.NewCache(), have: map[string]distribution.Version{},
		list: distribution.Version{Epoch: uint64(time.Now().UnixNano())}}
	t.seed(set.Seeds)
	if set.Provider.Address != "" {
		t.platform = externalapi.NewPlatformClient(set.Provider.Address, time.Second)
	}
	return t
}

// seed takes the seeds of the settings, which may have changed since the start.
func (t *Agent) seed(seeds []string) {
	t.seeds = nil
	for _, s := range seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			t.seeds = append(t.seeds, distribution.PullAddr(host, t.set.Ports))
		}
	}
	t.learn(nil)
}

// learn takes the members of the core: those known before are kept, as far as there is room, since news may be old.
func (t *Agent) learn(core []string) {
	all := slices.Concat(t.seeds, core, t.known)
	known := all[:0:0]
	for _, addr := range all {
		if len(known) < maxKnown && !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	t.known = known
}

// maxKnown bounds the control servers that are known.
const maxKnown = 64

// Run feeds the proxy until the context ends. Where the proxy told of tenants' regions, it goes on until the proxy's last word
// of that is handed on, within the platform's grace.
func (t *Agent) Run(until context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(until))
	defer end()
	wait, silence := distribution.Pace(t.set.Bounds.Apply, t.set.Heartbeat)
	defer context.AfterFunc(until, func() {
		t.linger(ctx, wait)
		end()
	})()
	ln, err := sockets.Listen(ctx, distribution.NodeAgentAddr(t.set.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the proxy")
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	go distribution.Serve(ctx, ln, t.set.Nodename, t.store, 3*t.set.Heartbeat+time.Second, t.store.Fresh)
	t.log.Info("started")
	var began time.Time
	pause := distribution.Pause{Least: 10 * time.Millisecond, Most: 100 * time.Millisecond}
	for i := rand.IntN(max(len(t.known), 1)); ctx.Err() == nil; i++ {
		if len(t.known) == 0 {
			return errors.New("peers: none to ask")
		}
		addr := t.known[i%len(t.known)]
		began = time.Now()
		err := distribution.Follow(ctx, addr, &distribution.Follower{Name: t.set.Nodename, Wait: wait, Silence: silence,
			Members: func() []distribution.Member { return t.lists.theirs(t.store.Members(time.Now(), 3*t.set.Heartbeat)) },
			Have:    t.vector, Take: func(n *distribution.Response) []string { return t.take(n) },
			Rested: func(time.Time) *distribution.Outbox { return t.store.Rested },
			Goes: func() bool {
				// One that has not heard of the primary for long is left for another.
				heard, _ := t.store.Fresh()
				return time.Since(heard) < wait+silence/2 || time.Since(began) < wait
			}})
		if ctx.Err() == nil {
			t.log.Debug("control server left", zap.String("addr", addr), zap.Error(err))
		}
		if t.Seeds != nil && i%len(t.known) == len(t.known)-1 {
			t.seed(t.Seeds()) // none was of use: the file may name others by now
		}
		t.pollAlone(ctx)
		pause.Wait(ctx, time.Since(began))
	}
	return nil
}

// linger waits for the last word of a proxy that ends along with this process, and for the pull that takes it along.
func (t *Agent) linger(ctx context.Context, wait time.Duration) {
	if !t.store.Rested.Used() {
		return
	}
	end, cancel := context.WithTimeout(ctx, t.set.Bounds.Grace-graceLeft)
	defer cancel()
	select {
	case <-t.store.Rested.Ended():
	case <-end.Done():
		return
	}
	pull := time.NewTimer(wait + pullWithin)
	defer pull.Stop()
	select {
	case <-pull.C: // the pull under way has ended by then, and the next one has begun
	case <-end.Done():
	}
}

const (
	// graceLeft is how long before the end of the grace this process ends at the latest.
	graceLeft = 300 * time.Millisecond
	// pullWithin is what a pull may take beyond its wait.
	pullWithin = 200 * time.Millisecond
)

func (t *Agent) vector() map[string]distribution.Version {
	have := make(map[string]distribution.Version, len(t.have))
	for source, at := range t.have {
		have[source] = at
	}
	return have
}

// take passes news on. The list is counted anew here, since this process may have to ask for it itself.
func (t *Agent) take(n *distribution.Response) (lacking []string) {
	pass := *n
	pass.Resources = nil
	for _, p := range n.Resources {
		t.have[p.Source] = p.At
		if p.Source != distribution.SourceConfig {
			t.list.Count++
			t.store.Set(p.Source, t.list, p.Whole)
			if p.Source == distribution.SourceList {
				t.lists.note(t.list, p.At)
			}
			if p.Source == distribution.SourceCore {
				var core distribution.Core
				if _, err := core.UnmarshalMsg(p.Whole); err == nil {
					t.learn(core.Pulls)
				}
			}
			if p.Source == distribution.SourceCrowd {
				var crowd distribution.Crowd
				if _, err := crowd.UnmarshalMsg(p.Whole); err == nil {
					t.proxies = crowd.Proxies
				}
			}
			continue
		}
		pass.Resources = append(pass.Resources, p)
	}
	lacking = t.store.Take(&pass, time.Now())
	for _, source := range lacking {
		delete(t.have, source)
	}
	return lacking
}

// pollAlone asks the platform itself where the control plane has not been heard for half as long as a draining backend
// may still be sent to; all others may do the same, so each takes its part of half of the platform's rate.
func (t *Agent) pollAlone(ctx context.Context) {
	heard, _ := t.store.Fresh()
	if t.platform == nil || time.Since(heard) < t.set.Bounds.Drain/2 || time.Now().Before(t.pollNext) {
		return
	}
	list, calls, err := t.platform.List(ctx)
	every := time.Duration(2 * float64(max(t.proxies, assumedProxies)*max(calls, 1)) / max(t.set.Provider.Rate, 0.1) * float64(time.Second))
	t.pollNext = time.Now().Add(max(every, time.Second))
	if err != nil {
		t.log.Debug("platform's list", zap.Error(err))
		return
	}
	externalapi.Sort(&list)
	b, err := list.MarshalMsg(nil)
	if err != nil || bytes.Equal(b, t.polled) {
		return
	}
	t.log.Info("the control plane is silent: the platform's list is asked for here", zap.Int("backends", len(list.Backends)))
	t.polled = b
	delete(t.have, distribution.SourceList) // what comes from there again is news
	t.list.Count++
	t.store.Set(distribution.SourceList, t.list, b)
}

// assumedProxies stands for how many others may ask as well, until that is known.
const assumedProxies = 16
