// Package simulation provides fake servers and clients for tests of complete programs over loopback: Engine (a
// backend), Platform (which lists the backends), Operator and Client. Judge checks what they recorded against the
// rules, Boot writes settings files, and Exec starts programs. RelayNetwork and Network connect machines through links
// that can be cut. Only tests and `molepaddle-fleet demo` use the package; no program that serves clients does. It
// implements PROTOCOL.md, RULES.md and DEPLOY.md independently: it shares no code with the programs under test except
// socket options, so that it doesn't repeat their bugs.
//
// The fake servers and clients can be called from any goroutine. They are stopped at the end of the test that started
// them.
//
// Nothing here sleeps to wait for an effect: tests wait for events (Log.Wait, Engine.Hold, AwaitReady). The durations
// that the fake servers simulate (steps, transfers, delays) are zero unless set.
package simulation

// Header names of PROTOCOL.md.
const (
	HeaderAttempt       = "X-Molepaddle-Attempt-Id"
	HeaderDeadline      = "X-Molepaddle-Deadline-Ms"
	HeaderPrefix        = "X-Molepaddle-Prompt-Prefix"
	HeaderTokens        = "X-Molepaddle-Token-Count"
	HeaderModel         = "X-Molepaddle-Model"
	HeaderStage         = "X-Molepaddle-Stage"
	HeaderKVFrom        = "Kv-From"
	HeaderTarget        = "X-Molepaddle-Target-Backend"
	HeaderSeal          = "X-Molepaddle-Backend-Seal"
	HeaderBackend       = "X-Molepaddle-Backend-Id"
	HeaderLoad          = "X-Molepaddle-Backend-Load"
	HeaderNotRun        = "X-Molepaddle-Not-Run"
	HeaderLastEvent     = "Last-Event-Id"
	HeaderRetryAfter    = "Retry-After"
	HeaderBaseVersion   = "X-Molepaddle-Base-Version"
	HeaderPriority      = "Priority"
	HeaderExpect        = "Expect-Version"
	HeaderVersions      = "Versions"
	HeaderTenant        = "X-Molepaddle-Tenant"
	HeaderAuthorization = "Authorization"
)

// Paths of the interfaces of the backends and of the system in PROTOCOL.md.
const (
	PathReport  = "/molepaddle/report"
	PathOrder   = "/molepaddle/order"
	PathHandle  = "/molepaddle/kv-handle/"
	PathReady   = "/molepaddle/readyz"
	PathReplace = "/molepaddle/cfg/replace"
	PathUpdate  = "/molepaddle/cfg/update"
	PathShow    = "/molepaddle/cfg/show"
)
