// Package simulation has the stand-ins for whole-program tests over loopback: Engine (a backend), Platform (the list of
// backends), Operator and Client, a Judge of what they recorded, Boot, which writes settings files, and Exec, which
// starts programs. RelayNetwork and Network are links between machines that can be cut. Tests and `molepaddle-fleet
// demo` use it; nothing that serves clients does. It follows the statements of PROTOCOL.md, RULES.md and DEPLOY.md, and
// uses no code of the programs under test but for socket options, so that a fault of theirs isn't repeated here.
//
// The stand-ins can be called from any goroutine, and end with the test that started them.
//
// Nothing here sleeps to let something happen: tests wait for events (Log.Wait, Engine.Hold, AwaitReady). The times
// that a stand-in takes itself (steps, transfers, delays) are zero unless set.
package simulation

// The names of headers, as in PROTOCOL.md.
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

// The paths of the backends' and the system's own interfaces, as in PROTOCOL.md.
const (
	PathReport  = "/molepaddle/report"
	PathOrder   = "/molepaddle/order"
	PathHandle  = "/molepaddle/kv-handle/"
	PathReady   = "/molepaddle/readyz"
	PathReplace = "/molepaddle/cfg/replace"
	PathUpdate  = "/molepaddle/cfg/update"
	PathShow    = "/molepaddle/cfg/show"
)
