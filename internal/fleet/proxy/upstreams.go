package proxy

import (
	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/ranking"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/scheduler"
)

// backend is a listed backend with its endpoint, which owns the connections to it. It is immutable: a changed list
// entry creates a new one.
type backend struct {
	distribution.Backend
	endpoint *residency.Endpoint
}

// updateEndpoints applies the service's part of the endpoint list. If an id is listed twice the first entry counts. A
// changed address makes a new backend: connections to the old address are closed.
func (s *service) updateEndpoints(list []distribution.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(list))
	newestWeights := int64(0)
	endpoints := make([]ranking.Endpoint, 0, len(list))
	for _, b := range list {
		if listed[b.ID] {
			continue
		}
		listed[b.ID] = true
		if !b.Draining {
			newestWeights = max(newestWeights, b.Weights)
		}
		s.byID[b.ID] = s.updateBackend(b)
		endpoints = append(endpoints, ranking.Endpoint{ID: b.ID, Usable: !b.Draining})
	}
	for id, b := range s.byID {
		if !listed[id] {
			b.endpoint.Retire()
			delete(s.byID, id)
		} else if b.Draining {
			b.endpoint.CloseIdle()
		}
	}
	s.weights.observe(s.now(), newestWeights)
	s.ranker.SetEndpoints(s.now(), endpoints)
	s.syncEngines()
}

// updateBackend returns the backend for a list entry. It keeps the connections if the address has not changed. The lock
// is held.
func (s *service) updateBackend(b distribution.Backend) *backend {
	old := s.byID[b.ID]
	if old != nil && old.Address == b.Address {
		old.endpoint.SetZone(b.Zone)
		return &backend{Backend: b, endpoint: old.endpoint}
	}
	if old != nil {
		old.endpoint.Retire()
	}
	return &backend{Backend: b, endpoint: s.gate.Endpoint(b.ID, b.Address, b.Zone)}
}

// syncEngines passes the list of backends to the estimator. The lock is held.
func (s *service) syncEngines() {
	if s.engines == nil {
		return
	}
	all := make([]scheduler.Backend, 0, len(s.byID))
	for id, b := range s.byID {
		all = append(all, scheduler.Backend{ID: id, Zone: b.Zone, Prefill: b.Phase == externalapi.PhasePrefill})
	}
	s.engines.SetBackends(all)
}

// withinTerms reports whether a listed backend may hold data under the terms. It is called only for requests that have
// terms, to save the cost of the check for others. The lock is held.
func (s *service) withinTerms(id string, terms residency.Terms) bool {
	return s.byID[id].endpoint.Allowed(terms)
}
