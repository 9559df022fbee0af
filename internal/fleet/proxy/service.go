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

// service is one service's backends as this proxy sees them. Name, gate and start don't change; mu guards all the rest.
// Times are in milliseconds since start, as now gives them.
type service struct {
	name  string
	gate  *residency.Gate
	start time.Time

	mu          sync.Mutex
	byID        map[string]*backend // the endpoint list
	ranker      *ranking.Ranker     // health states and order of the backends
	retryBudget retryBudget

	// Services whose backends run models.
	runsModels bool                 // by the configuration in force
	engines    *scheduler.Estimator // nil until it first runs models; kept afterwards, for requests under way
	weights    listedWeights        // that the backends have
	dedicated  map[string]bool      // decode backends kept for long answers, as reserveDedicated last chose
	pace       scheduler.StreamPace // of recent streams

	// Outlier detection: what is reported to the fleet, and the trials of what it ejected.
	recorder *outlier.Recorder
	trials   *outlier.Trials
	recent   recentMeans

	weightsBoundMs float64 // Bounds.Version; 0: none

	ranked []string // scratch of the last ranking, so that none allocates
}

// recentMeans are the usual durations by which an attempt counts as slow.
type recentMeans struct {
	gap        runningMean            // between two events of a stream
	firstEvent runningMean            // of a stream whose prompt was prefilled elsewhere, from its request on
	complete   map[string]runningMean // of an answer that comes as one, by route
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
		ranker: ranking.NewRanker(ranking.RankerSettings{
			PendingTimeoutMs: pendingMs,
			UnhealthyHoldMs:  pendingMs,
		}),
	}
}

// now is the time since start in milliseconds; it doesn't go back.
func (s *service) now() float64 { return milliseconds(time.Since(s.start)) }

// milliseconds is a duration in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// configure applies the configuration of the service. Where it runs models no more, what is known of its engines is
// kept: requests under way still report to it.
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

// configureRetries sets the retry budget to this proxy's part of the fleet's, by the number of proxies, and the other
// bounds that the service needs.
func (s *service) configureRetries(bounds *settings.Bounds, proxies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weightsBoundMs = milliseconds(bounds.Version)
	s.retryBudget.configure(time.Now(), bounds.RetryRatio, bounds.RetryExtra, bounds.RetryWindow, proxies)
}
