package proxy

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/routingconfig"
)

const (
	// minWatchBackoff and maxWatchBackoff bound the wait before the node agent is connected to again. It is on the same
	// machine, and a proxy without it gets no new endpoint list: the wait is short.
	minWatchBackoff = 5 * time.Millisecond
	maxWatchBackoff = 100 * time.Millisecond
	// confirmationsPerRevoke is how often in Bounds.Revoke the node agent is asked how old its configuration is.
	confirmationsPerRevoke = 10
	// watchReadTimeout is how much longer than the wait that a pull asks for its response may take.
	watchReadTimeout = time.Second
)

// errMissingBase says that a configuration update changes a version that this proxy doesn't have.
var errMissingBase = errors.New("changes of a version that is not had")

// configState is what the proxy has received from the node agent. It belongs to the goroutine of followNodeAgent; all
// others see the routing snapshot that is built of it.
type configState struct {
	versions map[string]distribution.Version // of the resources applied, by type

	doc      *routingconfig.Document // the configuration in force; nil: none has come
	docSince time.Time               // when it came into force

	index      *routingconfig.Index    // of indexedDoc
	indexedDoc *routingconfig.Document // nil: none yet

	services     map[string]*service // by name; they outlive snapshots
	list         distribution.BackendList
	listReceived bool

	quotaRule quota.Rule

	proxies     int // of the fleet
	zoneProxies int // of those, in this proxy's zone
}

// followNodeAgent applies what the node agent sends, and reconnects to it with backoff, until ctx ends.
func (p *Proxy) followNodeAgent(ctx context.Context) {
	backoff := distribution.Backoff{Min: minWatchBackoff, Max: maxWatchBackoff}
	for ctx.Err() == nil {
		began := time.Now()
		err := distribution.Watch(ctx, distribution.NodeAgentAddr(p.settings.Ports), p.nodeAgentWatcher())
		if ctx.Err() != nil {
			return
		}
		p.log.Debug("node agent connection lost", zap.Error(err))
		backoff.Wait(ctx, time.Since(began))
	}
}

// nodeAgentWatcher says what each pull from the node agent carries and what is done with its response.
func (p *Proxy) nodeAgentWatcher() *distribution.Watcher {
	w := &distribution.Watcher{
		Name:           p.settings.NodeName,
		MaxWait:        p.watchWait(),
		ReadTimeout:    watchReadTimeout,
		Members:        func() []distribution.Member { return []distribution.Member{p.renewLease(time.Now())} },
		Versions:       func() map[string]distribution.Version { return maps.Clone(p.versions) },
		Outcomes:       p.outcomes,
		MembersChanged: p.drainingAnnounced,
		PushMembers:    p.lastLease,
		Residency: func(now time.Time) *distribution.ResidencyOutbox {
			p.residency.report(now, p.residencyReports, false)
			return p.residencyReports
		},
	}
	w.Apply = func(response *distribution.Response) []string {
		p.apply(response, w.ReceivedAt())
		return nil // what was rejected has no version any more, which asks for it again
	}
	return w
}

// watchWait is how long a pull may wait for an update. What it tells of the configuration's age is as old as the pull
// when the next one is answered, which is a part of the time in which keys may be used.
func (p *Proxy) watchWait() time.Duration {
	if !p.settings.Bounds.StrictRevoke {
		return p.settings.Heartbeat
	}
	return min(p.settings.Heartbeat, p.settings.Bounds.Revoke/confirmationsPerRevoke)
}

// renewLease describes this proxy for the renewal of its lease.
func (p *Proxy) renewLease(now time.Time) distribution.Member {
	m := distribution.Member{
		Name:               p.settings.NodeName,
		Zone:               p.settings.Zone,
		BackendListVersion: p.versions[distribution.BackendListType],
		Draining:           p.lifecycle.Leaving(),
	}
	if p.doc != nil {
		m.ConfigVersion = p.doc.Version()
		m.ConfigAgeMs = now.Sub(p.docSince).Milliseconds()
	}
	p.lease.Store(&m)
	return m
}

// lastLease describes this proxy as in its last pull, but for whether it drains. It may be called from any goroutine.
func (p *Proxy) lastLease() []distribution.Member {
	last := p.lease.Load()
	if last == nil {
		return nil // it has no lease yet
	}
	m := *last
	m.Draining = p.lifecycle.Leaving()
	return []distribution.Member{m}
}

// announceDraining has the fleet told at once that this proxy drains.
func (p *Proxy) announceDraining() {
	select {
	case p.drainingAnnounced <- struct{}{}:
	default:
	}
}

