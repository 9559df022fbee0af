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
	ReloadSeeds func() []string
	// Dial connects to control servers; New sets distribution.Dial. Tests put a network of their own between.
	Dial distribution.DialFunc

	settings settings.Settings
	log      *zap.Logger
	cache    *distribution.Cache // what the proxy is fed from

	// What follows belongs to the goroutine of Run that follows a control server.
	upstreamVersions map[string]distribution.Version // as the control servers count
	localVersion     distribution.Version            // as this process counts: it may have to poll itself
	listVersions     listVersionMap                  // and what the control servers call those lists
	seedAddrs        []string                        // pull addresses by the settings
	serverAddrs      []string                        // and all that are known: seeds, then the members of the core as last told
	// For when no control server is to be had.
	platform   *externalapi.PlatformClient
	nextPoll   time.Time
	polledList []byte // the list that was polled here and is passed on; nil: none, or a control server's is
	pending    pendingList
	proxyCount int
}

// New makes a node agent.
func New(set settings.Settings, log *zap.Logger) *Agent {
	a := &Agent{Dial: distribution.Dial, settings: set, log: log, cache: distribution.NewCache(), upstreamVersions: map[string]distribution.Version{},
		localVersion: distribution.Version{Epoch: uint64(time.Now().UnixNano())}}
	a.setSeeds(set.Seeds)
	if set.Provider.Address != "" {
		a.platform = externalapi.NewPlatformClient(set.Provider.Address, time.Second)
	}
	return a
}

// setSeeds takes the seeds of the settings, which may have changed since the start.
func (a *Agent) setSeeds(seeds []string) {
	a.seedAddrs = nil
	for _, s := range seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			a.seedAddrs = append(a.seedAddrs, distribution.PullAddr(host, a.settings.Ports))
		}
	}
	a.addServers(nil)
}

