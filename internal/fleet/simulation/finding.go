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

// Finding is one breach, with its place.
type Finding struct {
	Rule    Rule
	Attempt string // "" when it concerns no single attempt
	Service string
	Engine  string // id; "" when it was seen at the client only
	At      time.Time
	What    string // one sentence
}

// Bounds are the figures of the settings file that Judge needs.
type Bounds struct {
	RetryRatio  float64
	RetryWindow time.Duration // BUDGET is not judged when 0
	RetryExtra  float64
}

// Execution is where one attempt was run or read.
type Execution struct {
	Attempt string
	Stage   EntryKind // KindRequest or KindPrefill
	Service string
	Engine  string
	Zone    string
	Region  string
	At      time.Time
}
