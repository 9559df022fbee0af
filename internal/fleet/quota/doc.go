// Package quota enforces a tenant's request quota across all proxies: in any window, all proxies together forward no
// more requests of a tenant to backends than its quota allows, also when machines are partitioned, frozen, killed or
// newly started.
//
// A quota is divided into slots. A slot admits one request per window: it becomes free again one window after its last
// use. A holder of n slots therefore admits at most n requests in any window, and all holders together admit no more
// than the total number of slots, as long as no slot has two holders. Proxies hold slots (Holder), and one control
// server, the primary, allocates them (Allocator). A holder returns only free slots. It may use its slots for the
// duration of a lease after sending a report that was answered. The allocator counts a holder's slots as in use until
// it has received no report from that holder for a lease plus a window.
//
// A new allocator does not know the current holdings. Until a holder that has not reported can neither use a slot nor
// have used one within a window, it allocates only slots that were returned to it and slots that its predecessors
// cannot have allocated under their Ceilings, which are committed to the control plane's replicated record.
//
// Holder and Allocator do no I/O, read no clock and are not safe for concurrent use: their callers hold a lock. Client
// and Server exchange the reports and answers; both are safe for concurrent use.
package quota
