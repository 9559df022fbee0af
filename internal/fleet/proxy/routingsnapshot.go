package proxy

import (
	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
)

// routingSnapshot is the routing state that requests are served with. It is immutable except for the services, which
// have locks of their own, and is replaced as a whole.
type routingSnapshot struct {
	index    *routingconfig.Index
	limits   *routingconfig.Limits
	services map[string]*service // by name
	version  int64               // of the configuration
	proxies  int                 // number of proxies in the fleet, as reported by the control plane

	residencyByRoute map[string]*routeResidency // of residency-bound routes, by name
	termsByTenant    map[string]residency.Terms // by name
}

// rebuildSnapshot publishes a routing snapshot built from the configuration and the endpoint list received so far, and
// cancels attempts in flight that the new residency terms no longer allow. It does nothing before the first
// configuration.
func (p *Proxy) rebuildSnapshot() {
	if p.doc == nil {
		return
	}
	snapshot := &routingSnapshot{
		index:    p.indexOf(p.doc),
		limits:   p.doc.Limits(),
		services: map[string]*service{},
		version:  p.doc.Version(),
		proxies:  p.proxies,
	}
	snapshot.computeResidency(p.doc)
	p.updateServices(snapshot.services)
	p.snapshot.Store(snapshot)
	p.removeUnusedServices(snapshot)
	p.residency.cancelWithdrawn(snapshot)
	if p.listReceived && !p.ready.Swap(true) {
		close(p.becameReady)
	}
}

// indexOf returns the route table of a configuration, which is rebuilt only when the configuration changes.
func (p *Proxy) indexOf(doc *routingconfig.Document) *routingconfig.Index {
	if p.indexedDoc != doc {
		p.index = routingconfig.NewIndex(doc)
		p.indexedDoc = doc
	}
	return p.index
}

// updateServices applies the configuration and the endpoint list received to the services, and adds the configured
// services to current. Requests that use a service finish with it: one that is no longer configured follows the
// endpoint list until they have ended.
func (p *Proxy) updateServices(current map[string]*service) {
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
		s.configureRetries(&p.settings.Bounds, p.proxies)
		current[c.Name] = s
	}
	for name, s := range p.services {
		s.updateEndpoints(backends[name])
	}
}

// removeUnusedServices removes the services that are no longer configured and that no request uses. The snapshot has to
// be published before the call: a request that can't acquire a service finds a newer snapshot.
func (p *Proxy) removeUnusedServices(snapshot *routingSnapshot) {
	for name, s := range p.services {
		if snapshot.services[name] == nil && s.removeUnused() {
			delete(p.services, name)
		}
	}
}

// acquireService returns the service that serves a request with an id on a route, for the request to release; nil: it
// is not configured. current is false if the service has been removed, so that a newer snapshot has been published.
func (rs *routingSnapshot) acquireService(route *routingconfig.Route, id string) (svc *service, current bool) {
	svc = rs.services[route.Pick(xxhash.Sum64String(id)).Name]
	if svc != nil && !svc.acquire() {
		return nil, false
	}
	return svc, true
}
