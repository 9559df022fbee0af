package proxy

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/routingconfig"
)

// followNodeAgent pulls from the node agent for as long as the process lives.
func (p *Proxy) followNodeAgent(ctx context.Context) {
	pause := distribution.Backoff{Min: 5 * time.Millisecond, Max: 100 * time.Millisecond}
	for ctx.Err() == nil {
		began := time.Now()
		err := distribution.Watch(ctx, distribution.NodeAgentAddr(p.settings.Ports), &distribution.Watcher{Name: p.settings.NodeName, MaxWait: p.settings.Heartbeat, ReadTimeout: time.Second,
			Members:  func() []distribution.Member { return []distribution.Member{p.member(time.Now())} },
			Versions: func() map[string]distribution.Version { return maps.Clone(p.versions) },
			Apply:    func(n *distribution.Response) []string { p.apply(n); return nil },
			Outcomes: p.outcomes,
			Residency: func(now time.Time) *distribution.ResidencyOutbox {
				p.residency.report(now, p.residencyReports, false)
				return p.residencyReports
			}})
		if ctx.Err() != nil {
			return
		}
		p.log.Debug("node agent lost", zap.Error(err))
		pause.Wait(ctx, time.Since(began))
	}
}

// member is this proxy as its lease tells of it.
func (p *Proxy) member(now time.Time) distribution.Member {
	m := distribution.Member{Name: p.settings.NodeName, Zone: p.settings.Zone, BackendListVersion: p.versions[distribution.BackendListType]}
	if p.doc != nil {
		m.ConfigVersion, m.ConfigAgeMs = p.doc.Version(), now.Sub(p.docSince).Milliseconds()
	}
	return m
}

// apply takes news; what can't be used is asked for anew, whole.
func (p *Proxy) apply(response *distribution.Response) {
	routingChanged := false
	for i := range response.Resources {
		resource := &response.Resources[i]
		if err := p.applyResource(resource); err != nil {
			p.log.Warn("news not understood", zap.String("source", resource.Type), zap.Error(err))
			delete(p.versions, resource.Type)
			continue
		}
		p.versions[resource.Type] = resource.Version
		routingChanged = routingChanged || resource.Type != distribution.LoadReportType && resource.Type != distribution.EjectionsType
	}
	if routingChanged {
		p.rebuildSnapshot()
	}
}

func (p *Proxy) applyResource(resource *distribution.Resource) error {
	switch resource.Type {
	case distribution.ConfigType:
		doc := p.doc
		if resource.Snapshot != nil {
			d, found := routingconfig.Decode(resource.Snapshot)
			if err := found.Err(); err != nil {
				return err
			}
			doc = d
		} else if p.versions[resource.Type] != resource.BaseVersion {
			return errors.New("changes of a version that is not had")
		}
		for _, c := range resource.Changes {
			change := routingconfig.Update
			if c.Replace {
				change = routingconfig.Replace
			}
			d, found := change(doc, c.Body)
			if err := found.Err(); err != nil {
				return err
			}
			doc = d
		}
		if doc.Version() > p.doc.Version() { // never back to an older one, whoever offers it
			p.doc, p.docSince = doc, time.Now()
			p.log.Info("configuration in force", zap.Int64("version", doc.Version()), zap.Int("routes", doc.NumRoutes()))
		}
	case distribution.BackendListType:
		var list distribution.BackendList
		if _, err := list.UnmarshalMsg(resource.Snapshot); err != nil {
			return err
		}
		p.list, p.listReceived = list, true
	case distribution.MembershipSizeType:
		var members distribution.MembershipSize
		if _, err := members.UnmarshalMsg(resource.Snapshot); err != nil {
			return err
		}
		p.proxies, p.zoneProxies = max(members.Proxies, 1), max(members.Zones[p.settings.Zone], 1)
	case distribution.LoadReportType:
		var gauges distribution.LoadReport
		if _, err := gauges.UnmarshalMsg(resource.Snapshot); err != nil {
			return err
		}
		for _, s := range p.services {
			s.applyGauges(gauges.Active, gauges.Unresponsive)
		}
	case distribution.EjectionsType:
		var all distribution.Ejections
		if _, err := all.UnmarshalMsg(resource.Snapshot); err != nil {
			return err
		}
		for _, s := range p.services {
			s.applyEjections(all.Ejected, p.settings.Zone, outlier.ProxyCount{All: p.proxies, InZone: p.zoneProxies})
		}
	}
	return nil
}

// rebuildSnapshot has requests served by what is known now.
func (p *Proxy) rebuildSnapshot() {
	if p.doc == nil {
		return
	}
	snapshot := &routingSnapshot{index: routingconfig.NewIndex(p.doc), limits: p.doc.Limits(), services: map[string]*service{}, version: p.doc.Version(), proxies: p.proxies}
	snapshot.computeResidency(p.doc)
	backends := map[string][]distribution.Backend{}
	for _, b := range p.list.Backends {
		backends[b.Service] = append(backends[b.Service], b)
	}
	for _, c := range p.doc.Services() {
		s := p.services[c.Name]
		if s == nil {
			s = newService(c.Name, p.gate, p.settings.Bounds.Contact)
			p.services[c.Name] = s
		}
		s.configure(c)
		s.updateEndpoints(backends[c.Name])
		s.mu.Lock()
		s.retryBudget.configure(time.Now(), p.settings.Bounds.RetryRatio, p.settings.Bounds.RetryExtra, p.settings.Bounds.RetryWindow, p.proxies)
		s.mu.Unlock()
		snapshot.services[c.Name] = s
	}
	for name := range p.services {
		if snapshot.services[name] == nil {
			delete(p.services, name)
		}
	}
	p.snapshot.Store(snapshot)
	p.residency.cancelWithdrawn(snapshot)
	if p.listReceived && !p.ready.Swap(true) {
		close(p.becameReady)
	}
}
