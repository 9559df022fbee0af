package scheduler

import "math"

// EngineSpec is the operator's configuration of the inference engines of a service's backends.
type EngineSpec struct {
	// Capacity is the maximum batch size, in requests; 0 if unknown.
	Capacity int
	// KVCacheTokens is the size of the KV cache, in tokens.
	KVCacheTokens int
	// KVBytesPerToken is the size of one token in the KV cache, in bytes.
	KVBytesPerToken float64
	// LinkMbps is the rate at which a backend transfers KV cache, in megabits per second; 0 if unknown, and transfers
	// are then assumed to take no time.
	LinkMbps float64
}

// Estimator estimates, for one service at one proxy, how long prompts and transfers take at each backend. It is not
// safe for concurrent use.
type Estimator struct {
	spec EngineSpec
	byID map[string]*backendState

	// Prefill, learned over all backends.
	prefillMsPerToken  float64 // prefill time per token at a prefill backend, ms
	meanUncachedTokens float64 // moving mean of the uncached tokens of prompts sent to be prefilled
	expectedScale      float64 // moving mean of the ratio of actual to estimated prefill time

	// Decode, by class of requests.
	classes           map[string]requestClass
	longPool          int     // size of the long-decode pool, in backends; 0 before the first request
	longPoolChangedAt float64 // ms

	// minTransferMs is the shortest observed time from a transfer to the first token, ms; 0: none was observed.
	minTransferMs float64
}

// backendState is the Estimator's state for one backend.
type backendState struct {
	id      string
	zone    string
	prefill bool
	cache   *prefixCache

	pendingPrefillTokens float64 // tokens of this proxy's pending prefills at the backend
	inFlight             int     // this proxy's requests at the backend

	outbound decayingMean // excess duration of transfers from it, ms
	inbound  decayingMean // excess duration of transfers to it, ms
	load
}

// NewEstimator returns an Estimator without backends.
func NewEstimator(spec EngineSpec) *Estimator {
	return &Estimator{
		spec:              spec,
		byID:              map[string]*backendState{},
		prefillMsPerToken: initialPrefillMsPerToken,
		expectedScale:     1,
		classes:           map[string]requestClass{},
	}
}

// UpdateSpec replaces the specification of the engines, and resizes the modelled prefix caches of the listed backends.
func (e *Estimator) UpdateSpec(spec EngineSpec) {
	resized := spec.KVCacheTokens != e.spec.KVCacheTokens
	e.spec = spec
	if !resized {
		return
	}
	for _, b := range e.byID {
		b.cache.resize(e.cacheTokens())
	}
}

// cacheTokens returns the size of a backend's prefix cache, in tokens.
func (e *Estimator) cacheTokens() int { return max(e.spec.KVCacheTokens, 1) }

// Backend is one backend on the endpoint list.
type Backend struct {
	// ID is the backend's id.
	ID string
	// Zone is the name of its zone.
	Zone string
	// Prefill is true if the backend prefills prompts, false if it decodes.
	Prefill bool
}

// SetBackends replaces the endpoint list. The state of backends that are no longer listed is dropped.
func (e *Estimator) SetBackends(all []Backend) {
	listed := make(map[string]bool, len(all))
	for _, listing := range all {
		listed[listing.ID] = true
		b := e.byID[listing.ID]
		if b == nil {
			b = &backendState{
				id:    listing.ID,
				cache: newPrefixCache(e.cacheTokens()),
				load:  load{reportedAt: math.Inf(-1)},
			}
			e.byID[listing.ID] = b
		}
		b.zone = listing.Zone
		b.prefill = listing.Prefill
	}
	for id := range e.byID {
		if !listed[id] {
			delete(e.byID, id)
		}
	}
}

// DecodeStarted records a request sent to a backend for decoding, whose prompt is prefilled at another one.
func (e *Estimator) DecodeStarted(id string) {
	if b := e.byID[id]; b != nil {
		b.inFlight++
	}
}

// RequestEnded records the end of a request that PrefillStarted or DecodeStarted recorded, however it ended.
func (e *Estimator) RequestEnded(id string) {
	if b := e.byID[id]; b != nil {
		b.inFlight = max(b.inFlight-1, 0)
	}
}
