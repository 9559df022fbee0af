// Package settings defines the configuration that an agent receives at start: request classes,
// tenants, limits, the figures of the server contract and the prices of the objective. The types are
// plain values without locks or I/O: they are decoded from JSON, validated once and not changed
// afterwards.
package settings

// Idempotency defines whether a request of a class may run more than once.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent    Idempotency = "free"        // safe to repeat
	Deduplicated  Idempotency = "guarded"     // a group of servers drops duplicates for Class.DedupTTLMs
	NonIdempotent Idempotency = "single_shot" // must not run twice
)

// DedupScope names the servers among which duplicates of a request are dropped.
type DedupScope string

// The values of DedupScope, for classes that are Deduplicated.
const (
	DedupAll  DedupScope = "all"
	DedupZone DedupScope = "zone"
	DedupCell DedupScope = "cell"
)

// Class configures one class of requests.
type Class struct {
	Name                 string      `json:"name"`
	LatencyTargetMs      float64     `json:"aimMs"`      // of a request without a hint
	LatencyTargetStretch float64     `json:"aimStretch"` // added per unit of the hint, in ms
	ClientTimeoutMs      float64     `json:"giveUpMs"`
	Idempotency          Idempotency `json:"effect"`
	DedupScope           DedupScope  `json:"group"`
	DedupTTLMs           float64     `json:"keyTtlMs"`  // how long duplicates are dropped
	Value                float64     `json:"credit"`    // of a request served in time
	LateValueFraction    float64     `json:"lateShare"` // of Value, for a late answer
	Streamed             bool        `json:"streamed"`
	// Retired is set for a class that the current settings no longer name. Requests that are still
	// open keep it; see Table.
	Retired bool `json:"-"`
}

// EarnedFraction returns the fraction of a request's value that a completed attempt has earned: 0 on
// failure, 1 in time, LateValueFraction if late.
func (c *Class) EarnedFraction(ok, inTime bool) float64 {
	switch {
	case !ok:
		return 0
	case inTime:
		return 1
	}
	return c.LateValueFraction
}

// Tenant configures a customer that has a share of the server capacity.
type Tenant struct {
	Name       string  `json:"name"`
	QuotaPerS  float64 `json:"quotaPerS"`
	QuotaShare float64 `json:"portion"` // fraction of the requests of all tenants
}

// Limits holds what a deployment permits its agents to do.
type Limits struct {
	Cancellation     bool    `json:"cancelling"`
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	KeepaliveMs      float64 `json:"keepaliveMs"`
	MaxAttempts      int     `json:"maxAttempts"`
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
	HedgedRequests   bool    `json:"parallelTries"`
	HealthChecks     bool    `json:"probing"`
	RetryAfter       bool    `json:"retryAfter"`
	MaxOpenRequests  int     `json:"openCap"` // queued and in flight; 0: no limit
	// PeerMessages reports whether agents may send messages to each other; nil if it is not specified.
	PeerMessages *bool `json:"peerMessages"`
}

// Contract holds the parameters that the servers guarantee or require: polling, slow start, draining
// and overload.
type Contract struct {
	AnswerSlackMs     float64 `json:"answerSlackMs"`
	MaxPollIntervalMs float64 `json:"askWithinMs"` // between updates of the endpoint list
	SlowStartFraction float64 `json:"coldFrom"`    // of its capacity that a new server has
	SlowStartMs       float64 `json:"coldMs"`      // until a new server has its full capacity
	DrainGraceMs      float64 `json:"drainGraceMs"`
	OverloadFactor    float64 `json:"fallMultiple"` // multiple of its present capacity at which a new server fails
	OverloadAfterMs   float64 `json:"tipAfterMs"`
}

// Prices are the points subtracted from the result, each multiplied by its share or rate.
type Prices struct {
	CrossZone      float64 `json:"crossZone"`
	Handshake      float64 `json:"handshake"`
	Connection     float64 `json:"connection"`
	LateFail       float64 `json:"lateFail"`
	Probe          float64 `json:"probe"`
	Waste          float64 `json:"waste"`
	MembershipMode float64 `json:"membershipMode"`
}

// Objective holds the weights of the components of the result.
type Objective struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// LoadReport configures the load reports of the servers and names their values.
type LoadReport struct {
	Mode  string   `json:"how"`
	Names []string `json:"names"`
}

// Settings is the configuration that an agent receives at start.
type Settings struct {
	Classes    []Class    `json:"classes"`
	Tenants    []Tenant   `json:"tenants"`
	Limits     Limits     `json:"limits"`
	Contract   Contract   `json:"contract"`
	Prices     Prices     `json:"prices"`
	Objective  Objective  `json:"objectiveMix"`
	LoadReport LoadReport `json:"report"`
	Membership string     `json:"membershipMode"` // "pushed" or "on_request"
	Clients    struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	Index          int     `json:"index"`
	Replicas       int     `json:"replicasOfMe"`
	OverQuotaValue float64 `json:"overShareWorth"` // factor of the value of requests of tenants over their quota
	RoundMs        float64 `json:"roundMs"`
	Weights        string  `json:"weights"` // "off", "nominal", "rough" or "live"
	ValueBy        string  `json:"worthBy"` // "request" or "work"
	Zone           int     `json:"zone"`
}
