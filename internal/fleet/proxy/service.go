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
	plot *residency.Endpoint
}

// service is one service's backends as this proxy sees them. Its lock guards all below it.
type service struct {
	name   string
	ground *residency.Gate
	start  time.Time

	mu      sync.Mutex
	byID    map[string]*backend
	ranker  *ranking.Ranker
	model   bool                 // its backends run models
	engines *scheduler.Estimator // nil until it first runs models; kept afterwards, for requests that are under way
	pace    scheduler.StreamPace // of its streams
	order   []string             // scratch
	apart   map[string]bool      // scratch
	spent   allowance

	recorder *outlier.Recorder
	trials   *outlier.Trials
	// What is usual, of late.
	usualGap   usual            // between two events of a stream
	usualFirst usual            // from the sending of a request whose prompt was read elsewhere to its first event
	usualWhole map[string]usual // for an answer that comes whole, by route
}

// maxUsual bounds the routes that are told apart.
const maxUsual = 4096

// capFactor is c of the design's bounded-load hash, at least 1: how far above its share a backend may be loaded
// before a key goes on to the next. A proxy has few requests out, so that c near 1 would scatter keys.
const capFactor = 3

func newService(name string, ground *residency.Gate, lapse time.Duration) *service {
	return &service{name: name, ground: ground, start: time.Now(), byID: map[string]*backend{}, apart: map[string]bool{},
		recorder: outlier.NewRecorder(), trials: outlier.NewTrials(rand.ExpFloat64), usualWhole: map[string]usual{},
		ranker: ranking.NewRanker(ranking.RankerSettings{PendingTimeoutMs: float64(lapse.Milliseconds()), UnhealthyHoldMs: float64(lapse.Milliseconds())})}
}

func (s *service) now() float64 { return float64(time.Since(s.start).Microseconds()) / 1000 }

// configure takes what the configuration says of the service.
func (s *service) configure(c *routingconfig.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model = c.Runtime != nil
	if !s.model {
		return
	}
	set := scheduler.EngineSpec{Capacity: c.Runtime.Capacity, KVCacheTokens: int(c.Runtime.KVCacheTokens), KVBytesPerToken: c.Runtime.KVTokenBytes, LinkMbps: c.Runtime.KVTransferMbps}
	if s.engines == nil {
		s.engines = scheduler.NewEstimator(set)
		s.relist()
	} else {
		s.engines.UpdateSpec(set)
	}
}

// list takes the service's part of the platform's list.
func (s *service) list(all []distribution.Backend) {
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
			s.byID[b.ID] = &backend{Backend: b, plot: s.ground.Endpoint(b.ID, b.Address, b.Zone)}
		case old.Address != b.Address:
			old.plot.Retire()
			s.byID[b.ID] = &backend{Backend: b, plot: s.ground.Endpoint(b.ID, b.Address, b.Zone)}
		default:
			old.plot.SetZone(b.Zone)
			s.byID[b.ID] = &backend{Backend: b, plot: old.plot}
		}
		ranked = append(ranked, ranking.Endpoint{ID: b.ID, Usable: !b.Draining})
	}
	for id, b := range s.byID {
		if !listed[id] {
			b.plot.Retire()
			delete(s.byID, id)
		} else if b.Draining {
			b.plot.CloseIdle()
		}
	}
	s.ranker.SetEndpoints(s.now(), ranked)
	s.relist()
}

func (s *service) relist() {
	if s.engines == nil {
		return
	}
	all := make([]scheduler.Backend, 0, len(s.byID))
	for id, b := range s.byID {
		all = append(all, scheduler.Backend{ID: id, Zone: b.Zone, Prefill: b.Phase == externalapi.PhasePrefill})
	}
	s.engines.SetBackends(all)
}

// ended counts the end of an attempt, as its choice counted its beginning.
func (s *service) ended(id string, how policy.Status) {
	s.mu.Lock()
	s.ranker.AttemptEnded(s.now(), id, how)
	s.mu.Unlock()
}

// told notes the load that an answer tells.
func (s *service) told(id, load string) {
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

// awaits notes that the head of an answer is waited for at a backend; the function given ends that, and tells whether one came.
func (s *service) awaits(id string) (heard func(came bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.engines.AwaitHeaders(s.now(), id)
	return func(came bool) {
		s.mu.Lock()
		s.engines.AwaitEnded(s.now(), id, since, came)
		s.mu.Unlock()
	}
}

// paced notes how long a stretch of a stream from a backend took.
func (s *service) paced(id string, took time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := float64(took.Microseconds()) / 1000
	s.pace.Observe(s.now(), ms, events)
	how := outlier.StreamedOnPace
	if s.usualGap.ms > 0 && ms/float64(events) > s.slowGap() {
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

// shed notes whether a backend turned a request away.
func (s *service) shed(id string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if away {
		s.engines.ObserveRejection(s.now(), id)
	} else {
		s.engines.ObserveAcceptance(id)
	}
}

// turned notes how long a prompt took to be read where it was expected to take so many ms.
func (s *service) turned(expected float64, took time.Duration) {
	s.mu.Lock()
	s.engines.ObservePrefill(expected, float64(took.Microseconds())/1000)
	s.mu.Unlock()
}

// gauged notes how many requests were at the backends that make tokens, as the control plane heard from them, and which of all
// it did not hear.
func (s *service) gauged(active map[string]int, silent []string) {
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

// allowed tells whether a listed backend may hold data under the terms. The lock is held. Callers ask only for requests that
// have terms: the others are to pay nothing.
func (s *service) allowed(id string, terms residency.Terms) bool {
	return s.byID[id].plot.Allowed(terms)
}

// pick chooses a backend for a plain request under the terms, none of those tried before; false: there is none. What is repeatable may
// go to a backend that is on trial.
func (s *service) pick(key uint64, repeatable bool, tried map[string]bool, terms residency.Terms) (at residency.Permit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bound := terms.Restricted()
	open := func(id string) bool { return !tried[id] && (!bound || s.allowed(id, terms)) }
	id := s.trials.NextTrial(s.now(), outlier.Risk{Idempotent: repeatable}, func(id string) bool { return s.triable(id) && open(id) })
	if id == "" {
		s.order = s.ranker.Rank(s.now(), key, open, capFactor, func(id string) float64 { return float64(s.ranker.InFlight(id)) }, s.order[:0])
		if len(s.order) == 0 {
			return at, false
		}
		id = s.order[0]
	}
	at, err := s.byID[id].plot.Permit(terms)
	if err != nil {
		return at, false
	}
	s.ranker.AttemptStarted(at.ID())
	return at, true
}
