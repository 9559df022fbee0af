package proxy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/internal/fleet/ranking"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/policy"
)

// backend is a listed backend with its plot, which holds the connections to it.
type backend struct {
	distribution.Backend
	endpoint *residency.Endpoint
}

// service is one service's backends as this proxy sees them. Its lock guards all below it.
type service struct {
	name  string
	gate  *residency.Gate
	start time.Time

	mu          sync.Mutex
	byID        map[string]*backend
	ranker      *ranking.Ranker
	runsModels  bool                 // its backends run models
	engines     *scheduler.Estimator // nil until it first runs models; kept afterwards, for requests that are under way
	pace        scheduler.StreamPace // of its streams
	ranked      []string             // scratch
	dedicated   map[string]bool      // scratch
	retryBudget retryBudget

	recorder *outlier.Recorder
	trials   *outlier.Trials
	// What is usual, of late.
	meanGap        runningMean            // between two events of a stream
	meanFirstEvent runningMean            // from the sending of a request whose prompt was read elsewhere to its first event
	meanComplete   map[string]runningMean // for an answer that comes whole, by route
}

// maxRouteMeans bounds the routes that are told apart.
const maxRouteMeans = 4096

// capFactor is c of the design's bounded-load hash, at least 1: how far above its share a backend may be loaded
// before a key goes on to the next. A proxy has few requests out, so that c near 1 would scatter keys.
const capFactor = 3

func newService(name string, gate *residency.Gate, pendingTimeout time.Duration) *service {
	return &service{name: name, gate: gate, start: time.Now(), byID: map[string]*backend{}, dedicated: map[string]bool{},
		recorder: outlier.NewRecorder(), trials: outlier.NewTrials(rand.ExpFloat64), meanComplete: map[string]runningMean{},
		ranker: ranking.NewRanker(ranking.RankerSettings{PendingTimeoutMs: float64(pendingTimeout.Milliseconds()), UnhealthyHoldMs: float64(pendingTimeout.Milliseconds())})}
}

func (s *service) now() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

// configure takes what the configuration says of the service.
func (s *service) configure(c *routingconfig.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsModels = c.Runtime != nil
	if !s.runsModels {
		return
	}
	set := scheduler.EngineSpec{Capacity: c.Runtime.Capacity, KVCacheTokens: int(c.Runtime.KVCacheTokens), KVBytesPerToken: c.Runtime.KVTokenBytes, LinkMbps: c.Runtime.KVTransferMbps}
	if s.engines == nil {
		s.engines = scheduler.NewEstimator(set)
		s.syncEngines()
	} else {
		s.engines.UpdateSpec(set)
	}
}

// updateEndpoints takes the service's part of the platform's list.
func (s *service) updateEndpoints(all []distribution.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(all))
	ranked := make([]ranking.Endpoint, 0, len(all))
	for _, b := range all {
		if listed[b.ID] {
			continue
		}
		listed[b.ID] = true
		old := s.byID[b.ID]
		switch {
		case old == nil:
			s.byID[b.ID] = &backend{Backend: b, endpoint: s.gate.Endpoint(b.ID, b.Address, b.Zone)}
		case old.Address != b.Address:
			old.endpoint.Retire()
			s.byID[b.ID] = &backend{Backend: b, endpoint: s.gate.Endpoint(b.ID, b.Address, b.Zone)}
		default:
			old.endpoint.SetZone(b.Zone)
			s.byID[b.ID] = &backend{Backend: b, endpoint: old.endpoint}
		}
		ranked = append(ranked, ranking.Endpoint{ID: b.ID, Usable: !b.Draining})
	}
	for id, b := range s.byID {
		if !listed[id] {
			b.endpoint.Retire()
			delete(s.byID, id)
		} else if b.Draining {
			b.endpoint.CloseIdle()
		}
	}
	s.ranker.SetEndpoints(s.now(), ranked)
	s.syncEngines()
}

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

// attemptEnded counts the end of an attempt, as its choice counted its beginning.
func (s *service) attemptEnded(id string, how policy.Status) {
	s.mu.Lock()
	s.ranker.AttemptEnded(s.now(), id, how)
	s.mu.Unlock()
}

