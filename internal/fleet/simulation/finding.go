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
