package proxy

import (
	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
)

// applyEjections takes the fleet's word on the backends of the service, as it concerns proxies of a zone.
func (s *service) applyEjections(ejections []distribution.Ejection, zone string, proxies outlier.ProxyCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	ejected, restored := s.trials.SetEjections(now, ejections, zone, proxies, func(id string) bool { return s.byID[id] != nil })
	for _, id := range ejected {
		s.ranker.Eject(now, id, outlier.EjectionExpiry(now))
	}
	for _, id := range restored {
		s.ranker.Restore(now, id)
	}
}

// dueTrial is the ejected backend of a phase that the request is to try; nil: none. The lock is held.
func (s *service) dueTrial(req *placementRequest, phase string, risk outlier.Risk) *backend {
	id := s.trials.NextTrial(req.now, risk, func(id string) bool { return s.triable(id) && s.eligible(req, id, phase) })
	return s.byID[id]
}

// triable tells whether a backend that is ejected may be sent to at all. The lock is held.
func (s *service) triable(id string) bool {
	b := s.byID[id]
	return b != nil && !b.Draining
}
