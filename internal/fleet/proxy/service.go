package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/ranking"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/internal/fleet/settings"
)

// service is this proxy's view of one service's backends. name, gate and start do not change; mu guards all other
// fields. Times are in milliseconds since start, as returned by now.
type service struct {
	name  string
	gate  *residency.Gate
	start time.Time

	mu          sync.Mutex
	requests    int                 // in flight; the service follows the endpoint list for as long as there are any
	removed     bool                // it is no longer configured, and follows the endpoint list no more
	byID        map[string]*backend // the endpoint list
	ranker      *ranking.Ranker     // health and order of the backends
	retryBudget retryBudget

	// State of services whose backends run models.
	runsModels bool                    // under the configuration in force
	engines    *scheduler.Estimator    // nil until the service first runs models; then kept for requests in flight
	weights    listedWeights           // versions of the backends' weights
	dedicated  map[string]bool         // decode backends dedicated to long outputs, selected by reserveDedicated
	pace       scheduler.RecentMaximum // of the mean times per event of streams, ms

	// Outlier detection: reports to the fleet, and trials of ejected backends.
	recorder *outlier.Recorder
	trials   *outlier.Trials
	recent   recentMeans

	answers answerTimes

	weightsBoundMs float64 // Bounds.Version; 0: none

	ranked []string // buffer of the last ranking, reused to avoid allocations
}

// recentMeans holds the usual durations, relative to which an attempt counts as slow.
type recentMeans struct {
	gap        runningMean            // between two events of a stream
	firstEvent runningMean            // to the first event of a stream whose prompt was prefilled elsewhere
	complete   map[string]runningMean // of a non-streamed response, by route
}

// newService returns a service without backends. A backend that failed is tried again after pendingTimeout.
func newService(name string, gate *residency.Gate, pendingTimeout time.Duration) *service {
	pendingMs := float64(pendingTimeout.Milliseconds())
	return &service{
		name:      name,
		gate:      gate,
		start:     time.Now(),
		byID:      map[string]*backend{},
		dedicated: map[string]bool{},
		recorder:  outlier.NewRecorder(),
		trials:    outlier.NewTrials(rand.ExpFloat64),
		recent:    recentMeans{complete: map[string]runningMean{}},
		answers:   answerTimes{},
		ranker: ranking.NewRanker(ranking.RankerSettings{
			PendingTimeoutMs: pendingMs,
			UnhealthyHoldMs:  pendingMs,
		}),
	}
}

// acquire adds a request that may use the service until it calls release; false: the service has been removed.
func (s *service) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.removed {
		return false
	}
	s.requests++
	return true
}

// release ends a request that has acquired the service.
func (s *service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests--
}

// removeUnused removes the service and retires its endpoints if no request uses it, and reports whether it did.
func (s *service) removeUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests > 0 {
		return false
	}
	s.removed = true
	for _, b := range s.byID {
		b.endpoint.Retire()
	}
	return true
}

// now returns the time since start, in milliseconds, from the monotonic clock.
func (s *service) now() float64 { return milliseconds(time.Since(s.start)) }

// milliseconds converts a duration to milliseconds, truncated to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// configure applies the configuration of the service. If the service no longer runs models, its estimator is kept:
// requests in flight still report to it.
func (s *service) configure(c *routingconfig.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsModels = c.Runtime != nil
	if !s.runsModels {
		return
	}
	spec := scheduler.EngineSpec{
		Capacity:        c.Runtime.Capacity,
		KVCacheTokens:   int(c.Runtime.KVCacheTokens),
		KVBytesPerToken: c.Runtime.KVTokenBytes,
		LinkMbps:        c.Runtime.KVTransferMbps,
	}
	if s.engines != nil {
		s.engines.UpdateSpec(spec)
		return
	}
	s.engines = scheduler.NewEstimator(spec)
	s.syncEngines()
}

// configureRetries sets the retry budget to this proxy's share of the fleet's, by the number of proxies, and the bound
// on outdated weights.
func (s *service) configureRetries(bounds *settings.Bounds, proxies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weightsBoundMs = milliseconds(bounds.Version)
	s.retryBudget.configure(time.Now(), bounds.RetryRatio, bounds.RetryExtra, bounds.RetryWindow, proxies)
}
