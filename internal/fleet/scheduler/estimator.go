package scheduler

import "math"

// EngineSpec is what the operator's configuration says of the inference engines of a service's backends.
type EngineSpec struct {
	// Capacity is how many requests a batch holds at once; 0 where it isn't known.
	Capacity int
	// KVCacheTokens is the size of the KV cache, in tokens.
	KVCacheTokens int
	// KVBytesPerToken is what one token takes in the KV cache, in bytes.
	KVBytesPerToken float64
	// LinkMbps is the rate at which a backend transfers KV cache, in megabits a second; 0 where it isn't known, and
	// transfers are then taken to cost no time.
	LinkMbps float64
}

// Estimator estimates, for one service at one proxy, how long prompts and transfers take at each backend. It is not
// safe for concurrent use.
type Estimator struct {
	spec EngineSpec
	byID map[string]*backendState

	// Prefill, learned over all backends.
	prefillMsPerToken  float64 // of a prefill backend
	meanUncachedTokens float64 // of the prompts sent to be prefilled, of late
	expectedScale      float64 // how many times as long as estimated prompts took, of late

	// Decode, by class of requests.
	classes           map[string]requestClass
	longPool          int     // size of the pool for long answers; 0 before the first request
	longPoolChangedAt float64 // ms

	// minTransferMs is the least time from a transfer to the first token, ms; 0: none was seen.
	minTransferMs float64
}

// backendState is what the Estimator knows of one backend.
type backendState struct {
	id      string
	zone    string
	prefill bool
	cache   *prefixCache

	pendingPrefillTokens float64 // of this proxy's requests there whose prefill hasn't ended
	inFlight             int     // this proxy's requests there

	outbound decayingMean // how much longer than usual transfers from it took, ms
	inbound  decayingMean // and transfers to it
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

// UpdateSpec replaces the specification of the engines, and resizes what is known of the prefix caches of listed ones.
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

// cacheTokens is the size of a backend's prefix cache, in tokens.
func (e *Estimator) cacheTokens() int { return max(e.spec.KVCacheTokens, 1) }

// Backend is one backend on the endpoint list.
type Backend struct {
	ID   string
	Zone string
	// Prefill tells that the backend prefills prompts; else it decodes.
	Prefill bool
}

// SetBackends replaces the endpoint list. What is known of backends that are no longer listed is dropped.
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

// DecodeStarted records a request sent to a backend to be decoded, whose prompt is prefilled elsewhere.
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
