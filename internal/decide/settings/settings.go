// Package settings is what a deployment tells an agent at its start: the classes of
// requests, what is allowed, the figures of the rules and the prices. Values only; they
// are read once, validated, and not changed after.
package settings

// Effect tells whether a request of a class may run more than once.
type Effect string

// The effects a class may have.
const (
	Free       Effect = "free"        // safe to repeat
	Guarded    Effect = "guarded"     // repeats are dropped within a group of servers, for a time
	SingleShot Effect = "single_shot" // must never run twice
)

// Group tells which servers drop repeats of a guarded request.
type Group string

// The groups a guarded class may have.
const (
	GroupAll  Group = "all"
	GroupZone Group = "zone"
	GroupCell Group = "cell"
)

// Class is one class of requests.
type Class struct {
	Name       string  `json:"name"`
	AimMs      float64 `json:"aimMs"`
	AimStretch float64 `json:"aimStretch"`
	GiveUpMs   float64 `json:"giveUpMs"`
	Effect     Effect  `json:"effect"`
	Group      Group   `json:"group"`
	KeyTTLMs   float64 `json:"keyTtlMs"`
	Credit     float64 `json:"credit"`
	LateShare  float64 `json:"lateShare"`
	Streamed   bool    `json:"streamed"`
	// Retired is of a class that no request names any more; those that are open keep it. See Table.
	Retired bool `json:"-"`
}

// Earned is the part of its worth that an ended attempt has earned.
func (c *Class) Earned(ok, inTime bool) float64 {
	switch {
	case !ok:
		return 0
	case inTime:
		return 1
	}
	return c.LateShare
}

// Tenant is a customer with a share of what the servers can do.
type Tenant struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quotaPerS"`
	Portion   float64 `json:"portion"`
}

// Limits is what a deployment permits an agent.
type Limits struct {
	Cancelling       bool    `json:"cancelling"`
	ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
	KeepaliveMs      float64 `json:"keepaliveMs"`
	MaxAttempts      int     `json:"maxAttempts"`
	MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
	ParallelTries    bool    `json:"parallelTries"`
	Probing          bool    `json:"probing"`
	RetryAfter       bool    `json:"retryAfter"`
	OpenCap          int     `json:"openCap"`
	// PeerMessages tells whether agents may talk to each other; nil: nothing is said of it.
	PeerMessages *bool `json:"peerMessages"`
}

// Contract holds the figures of the four rules.
type Contract struct {
	AnswerSlackMs float64 `json:"answerSlackMs"`
	AskWithinMs   float64 `json:"askWithinMs"`
	ColdFrom      float64 `json:"coldFrom"`
	ColdMs        float64 `json:"coldMs"`
	DrainGraceMs  float64 `json:"drainGraceMs"`
	FallMultiple  float64 `json:"fallMultiple"`
	TipAfterMs    float64 `json:"tipAfterMs"`
}

// Prices are points taken off the result, each times its share or rate.
type Prices struct {
	CrossZone  float64 `json:"crossZone"`
	Handshake  float64 `json:"handshake"`
	Connection float64 `json:"connection"`
	LateFail   float64 `json:"lateFail"`
	Probe      float64 `json:"probe"`
	Waste      float64 `json:"waste"`
	List       float64 `json:"membershipMode"`
}

// Objective holds the weights of the result's components.
type Objective struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
	WorstTenant float64 `json:"worstTenant"`
}

// Report names the values of the servers' load reports.
type Report struct {
	How   string   `json:"how"`
	Names []string `json:"names"`
}

// Settings is what an agent is told at its start.
type Settings struct {
	Classes    []Class   `json:"classes"`
	Tenants    []Tenant  `json:"tenants"`
	Limits     Limits    `json:"limits"`
	Contract   Contract  `json:"contract"`
	Prices     Prices    `json:"prices"`
	Objective  Objective `json:"objectiveMix"`
	Report     Report    `json:"report"`
	Membership string    `json:"membershipMode"` // "pushed" or "on_request"
	Clients    struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	Index          int     `json:"index"`
	Replicas       int     `json:"replicasOfMe"`
	OverShareWorth float64 `json:"overShareWorth"`
	RoundMs        float64 `json:"roundMs"`
	Weights        string  `json:"weights"` // "off", "nominal", "rough" or "live"
	WorthBy        string  `json:"worthBy"` // "request" or "work"
	Zone           int     `json:"zone"`
}
