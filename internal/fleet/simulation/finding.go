package simulation

import "time"

// Rule is the name of a rule of RULES.md.
type Rule string

// The rules that Judge checks.
const (
	MIXED   Rule = "MIXED"
	UNASKED Rule = "UNASKED"
	TWICE   Rule = "TWICE"
	REFUSED Rule = "REFUSED"
	ROUTE   Rule = "ROUTE"
	ORDER   Rule = "ORDER"
	BUDGET  Rule = "BUDGET"
	ONE     Rule = "ONE"
	FENCED  Rule = "Duty" // with a fencing token that was rejected
	LOST    Rule = "LOST"
	GONE    Rule = "GONE"
	DRAIN   Rule = "DRAIN"
	CONFIG  Rule = "CONFIG"
	QUOTA   Rule = "QUOTA"
)

// Finding is one breach of a rule.
type Finding struct {
	Rule    Rule
	Attempt string // "" if it doesn't concern a single attempt
	Service string
	Engine  string    // id; "" if it was observed only at the client
	At      time.Time // of the arrival, or when the client sent the request
	Message string    // one sentence
}

// Bounds are the limits against which Judge checks, mostly values of the settings file.
type Bounds struct {
	RetryRatio  float64       // further arrivals allowed for each request
	RetryWindow time.Duration // BUDGET is not judged when 0
	RetryExtra  float64       // further arrivals allowed in each window in addition

	Lease       time.Duration // lease of a singleton role; turns of owners are not judged when 0
	Grace       time.Duration // from SIGTERM to SIGKILL
	LossSlack   time.Duration // time for which a request that reached no backend may have waited
	Drain       time.Duration // time after the list first shows that a backend is draining
	Apply       time.Duration // time after the acknowledgement of a configuration
	Revoke      time.Duration // time after the acknowledgement of a configuration that revokes an API key
	QuotaWindow time.Duration // window in which a tenant's requests are counted; QUOTA is not judged when 0
	QuotaExcess float64       // fraction of a quota by which a window may exceed it
	QuotaExtra  float64       // requests allowed in each window in addition
}

// Execution is a run or a prefill of one attempt at a backend.
type Execution struct {
	Attempt string
	Stage   EntryKind // KindRequest or KindPrefill
	Service string
	Engine  string // id
	Zone    string
	Region  string
	At      time.Time // when the work began
}