// recordLoad notes the load that an answer tells.
func (s *service) recordLoad(id, load string) {
	a, rest, ok := strings.Cut(load, ",")
	w, _, _ := strings.Cut(rest, ",")
	active, err1 := strconv.Atoi(strings.TrimSpace(a))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(w))
	if !ok || err1 != nil || err2 != nil {
		return
	}
	s.mu.Lock()
	if s.engines != nil {
		s.engines.ObserveResponseLoad(s.now(), id, active, waiting)
	}
	s.mu.Unlock()
}

// awaitHeader notes that the head of an answer is waited for at a backend; the function given ends that, and tells whether one came.
func (s *service) awaitHeader(id string) (done func(came bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.engines.AwaitHeaders(s.now(), id)
	return func(came bool) {
		s.mu.Lock()
		s.engines.AwaitEnded(s.now(), id, since, came)
		s.mu.Unlock()
	}
}

// recordPace notes how long a stretch of a stream from a backend took.
func (s *service) recordPace(id string, took time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := float64(took.Microseconds()) / 1000
	s.pace.Observe(s.now(), ms, events)
	how := outlier.StreamedOnPace
	if s.meanGap.ms > 0 && ms/float64(events) > s.slowGapMs() {
		how = outlier.Slow
	}
	s.recorder.ObservePart(id, how)
}

// slowestPace is the longest that an event of a stream took of late, on the mean of a stretch; 0: none came.
func (s *service) slowestPace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.pace.Slowest(s.now()) * float64(time.Millisecond))
}

// recordShed notes whether a backend turned a request away.
func (s *service) recordShed(id string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if away {
		s.engines.ObserveRejection(s.now(), id)
	} else {
		s.engines.ObserveAcceptance(id)
	}
}

// recordPrefill notes how long a prompt took to be read where it was expected to take so many ms.
func (s *service) recordPrefill(expected float64, took time.Duration) {
	s.mu.Lock()
	s.engines.ObservePrefill(expected, float64(took.Microseconds())/1000)
	s.mu.Unlock()
}

// applyGauges notes how many requests were at the backends that make tokens, as the control plane heard from them, and which of all
// it did not hear.
func (s *service) applyGauges(active map[string]int, silent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines == nil {
		return
	}
	least := 0
	if len(active) >= distribution.MaxLoadReportBackends {
		least = slices.Min(slices.Collect(maps.Values(active)))
	}
	now := s.now()
	for id, b := range s.byID {
		if n, ok := active[id]; ok {
			s.engines.ObservePolledLoad(now, id, n)
		} else if least > 0 && b.Phase == externalapi.PhaseDecode {
			s.engines.ObservePolledLoad(now, id, least)
		}
	}
	for _, id := range silent {
		s.engines.MarkUnresponsive(now, id)
	}
}

// takeExtraSend tells whether a listed backend may hold data under the terms. The lock is held. Callers ask only for requests that
// have terms: the others are to pay nothing.
func (s *service) withinTerms(id string, terms residency.Terms) bool {
	return s.byID[id].endpoint.Allowed(terms)
}

// selectPlain chooses a backend for a plain request under the terms, none of those tried before; false: there is none. What is repeatable may
// go to a backend that is on trial.
func (s *service) selectPlain(key uint64, retryable bool, tried map[string]bool, terms residency.Terms) (permit residency.Permit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restricted := terms.Restricted()
	open := func(id string) bool { return !tried[id] && (!restricted || s.withinTerms(id, terms)) }
	id := s.trials.NextTrial(s.now(), outlier.Risk{Idempotent: retryable}, func(id string) bool { return s.triable(id) && open(id) })
	if id == "" {
		s.ranked = s.ranker.Rank(s.now(), key, open, capFactor, func(id string) float64 { return float64(s.ranker.InFlight(id)) }, s.ranked[:0])
		if len(s.ranked) == 0 {
			return permit, false
		}
		id = s.ranked[0]
	}
	permit, err := s.byID[id].endpoint.Permit(terms)
	if err != nil {
		return permit, false
	}
	s.ranker.AttemptStarted(permit.ID())
	return permit, true
}
