// Package nodeagent implements the node agent that runs on each proxy's machine: it pulls the configuration, the list
// of backends and the other resources from one control server at a time, keeps them in a cache, and serves the proxy
// from that cache over loopback. It also forwards the proxy's lease renewals, outcomes and residency reports to the
// control server.
//
// It makes no decisions about requests and stores nothing on disk: after a restart it pulls everything again. While no
// control server has contact with a primary it polls the platform's list of backends itself (see pollDirectly).
//
// The goroutine of Agent.Run owns an Agent's state; only the cache, which has its own lock, is shared with the
// goroutines that serve the proxy. New and Run must be called from the program's main goroutine.
package nodeagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/protocol/sockets"
)

const (
	// minBackoff and maxBackoff bound the wait between two control servers. They are short, since a change must be in
	// force at the proxy within Bounds.Apply whichever control server is partitioned.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// platformCallTimeout bounds one call to the platform.
	platformCallTimeout = time.Second
	// leaseHeartbeats is the term of a proxy's lease after its last pull, in heartbeats.
	leaseHeartbeats = 3
)

// Agent is the client of the control plane on one machine.
type Agent struct {
	// ReloadSeeds reads the seeds again, control addresses as in settings.Settings.Seeds; nil: they don't change.
	ReloadSeeds func() []string
	// Dial connects to control servers; New sets distribution.Dial. Tests set the dialer of a simulated
	// network.
	Dial distribution.DialFunc

	settings settings.Settings
	log      *zap.Logger
	cache    *distribution.Cache // the proxy is served from it

	// The fields below belong to the goroutine of Run.

	// upstreamVersions are the control servers' versions of the last received resources, by resource type.
	upstreamVersions map[string]distribution.Version
	// localVersion is the newest version of the volatile resources in the cache. This process assigns these versions
	// itself, since it may have to replace the list by one that it polled. Epoch is the process's start time in ns, so
	// that versions of a later incarnation are newer.
	localVersion distribution.Version
	// listVersions translates the local versions of lists into the control servers' versions.
	listVersions listVersionMap
	// pending is a list from a control server that may be stale.
	pending pendingList

	// seedAddrs are the pull addresses of the settings' seeds. serverAddrs holds them, then the control servers'
	// addresses that were received last, then earlier ones, without duplicates and at most maxServers.
	seedAddrs   []string
	serverAddrs []string

	// platform is polled for the list while the control plane is unreachable; nil: none is configured.
	platform *externalapi.PlatformClient
	// nextPoll is the earliest time of the next poll of the platform.
	nextPoll time.Time
	// polledList is the list in the cache if this process polled it; nil: no list, or a control server's.
	polledList []byte
	// proxyCount is the number of proxies last reported by the control plane; 0: unknown.
	proxyCount int
}

// New returns a node agent with the given settings. It neither connects nor listens; Run does.
func New(set settings.Settings, log *zap.Logger) *Agent {
	a := &Agent{
		Dial:             distribution.Dial,
		settings:         set,
		log:              log,
		cache:            distribution.NewCache(),
		upstreamVersions: map[string]distribution.Version{},
		localVersion:     distribution.Version{Epoch: uint64(time.Now().UnixNano())},
	}
	a.setSeeds(set.Seeds)
	if set.Provider.Address != "" {
		a.platform = externalapi.NewPlatformClient(set.Provider.Address, platformCallTimeout)
	}
	return a
}

// Run serves the proxy and watches a control server until parent ends; it then returns nil, once all its goroutines
// have ended. After parent's end it continues while the proxy drains and until the last residency report is forwarded,
// at most until shortly before the end of the platform's grace period (Bounds.Grace). It returns an error if it can't
// listen on the loopback port, or if no seed is a valid address.
func (a *Agent) Run(parent context.Context) error {
	ctx, end := context.WithCancel(context.WithoutCancel(parent))
	defer end()
	longPoll, readTimeout := distribution.PullTimeouts(a.settings.Bounds.Apply, a.settings.Heartbeat)
	defer context.AfterFunc(parent, func() {
		a.awaitShutdown(ctx, longPoll)
		end()
	})()
	ln, err := sockets.Listen(ctx, distribution.NodeAgentAddr(a.settings.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the proxy")
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	idleTimeout := a.leaseTerm() + time.Second
	var serving sync.WaitGroup
	serving.Go(func() {
		distribution.Serve(ctx, ln, a.settings.NodeName, a.cache, idleTimeout, a.cache.LastContact)
	})
	defer serving.Wait()
	defer end()
	a.log.Info("started")
	return a.followServers(ctx, longPoll, readTimeout)
}

// followServers watches one control server after the other until ctx ends, starting with a random one, so that the
// agents of a fleet are spread over the control servers.
func (a *Agent) followServers(ctx context.Context, longPoll, readTimeout time.Duration) error {
	selection := serverSelection{longPoll: longPoll, maxContactAge: contactAgeLimit(longPoll, readTimeout)}
	backoff := distribution.Backoff{Min: minBackoff, Max: maxBackoff}
	for i := rand.IntN(max(len(a.serverAddrs), 1)); ctx.Err() == nil; i++ {
		if len(a.serverAddrs) == 0 {
			return errors.New("peers: no address of a control server")
		}
		addr := a.serverAddrs[i%len(a.serverAddrs)]
		selection.begin(time.Now())
		err := distribution.Watch(ctx, addr, a.newWatcher(&selection, readTimeout))
		selection.end()
		if ctx.Err() == nil {
			a.log.Debug("stopped following control server", zap.String("addr", addr), zap.Error(err))
		}
		if a.ReloadSeeds != nil && i%len(a.serverAddrs) == len(a.serverAddrs)-1 {
			a.setSeeds(a.ReloadSeeds()) // every known server was tried: the settings may have new seeds
		}
		a.pollDirectly(ctx)
		backoff.Wait(ctx, time.Since(selection.followedSince))
	}
	return nil
}

// newWatcher returns the watcher of one control server, which ends when the selection leaves that server.
func (a *Agent) newWatcher(selection *serverSelection, readTimeout time.Duration) *distribution.Watcher {
	w := &distribution.Watcher{
		Name:        a.settings.NodeName,
		MaxWait:     selection.longPoll,
		ReadTimeout: readTimeout,
		Dial:        a.Dial,
		Members:     a.members,
		PushMembers: a.members,
		// The start of a drain is pushed at once: the other proxies need the number of proxies that still serve.
		MembersChanged: a.cache.DrainingChanged(),
		Versions:       a.versionVector,
		Residency:      func(time.Time) *distribution.ResidencyOutbox { return a.cache.Residency },
		Outcomes:       a.cache.Outcomes,
		Continue: func() bool {
			return selection.keepFollowing(time.Now(), a.contactAge(), len(a.serverAddrs))
		},
		NextWait: func() time.Duration {
			return selection.pullTimeout(a.contactAge(), len(a.serverAddrs))
		},
	}
	w.Apply = func(r *distribution.Response) []string { return a.applyResponse(r, w.ReceivedAt()) }
	return w
}

// members returns the proxy of this machine, if its lease is valid. It may be called from any goroutine.
func (a *Agent) members() []distribution.Member {
	return a.listVersions.translate(a.cache.Members(time.Now(), a.leaseTerm()))
}

// leaseTerm returns how long a proxy's lease is valid after its last pull.
func (a *Agent) leaseTerm() time.Duration { return leaseHeartbeats * a.settings.Heartbeat }

// contactAge returns the age of the last contact with a primary that any control server reported.
func (a *Agent) contactAge() time.Duration {
	lastContact, _ := a.cache.LastContact()
	return time.Since(lastContact)
}
