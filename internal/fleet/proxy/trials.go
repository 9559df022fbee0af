package proxy

import (
	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
)

// applyEjections applies the ejections in force, as far as they concern proxies of the zone: an ejected backend gets
// only trial requests. A backend that is no longer ejected is restored.
func (s *service) applyEjections(ejections []distribution.Ejection, zone string, proxies outlier.ProxyCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	listed := func(id string) bool { return s.byID[id] != nil }
	ejected, restored := s.trials.SetEjections(now, ejections, zone, proxies, listed)
	for _, id := range ejected {
		s.ranker.Eject(now, id, outlier.EjectionExpiry(now))
	}
	for _, id := range restored {
		s.ranker.Restore(now, id)
	}
}

// dueTrial returns the ejected backend of a phase that should get the request as its trial, and records the trial; nil:
// none is due. The lock is held.
func (s *service) dueTrial(req *placementRequest, phase string, risk outlier.Risk) *backend {
	among := func(id string) bool { return s.triable(id) && s.eligible(req, id, phase) }
	return s.byID[s.trials.NextTrial(req.now, risk, among)]
}

// triable reports whether an ejected backend may get a trial request: it is listed and not draining. The lock is held.
func (s *service) triable(id string) bool {
	b := s.byID[id]
	return b != nil && !b.Draining
}