// apply applies the resources of a response that was received at a time. One that can't be used is logged, and asked
// for again as a complete one with the next pull.
func (p *Proxy) apply(response *distribution.Response, receivedAt time.Time) {
	routingChanged, configApplied := false, true
	for i := range response.Resources {
		resource := &response.Resources[i]
		if err := p.applyResource(resource); err != nil {
			p.log.Warn("resource rejected", zap.String("source", resource.Type), zap.Error(err))
			delete(p.versions, resource.Type)
			configApplied = configApplied && resource.Type != distribution.ConfigType
			continue
		}
		p.versions[resource.Type] = resource.Version
		switch resource.Type {
		case distribution.LoadReportType, distribution.EjectionsType: // these go to the services directly
		default:
			routingChanged = true
		}
	}
	if routingChanged {
		p.rebuildSnapshot()
	}
	if host, _, err := net.SplitHostPort(response.Primary); err == nil {
		p.primaryHost.Store(&host)
	}
	if configApplied && p.doc != nil && response.LastContactMs >= 0 {
		p.confirmConfig(receivedAt.Add(-time.Duration(response.LastContactMs) * time.Millisecond))
	}
}

// applyResource applies one resource. A type that this build doesn't know is passed over, so that a newer control plane
// may send more.
func (p *Proxy) applyResource(resource *distribution.Resource) error {
	switch resource.Type {
	case distribution.ConfigType:
		return p.applyConfig(resource)
	case distribution.BackendListType:
		return p.applyBackendList(resource)
	case distribution.MembershipSizeType:
		return p.applyMembershipSize(resource)
	case distribution.LoadReportType:
		return p.applyLoadReport(resource)
	case distribution.EjectionsType:
		return p.applyEjections(resource)
	}
	return nil
}

// applyConfig puts a configuration in force: a complete one or changes of the one in force, which is kept if the result
// isn't newer or any of it is invalid.
func (p *Proxy) applyConfig(resource *distribution.Resource) error {
	doc := p.doc
	if resource.Snapshot != nil {
		d, found := routingconfig.Decode(resource.Snapshot, routingconfig.Stored())
		if err := found.Err(); err != nil {
			return err
		}
		doc = d
	} else if p.versions[resource.Type] != resource.BaseVersion {
		return errMissingBase
	}
	for _, c := range resource.Changes {
		change := routingconfig.Update
		if c.Replace {
			change = routingconfig.Replace
		}
		d, found := change(doc, c.Body, routingconfig.Stored())
		if err := found.Err(); err != nil {
			return err
		}
		doc = d
	}
	// A node agent that has been away may offer an older one: what clients have seen in force doesn't go back.
	if doc.Version() > p.doc.Version() {
		p.doc = doc
		p.docSince = time.Now()
		p.quota.SetLimits(p.quotaRule.LimitsOf(doc.Accounts()))
		p.log.Info("configuration in force", zap.Int64("version", doc.Version()), zap.Int("routes", doc.NumRoutes()))
	}
	return nil
}

// applyBackendList takes the complete endpoint list.
func (p *Proxy) applyBackendList(resource *distribution.Resource) error {
	var list distribution.BackendList
	if _, err := list.UnmarshalMsg(resource.Snapshot); err != nil {
		return err
	}
	p.list = list
	p.listReceived = true
	return nil
}

// applyMembershipSize takes the number of proxies, in all and in this one's zone: at least this one.
func (p *Proxy) applyMembershipSize(resource *distribution.Resource) error {
	var size distribution.MembershipSize
	if _, err := size.UnmarshalMsg(resource.Snapshot); err != nil {
		return err
	}
	p.proxies = max(size.Proxies, 1)
	p.zoneProxies = max(size.Zones[p.settings.Zone], 1)
	p.shutdown.setPeers(peersOf(&size, p.settings.Zone))
	return nil
}

// applyLoadReport hands the loads that the control plane polled to the services.
func (p *Proxy) applyLoadReport(resource *distribution.Resource) error {
	var report distribution.LoadReport
	if _, err := report.UnmarshalMsg(resource.Snapshot); err != nil {
		return err
	}
	for _, s := range p.services {
		s.applyPolledLoad(report.Active, report.Unresponsive)
	}
	return nil
}

// applyEjections hands the ejections of the fleet's outlier detection to the services.
func (p *Proxy) applyEjections(resource *distribution.Resource) error {
	var ejections distribution.Ejections
	if _, err := ejections.UnmarshalMsg(resource.Snapshot); err != nil {
		return err
	}
	count := outlier.ProxyCount{All: p.proxies, InZone: p.zoneProxies}
	for _, s := range p.services {
		s.applyEjections(ejections.Ejected, p.settings.Zone, count)
	}
	return nil
}
