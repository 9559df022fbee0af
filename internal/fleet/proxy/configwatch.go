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
	// minWatchBackoff and maxWatchBackoff bound the wait before reconnecting to the node agent. The wait is short
	// because the agent is on the same machine, and a proxy without it gets no new endpoint list.
	minWatchBackoff = 5 * time.Millisecond
	maxWatchBackoff = 100 * time.Millisecond
	// confirmationsPerRevoke is how often within Bounds.Revoke the node agent is asked for the age of its
	// configuration.
	confirmationsPerRevoke = 10
	// watchReadTimeout is how much longer than its requested wait the response to a pull may take.
	watchReadTimeout = time.Second
)

// errMissingBase means that a configuration update is based on a version that this proxy does not have.
var errMissingBase = errors.New("delta update is based on a version that this proxy does not have")

// configState is the state received from the node agent. It belongs to the goroutine of followNodeAgent; all others see
// the routing snapshot that is built from it.
type configState struct {
	versions map[string]distribution.Version // versions of the resources applied, by type

	doc      *routingconfig.Document // configuration in force; nil: none received
	docSince time.Time               // when it came into force

	index      *routingconfig.Index    // built from indexedDoc
	indexedDoc *routingconfig.Document // nil: none yet

	services     map[string]*service // by name; they outlive snapshots
	list         distribution.BackendList
	listReceived bool

	quotaRule quota.Rule

	proxies     int // number of proxies in the fleet
	zoneProxies int // number of proxies in this proxy's zone
}

// followNodeAgent applies the updates of the node agent, and reconnects with backoff, until ctx ends.
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

// nodeAgentWatcher returns the watcher that defines the contents of each pull from the node agent and applies the
// response.
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
		return nil // a rejected resource has no version any more, so the next pull requests it again
	}
	return w
}

// watchWait returns how long a pull may wait for an update. By the time the next pull is answered, the configuration
// age of the last response is one wait older, and that counts against the time in which keys are accepted.
func (p *Proxy) watchWait() time.Duration {
	if !p.settings.Bounds.StrictRevoke {
		return p.settings.Heartbeat
	}
	return min(p.settings.Heartbeat, p.settings.Bounds.Revoke/confirmationsPerRevoke)
}

// renewLease returns this proxy's member record for the renewal of its lease.
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

// lastLease returns the member record of the last pull with the current draining state; nil: the proxy has no lease
// yet. It may be called from any goroutine.
func (p *Proxy) lastLease() []distribution.Member {
	last := p.lease.Load()
	if last == nil {
		return nil // it has no lease yet
	}
	m := *last
	m.Draining = p.lifecycle.Leaving()
	return []distribution.Member{m}
}

// announceDraining triggers an immediate push of this proxy's draining state to the fleet.
func (p *Proxy) announceDraining() {
	select {
	case p.drainingAnnounced <- struct{}{}:
	default:
	}
}

// apply applies the resources of a response that was received at a time. A resource that cannot be applied is logged,
// and the next pull requests a complete one.
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

// applyResource applies one resource. Types unknown to this build are ignored, so that a newer control plane may send
// more.
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

// applyConfig applies a configuration: a complete one, or changes to the one in force. The one in force is kept if the
// result is not newer or any part of the update is invalid.
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
	// A node agent that was disconnected may deliver an older configuration. The version that clients have seen in
	// force must not go back.
	if doc.Version() > p.doc.Version() {
		p.doc = doc
		p.docSince = time.Now()
		p.quota.SetLimits(p.quotaRule.LimitsOf(doc.Accounts()))
		p.log.Info("configuration in force", zap.Int64("version", doc.Version()), zap.Int("routes", doc.NumRoutes()))
	}
	return nil
}

// applyBackendList replaces the endpoint list.
func (p *Proxy) applyBackendList(resource *distribution.Resource) error {
	var list distribution.BackendList
	if _, err := list.UnmarshalMsg(resource.Snapshot); err != nil {
		return err
	}
	p.list = list
	p.listReceived = true
	return nil
}

// applyMembershipSize applies the number of proxies, in total and in this proxy's zone; both are at least 1.
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

// applyLoadReport passes the loads that the control plane polled to the services.
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

// applyEjections passes the ejections of the fleet's outlier detection to the services.
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
