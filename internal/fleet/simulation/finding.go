package simulation

import "time"

// Rule is the name of a rule of RULES.md.
type Rule string

// The rules that Judge knows.
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
	Attempt string // "" when it concerns no single attempt
	Service string
	Engine  string    // id; "" when it was seen at the client only
	At      time.Time // of the arrival, or when the client sent the request
	What    string    // one sentence
}

// Bounds are the values of the settings file that Judge needs.
type Bounds struct {
	RetryRatio  float64       // further arrivals allowed for each request
	RetryWindow time.Duration // BUDGET is not judged when 0
	RetryExtra  float64       // further arrivals allowed in each window beside these

	Lease       time.Duration // turns of holders of a role are not judged when 0
	Grace       time.Duration // from SIGTERM to SIGKILL
	LossSlack   time.Duration // for which a request may wait that no backend has
	Drain       time.Duration // from the list's showing that a backend drains
	Apply       time.Duration // from the acknowledgement of a configuration
	Revoke      time.Duration // from the acknowledgement of a configuration that takes an API key away
	QuotaWindow time.Duration // over which a tenant's requests count; QUOTA is not judged when 0
	QuotaExcess float64       // fraction of a quota by which a window may be above it
	QuotaExtra  float64       // requests in each window beside that
}

// Execution is where one attempt ran or was prefilled.
type Execution struct {
	Attempt string
	Stage   EntryKind // KindRequest or KindPrefill
	Service string
	Engine  string // id
	Zone    string
	Region  string
	At      time.Time // when the work began
}
