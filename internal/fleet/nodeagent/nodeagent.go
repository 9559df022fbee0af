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
	// Dial connects to control servers; New sets distribution.Dial. Tests put a network of their own between.
	Dial distribution.DialFunc

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
	polled   []byte // the list that was polled here and is passed on; nil: none, or a control server's is
	withheld withheld
	proxies  int
}

// New makes a node agent.
func New(set settings.Settings, log *zap.Logger) *Agent {
	a := &Agent{Dial: distribution.Dial, set: set, log: log, store: distribution.NewCache(), have: map[string]distribution.Version{},
		list: distribution.Version{Epoch: uint64(time.Now().UnixNano())}}
	a.seed(set.Seeds)
	if set.Provider.Address != "" {
		a.platform = externalapi.NewPlatformClient(set.Provider.Address, time.Second)
	}
	return a
}

// seed takes the seeds of the settings, which may have changed since the start.
func (a *Agent) seed(seeds []string) {
	a.seeds = nil
	for _, s := range seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			a.seeds = append(a.seeds, distribution.PullAddr(host, a.set.Ports))
		}
	}
	a.learn(nil)
}

// learn takes the members of the core: those known before are kept, as far as there is room, since news may be old.
func (a *Agent) learn(core []string) {
	all := slices.Concat(a.seeds, core, a.known)
	known := all[:0:0]
	for _, addr := range all {
		if len(known) < maxKnown && !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	a.known = known
}

// maxKnown bounds the control servers that are known.
const maxKnown = 64

// Run feeds the proxy until the context ends. Where the proxy told of tenants' regions, it goes on until the proxy's last word
// of that is handed on, within the platform's grace.
func (a *Agent) Run(until context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(until))
	defer end()
	wait, silence := distribution.PullTimeouts(a.set.Bounds.Apply, a.set.Heartbeat)
	defer context.AfterFunc(until, func() {
		a.linger(ctx, wait)
		end()
	})()
	ln, err := sockets.Listen(ctx, distribution.NodeAgentAddr(a.set.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the proxy")
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	go distribution.Serve(ctx, ln, a.set.Nodename, a.store, 3*a.set.Heartbeat+time.Second, a.store.LastContact)
	a.log.Info("started")
	choice := sourceChoice{wait: wait, limit: freshFor(wait, silence)}
	pause := distribution.Backoff{Min: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	for i := rand.IntN(max(len(a.known), 1)); ctx.Err() == nil; i++ {
		if len(a.known) == 0 {
			return errors.New("peers: none to ask")
		}
		addr := a.known[i%len(a.known)]
		choice.begin(time.Now())
		err := distribution.Watch(ctx, addr, a.follower(&choice, silence))
		choice.end()
		if ctx.Err() == nil {
			a.log.Debug("control server left", zap.String("addr", addr), zap.Error(err))
		}
		if a.Seeds != nil && i%len(a.known) == len(a.known)-1 {
			a.seed(a.Seeds()) // none was of use: the file may name others by now
		}
		a.pollAlone(ctx)
		pause.Wait(ctx, time.Since(choice.began))
	}
	return nil
}

// follower pulls from one control server for as long as that is in touch with the primary.
func (a *Agent) follower(choice *sourceChoice, silence time.Duration) *distribution.Watcher {
	return &distribution.Watcher{Name: a.set.Nodename, MaxWait: choice.wait, ReadTimeout: silence, Dial: a.Dial,
		Members:   func() []distribution.Member { return a.lists.theirs(a.store.Members(time.Now(), 3*a.set.Heartbeat)) },
		Versions:  a.vector,
		Apply:     a.take,
		Residency: func(time.Time) *distribution.ResidencyOutbox { return a.store.Residency },
		Outcomes:  a.store.Outcomes,
		Continue:  func() bool { return choice.stays(time.Now(), a.age(), len(a.known)) },
		NextWait:  func() time.Duration { return choice.pullWait(a.age(), len(a.known)) },
	}
}

// age is how long ago the primary was last heard of, by whichever control server.
func (a *Agent) age() time.Duration {
	heard, _ := a.store.LastContact()
	return time.Since(heard)
}

// linger waits for the last word of a proxy that ends along with this process, and for the pull that takes it along.
func (a *Agent) linger(ctx context.Context, wait time.Duration) {
	if !a.store.Residency.Used() {
		return
	}
	end, cancel := context.WithTimeout(ctx, a.set.Bounds.Grace-graceLeft)
	defer cancel()
	select {
	case <-a.store.Residency.SendersDone():
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

func (a *Agent) vector() map[string]distribution.Version {
	have := make(map[string]distribution.Version, len(a.have))
	for source, at := range a.have {
		have[source] = at
	}
	return have
}

// take passes news on. The list is counted anew here, since this process may have to ask for it itself.
func (a *Agent) take(n *distribution.Response) (lacking []string) {
	pass := *n
	pass.Resources = nil
	for _, p := range n.Resources {
		a.have[p.Type] = p.Version
		if p.Type == distribution.ConfigType {
			pass.Resources = append(pass.Resources, p)
		}
	}
	lacking = a.store.Apply(&pass, time.Now())
	for i := range n.Resources {
		if p := &n.Resources[i]; p.Type != distribution.ConfigType {
			a.takeSoft(p)
		}
	}
	a.passWithheld()
	for _, source := range lacking {
		delete(a.have, source)
	}
	return lacking
}

// takeSoft takes the news of a source that is no durable state.
func (a *Agent) takeSoft(p *distribution.Resource) {
	switch p.Type {
	case distribution.BackendListType:
		a.withheld.resource = p
		return
	case distribution.ControlServersType:
		var core distribution.ControlServers
		if _, err := core.UnmarshalMsg(p.Snapshot); err == nil {
			a.learn(core.PullAddrs)
		}
	case distribution.MembershipSizeType:
		var crowd distribution.MembershipSize
		if _, err := crowd.UnmarshalMsg(p.Snapshot); err == nil {
			a.proxies = crowd.Proxies
		}
	}
	a.pass(p)
}

// pass hands a source's whole on under this process's own count.
func (a *Agent) pass(p *distribution.Resource) {
	a.list.Count++
	a.store.SetSnapshot(p.Type, a.list, p.Snapshot)
}

// passWithheld hands on the list that came from a control server, unless one that was polled here is newer than what the primary
// is known to have said.
func (a *Agent) passWithheld() {
	heard, _ := a.store.LastContact()
	p := a.withheld.resource
	if p == nil || a.withheld.older(heard) {
		return
	}
	a.withheld, a.polled = withheld{}, nil
	a.pass(p)
	a.lists.note(a.list, p.Version)
}

// pollAlone asks the platform itself where the control plane has not been heard for half as long as a draining backend
// may still be sent to; all others may do the same, so each takes its part of half of the platform's rate.
func (a *Agent) pollAlone(ctx context.Context) {
	heard, _ := a.store.LastContact()
	if a.platform == nil || time.Since(heard) < a.set.Bounds.Drain/2 || time.Now().Before(a.pollNext) {
		return
	}
	asked := time.Now()
	list, calls, err := a.platform.List(ctx)
	every := time.Duration(2 * float64(max(a.proxies, assumedProxies)*max(calls, 1)) / max(a.set.Provider.Rate, 0.1) * float64(time.Second))
	a.pollNext = time.Now().Add(max(every, time.Second))
	if err != nil {
		a.log.Debug("platform's list", zap.Error(err))
		return
	}
	externalapi.Sort(&list)
	b, err := list.MarshalMsg(nil)
	if err != nil {
		return
	}
	a.withheld.polledAt = asked
	if bytes.Equal(b, a.polled) {
		return
	}
	a.log.Info("the control plane is silent: the platform's list is asked for here", zap.Int("backends", len(list.Backends)))
	a.polled = b
	delete(a.have, distribution.BackendListType) // what comes from there again is news
	a.list.Count++
	a.store.SetSnapshot(distribution.BackendListType, a.list, b)
}

// assumedProxies stands for how many others may ask as well, until that is known.
const assumedProxies = 16