// addServers takes the members of the core: those known before are kept, as far as there is room, since news may be old.
func (a *Agent) addServers(core []string) {
	all := slices.Concat(a.seedAddrs, core, a.serverAddrs)
	known := all[:0:0]
	for _, addr := range all {
		if len(known) < maxServers && !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	a.serverAddrs = known
}

// maxServers bounds the control servers that are known.
const maxServers = 64

// Run feeds the proxy until the context ends. Where the proxy told of tenants' regions, it goes on until the proxy's last word
// of that is handed on, within the platform's grace.
func (a *Agent) Run(parent context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(parent))
	defer end()
	longPoll, readTimeout := distribution.PullTimeouts(a.settings.Bounds.Apply, a.settings.Heartbeat)
	defer context.AfterFunc(parent, func() {
		a.awaitFinalReport(ctx, longPoll)
		end()
	})()
	ln, err := sockets.Listen(ctx, distribution.NodeAgentAddr(a.settings.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the proxy")
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	go distribution.Serve(ctx, ln, a.settings.NodeName, a.cache, 3*a.settings.Heartbeat+time.Second, a.cache.LastContact)
	a.log.Info("started")
	selection := serverSelection{longPoll: longPoll, maxContactAge: contactAgeLimit(longPoll, readTimeout)}
	backoff := distribution.Backoff{Min: 10 * time.Millisecond, Max: 100 * time.Millisecond}
	for i := rand.IntN(max(len(a.serverAddrs), 1)); ctx.Err() == nil; i++ {
		if len(a.serverAddrs) == 0 {
			return errors.New("peers: none to ask")
		}
		addr := a.serverAddrs[i%len(a.serverAddrs)]
		selection.begin(time.Now())
		err := distribution.Watch(ctx, addr, a.newFollower(&selection, readTimeout))
		selection.end()
		if ctx.Err() == nil {
			a.log.Debug("control server left", zap.String("addr", addr), zap.Error(err))
		}
		if a.ReloadSeeds != nil && i%len(a.serverAddrs) == len(a.serverAddrs)-1 {
			a.setSeeds(a.ReloadSeeds()) // none was of use: the file may name others by now
		}
		a.pollDirectly(ctx)
		backoff.Wait(ctx, time.Since(selection.followedSince))
	}
	return nil
}

// newFollower pulls from one control server for as long as that is in touch with the primary.
func (a *Agent) newFollower(selection *serverSelection, readTimeout time.Duration) *distribution.Watcher {
	return &distribution.Watcher{Name: a.settings.NodeName, MaxWait: selection.longPoll, ReadTimeout: readTimeout, Dial: a.Dial,
		Members: func() []distribution.Member {
			return a.listVersions.translate(a.cache.Members(time.Now(), 3*a.settings.Heartbeat))
		},
		Versions:  a.versionVector,
		Apply:     a.applyResponse,
		Residency: func(time.Time) *distribution.ResidencyOutbox { return a.cache.Residency },
		Outcomes:  a.cache.Outcomes,
		Continue:  func() bool { return selection.keepFollowing(time.Now(), a.contactAge(), len(a.serverAddrs)) },
		NextWait:  func() time.Duration { return selection.pullTimeout(a.contactAge(), len(a.serverAddrs)) },
	}
}

// contactAge is how long ago the primary was last heard of, by whichever control server.
func (a *Agent) contactAge() time.Duration {
	lastContact, _ := a.cache.LastContact()
	return time.Since(lastContact)
}

// awaitFinalReport waits for the last word of a proxy that ends along with this process, and for the pull that takes it along.
func (a *Agent) awaitFinalReport(ctx context.Context, longPoll time.Duration) {
	if !a.cache.Residency.Used() {
		return
	}
	end, cancel := context.WithTimeout(ctx, a.settings.Bounds.Grace-graceMargin)
	defer cancel()
	select {
	case <-a.cache.Residency.SendersDone():
	case <-end.Done():
		return
	}
	pull := time.NewTimer(longPoll + pullMargin)
	defer pull.Stop()
	select {
	case <-pull.C: // the pull under way has ended by then, and the next one has begun
	case <-end.Done():
	}
}

const (
	// graceMargin is how long before the end of the grace this process ends at the latest.
	graceMargin = 300 * time.Millisecond
	// pullMargin is what a pull may take beyond its wait.
	pullMargin = 200 * time.Millisecond
)

func (a *Agent) versionVector() map[string]distribution.Version {
	have := make(map[string]distribution.Version, len(a.upstreamVersions))
	for source, at := range a.upstreamVersions {
		have[source] = at
	}
	return have
}

// applyResponse passes news on. The list is counted anew here, since this process may have to ask for it itself.
func (a *Agent) applyResponse(response *distribution.Response) (lacking []string) {
	durable := *response
	durable.Resources = nil
	for _, resource := range response.Resources {
		a.upstreamVersions[resource.Type] = resource.Version
		if resource.Type == distribution.ConfigType {
			durable.Resources = append(durable.Resources, resource)
		}
	}
	lacking = a.cache.Apply(&durable, time.Now())
	for i := range response.Resources {
		if resource := &response.Resources[i]; resource.Type != distribution.ConfigType {
			a.applyVolatile(resource)
		}
	}
	a.publishPending()
	for _, source := range lacking {
		delete(a.upstreamVersions, source)
	}
	return lacking
}

// applyVolatile takes the news of a source that is no durable state.
func (a *Agent) applyVolatile(resource *distribution.Resource) {
	switch resource.Type {
	case distribution.BackendListType:
		a.pending.resource = resource
		return
	case distribution.ControlServersType:
		var core distribution.ControlServers
		if _, err := core.UnmarshalMsg(resource.Snapshot); err == nil {
			a.addServers(core.PullAddrs)
		}
	case distribution.MembershipSizeType:
		var crowd distribution.MembershipSize
		if _, err := crowd.UnmarshalMsg(resource.Snapshot); err == nil {
			a.proxyCount = crowd.Proxies
		}
	}
	a.publish(resource)
}

// publish hands a source's whole on under this process's own count.
func (a *Agent) publish(resource *distribution.Resource) {
	a.localVersion.Count++
	a.cache.SetSnapshot(resource.Type, a.localVersion, resource.Snapshot)
}

// publishPending hands on the list that came from a control server, unless one that was polled here is newer than what the primary
// is known to have said.
func (a *Agent) publishPending() {
	lastContact, _ := a.cache.LastContact()
	resource := a.pending.resource
	if resource == nil || a.pending.superseded(lastContact) {
		return
	}
	a.pending, a.polledList = pendingList{}, nil
	a.publish(resource)
	a.listVersions.record(a.localVersion, resource.Version)
}

// pollDirectly asks the platform itself where the control plane has not been heard for half as long as a draining backend
// may still be sent to; all others may do the same, so each takes its part of half of the platform's rate.
func (a *Agent) pollDirectly(ctx context.Context) {
	lastContact, _ := a.cache.LastContact()
	if a.platform == nil || time.Since(lastContact) < a.settings.Bounds.Drain/2 || time.Now().Before(a.nextPoll) {
		return
	}
	polledAt := time.Now()
	list, calls, err := a.platform.List(ctx)
	interval := time.Duration(2 * float64(max(a.proxyCount, assumedProxies)*max(calls, 1)) / max(a.settings.Provider.Rate, 0.1) * float64(time.Second))
	a.nextPoll = time.Now().Add(max(interval, time.Second))
	if err != nil {
		a.log.Debug("platform's list", zap.Error(err))
		return
	}
	externalapi.SortByID(&list)
	b, err := list.MarshalMsg(nil)
	if err != nil {
		return
	}
	a.pending.polledAt = polledAt
	if bytes.Equal(b, a.polledList) {
		return
	}
	a.log.Info("the control plane is silent: the platform's list is asked for here", zap.Int("backends", len(list.Backends)))
	a.polledList = b
	delete(a.upstreamVersions, distribution.BackendListType) // what comes from there again is news
	a.localVersion.Count++
	a.cache.SetSnapshot(distribution.BackendListType, a.localVersion, b)
}

// assumedProxies stands for how many others may ask as well, until that is known.
const assumedProxies = 16
