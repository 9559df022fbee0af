package nodeagent

import (
	"maps"
	"time"

	"molepaddle/internal/fleet/distribution"
)

// versionVector returns the versions that were last received, by resource type; a control server sends newer resources.
func (a *Agent) versionVector() map[string]distribution.Version {
	return maps.Clone(a.upstreamVersions)
}

// applyResponse stores a control server's response, received at receivedAt, in the cache. It returns the resource types
// whose changes don't follow on the cache's version: the watcher requests their snapshots. The configuration, which is
// durable state, keeps the control servers' version; all other resources get a local version.
func (a *Agent) applyResponse(
	response *distribution.Response, receivedAt time.Time,
) (incomplete []string) {
	durable := *response
	durable.Resources = nil
	for _, resource := range response.Resources {
		a.upstreamVersions[resource.Type] = resource.Version
		if resource.Type == distribution.ConfigType {
			durable.Resources = append(durable.Resources, resource)
		}
	}
	incomplete = a.cache.Apply(&durable, receivedAt)
	for i := range response.Resources {
		if resource := &response.Resources[i]; resource.Type != distribution.ConfigType {
			a.applyVolatile(resource)
		}
	}
	a.publishPending()
	for _, resourceType := range incomplete {
		delete(a.upstreamVersions, resourceType)
	}
	return incomplete
}

// applyVolatile stores a resource other than the configuration. A list of backends becomes the pending list.
func (a *Agent) applyVolatile(resource *distribution.Resource) {
	switch resource.Type {
	case distribution.BackendListType:
		a.pending.resource = resource
		return
	case distribution.ControlServersType:
		var servers distribution.ControlServers
		if _, err := servers.UnmarshalMsg(resource.Snapshot); err == nil {
			a.addServers(servers.PullAddrs)
		}
	case distribution.MembershipSizeType:
		var size distribution.MembershipSize
		if _, err := size.UnmarshalMsg(resource.Snapshot); err == nil {
			a.proxyCount = size.Proxies
		}
	}
	a.publish(resource)
}

// publish stores a resource's snapshot in the cache with the next local version.
func (a *Agent) publish(resource *distribution.Resource) {
	a.localVersion.Count++
	a.cache.SetSnapshot(resource.Type, a.localVersion, resource.Snapshot)
}
