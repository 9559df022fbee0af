// Package simulation holds the stand-ins for whole-program tests over loopback: Engine (a backend), Platform (the list of
// backends), Operator and Client, a Judge over what they saw, and Boot, which writes settings files and starts
// programs. Tests use it, and `molepaddle-fleet demo`. The statements it follows are those of PROTOCOL.md, RULES.md and DEPLOY.md.
//
// Nothing here sleeps to let something happen: tests wait for signals (Log.Wait, Engine.Hold, AwaitReady). Times that
// a stand-in takes itself (steps, moves, lag) are zero unless set.
package simulation

// Names of headers, as in PROTOCOL.md.
const (
	HeaderAttempt     = "X-Molepaddle-Attempt-Id"
	HeaderDeadline    = "X-Molepaddle-Deadline-Ms"
	HeaderPrefix      = "X-Molepaddle-Prompt-Prefix"
	HeaderTokens      = "X-Molepaddle-Token-Count"
	HeaderModel       = "X-Molepaddle-Model"
	HeaderStage       = "X-Molepaddle-Stage"
	HeaderKVFrom      = "Kv-From"
	HeaderTarget      = "X-Molepaddle-Target-Backend"
	HeaderSeal        = "X-Molepaddle-Backend-Seal"
	HeaderBackend     = "X-Molepaddle-Backend-Id"
	HeaderLoad        = "X-Molepaddle-Backend-Load"
	HeaderNotRun      = "X-Molepaddle-Not-Run"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderRetryAfter  = "Retry-After"
	HeaderBaseVersion = "X-Molepaddle-Base-Version"
	HeaderPriority    = "Priority"
	HeaderExpect      = "Expect-Version"
	HeaderVersions    = "Versions"
)

// Paths of the backends' and the system's own interfaces, as in PROTOCOL.md.
const (
	PathReport  = "/molepaddle/report"
	PathOrder   = "/molepaddle/order"
	PathHandle  = "/molepaddle/kv-handle/"
	PathReady   = "/molepaddle/readyz"
	PathReplace = "/molepaddle/cfg/replace"
	PathUpdate  = "/molepaddle/cfg/update"
	PathShow    = "/molepaddle/cfg/show"
)
