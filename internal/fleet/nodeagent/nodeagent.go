// Package nodeagent is the node agent beside a proxy: it pulls the configuration, the list of backends and the other
// resources from one control server at a time, keeps them in a cache, and serves the proxy from that cache over
// loopback. It also carries the proxy's lease, outcomes and residency reports the other way.
//
// It decides nothing about requests and stores nothing on disk: after a restart it pulls everything anew. While no
// control server is in touch with a primary it polls the platform's list of backends itself (see pollDirectly).
//
// One goroutine, that of Agent.Run, owns an Agent's state; only the cache is shared, with the goroutines that serve the
// proxy, and it locks for itself. New and Run are for the program's main goroutine.
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
	// minBackoff and maxBackoff bound the wait between two control servers: short, since a change has to be in force at
	// the proxy within Bounds.Apply whichever of them was partitioned off.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// platformCallTimeout bounds one call to the platform.
	platformCallTimeout = time.Second
	// leaseHeartbeats is how many heartbeats a proxy's lease lasts after its last pull.
	leaseHeartbeats = 3
)

// Agent is one machine's link to the control plane.
type Agent struct {
	// ReloadSeeds reads the seeds anew, control addresses as in settings.Settings.Seeds; nil: they don't change.
	ReloadSeeds func() []string
	// Dial connects to control servers; New sets distribution.Dial. Tests put a network of their own in between.
	Dial distribution.DialFunc

	settings settings.Settings
	log      *zap.Logger
	cache    *distribution.Cache // what the proxy is served from

	// What follows belongs to the goroutine of Run.

	// upstreamVersions are the versions that were last received, by resource type, as the control servers count them.
	upstreamVersions map[string]distribution.Version
	// localVersion is the newest version of the volatile resources in the cache. This process counts them itself,
	// since it may have to replace the list by one that it polled; Epoch is the time of its start in ns, so that the
	// counts of two incarnations don't mix.
	localVersion distribution.Version
	// listVersions translates the local versions of lists into the control servers'.
	listVersions listVersionMap
	// pending is a list from a control server that may be out of date.
	pending pendingList

	// seedAddrs are the pull addresses of the settings' seeds. serverAddrs begins with them, followed by those of the
	// control servers that were last named, and earlier ones: no duplicates, maxServers at the most.
	seedAddrs   []string
	serverAddrs []string

	// platform is asked for the list while the control plane is unreachable; nil: there is none.
	platform *externalapi.PlatformClient
	// nextPoll is when the platform may be asked again.
	nextPoll time.Time
	// polledList is the list that was polled here and is in the cache; nil: none, or a control server's is.
	polledList []byte
	// proxyCount is how many proxies the control plane last counted; 0: not known.
	proxyCount int
}

// New makes a node agent with the settings given. It neither connects nor listens: Run does.
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

// Run serves the proxy and follows a control server until parent ends; it then returns nil, when all that it began has
// ended. While the proxy drains it goes on after that, and until the last of its residency reports is handed on, at
// most until shortly before the end of the platform's grace (Bounds.Grace). Errors: the port on loopback can't be
// listened at, or no seed is an address.
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

// followServers follows one control server after the other until ctx ends, from a random one on, so that the agents
// of a fleet spread over the control servers.
func (a *Agent) followServers(ctx context.Context, longPoll, readTimeout time.Duration) error {
	selection := serverSelection{longPoll: longPoll, maxContactAge: contactAgeLimit(longPoll, readTimeout)}
	backoff := distribution.Backoff{Min: minBackoff, Max: maxBackoff}
	for i := rand.IntN(max(len(a.serverAddrs), 1)); ctx.Err() == nil; i++ {
		if len(a.serverAddrs) == 0 {
			return errors.New("peers: none to ask")
		}
		addr := a.serverAddrs[i%len(a.serverAddrs)]
		selection.begin(time.Now())
		err := distribution.Watch(ctx, addr, a.newWatcher(&selection, readTimeout))
		selection.end()
		if ctx.Err() == nil {
			a.log.Debug("stopped following control server", zap.String("addr", addr), zap.Error(err))
		}
		if a.ReloadSeeds != nil && i%len(a.serverAddrs) == len(a.serverAddrs)-1 {
			a.setSeeds(a.ReloadSeeds()) // every known server was tried: the file may name others by now
		}
		a.pollDirectly(ctx)
		backoff.Wait(ctx, time.Since(selection.followedSince))
	}
	return nil
}

// newWatcher is the watch of one control server: it goes on for as long as the selection keeps to that server.
func (a *Agent) newWatcher(selection *serverSelection, readTimeout time.Duration) *distribution.Watcher {
	w := &distribution.Watcher{
		Name:        a.settings.NodeName,
		MaxWait:     selection.longPoll,
		ReadTimeout: readTimeout,
		Dial:        a.Dial,
		Members:     a.members,
		PushMembers: a.members,
		// A proxy that begins to drain is told of at once: its peers have to know who still serves.
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

// members returns the proxy behind this process, if its lease stands. It may be called from any goroutine.
func (a *Agent) members() []distribution.Member {
	return a.listVersions.translate(a.cache.Members(time.Now(), a.leaseTerm()))
}

// leaseTerm is how long a proxy counts as alive after its last pull.
func (a *Agent) leaseTerm() time.Duration { return leaseHeartbeats * a.settings.Heartbeat }

// contactAge is how long ago a primary was last in touch, as reported by whichever control server.
func (a *Agent) contactAge() time.Duration {
	lastContact, _ := a.cache.LastContact()
	return time.Since(lastContact)
}
